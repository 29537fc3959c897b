// Between gateways that call workers themselves: chains of stages at their schedulers, and
// what the platform has published for those that its store turns away.
namespace py trefoilpaddle.protocol.gen.chain

struct ChainStage {
  1: string service_name = ""
  2: list<i32> after = []
  3: double result_bytes = 0
  4: i32 n_pieces = 0
}

// A piece that is made and waits at its maker.
struct MadePiece {
  1: i32 stage = 0
  2: i32 piece = 0
  3: string handle = ""
  4: string worker_id = ""
  5: i64 born_ms = 0             // start of its maker
}

// Asks the scheduler of a cell to make all stages of a request.
struct RunChain {
  1: string cell = ""
  2: string request_id = ""
  3: string route = ""
  4: list<ChainStage> stages = []
  5: string piece_key = ""
  6: i64 due_in_ms = 0           // from the sending, by nobody's clock
  7: i64 deadline_in_ms = 0
  8: bool must_be_on_time = true
  9: i32 priority = 0            // 0 is the most urgent
  10: list<string> failure_domains = []  // of the cell
  11: string near = ""           // failure domain of the gateway that asks
  12: list<MadePiece> made = []  // what the scheduler before has made of it
  13: string fingerprint = ""    // the same for all attempts of the request
  14: i64 account = 0             // checksum of the client account's name; 0 if not stated
  15: i32 weight_milli = 1000     // of the account
  16: bool goes_on = false        // a stream that has begun, and that its caller resumes
}

struct ChainAnswer {
  1: bool is_made = false
  2: list<string> handles = []
  3: i32 reason = 0              // a reason of reasons.py, unless made
  4: bool is_begun = false
  5: double finish_s = 0
  6: double retry_after_s = 0
  7: string failure_domain = ""  // where most of the results lie
  8: string moved_to = ""        // gateway that schedules the cell now; empty if not moved
  9: list<MadePiece> made = []   // what there is of a chain that moves
}

// Without an answer: the request has read its results, or does not want them.
struct FreeChain {
  1: string cell = ""
  2: string request_id = ""
}

struct HeldResult {
  1: string handle = ""
  2: double n_bytes = 0
  3: i64 left_ms = 0             // until it runs out
}

struct WorkerHandover {
  1: string worker_id = ""
  2: i64 born_ms = 0
  3: i64 busy_ms = 0             // what is left of the call that it makes
  4: double ratio = 1            // measured over published time of its calls
  5: double busy_per_s = 0       // pieces that it makes a second under load
  6: list<HeldResult> held = []
}

// Asks another gateway to schedule a cell from now on. The asking side sends no
// more calls; what it sent before is told.
struct TakeCell {
  1: string cell = ""
  2: list<string> failure_domains = []
  3: list<WorkerHandover> workers = []
}

struct CellTaken {
  1: bool is_taken = false
}

// Without an answer: results that the scheduler before has freed since.
struct ResultsFreed {
  1: string cell = ""
  2: string worker_id = ""
  3: i64 born_ms = 0
  4: list<string> handles = []
}

struct ListedWorker {
  1: string worker_id = ""
  2: string service_name = ""
  3: string address = ""
  4: string failure_domain = ""
  5: bool is_leaving = false
  6: i64 born_ms = 0             // Unix time of its start; later starts replace it
  7: i64 cold_ms = 0             // it stays cold for so long; 0 if it does not report to be
  8: string software_version = ""  // unset by earlier builds
  9: i32 n_slots = 0             // requests that it runs at once; 0 if not stated
}

// Asks a peer for what it knows of the store.
struct StorePull {
  1: i64 revision = 0
  2: i64 version = 0
  3: i64 digest = 0              // over all listed workers; 0 if they are to be sent
  4: i64 era = 0                 // of the revision
  5: optional i64 domain_digest  // with failure domains; unset by earlier builds
  6: optional bool takes_parts   // the answer needs no table; unset by earlier builds
  7: optional i64 version_digest  // with software versions; unset by earlier builds
  8: optional i64 slot_digest    // with published slots; unset by earlier builds
}

// Asks a peer for a part of its newest table.
struct TablePull {
  1: i64 version = 0             // of the table that earlier parts belong to
  2: i32 from_byte = 0           // of the compressed table
}

// A part of the newest compressed table: the requested one, or the first if that
// table is another.
struct TablePart {
  1: i64 version = 0             // 0 if no table is known
  2: i32 from_byte = 0
  3: i32 n_bytes = 0             // of the whole compressed table
  4: i64 checksum = 0            // of the whole compressed table
  5: binary data = ""
}

struct StoreState {
  1: i64 revision = 0
  2: i64 version = 0
  3: binary data = ""            // empty unless newer than what was asked with
  4: list<ListedWorker> workers = []  // empty if the digests are the same
  5: bool is_away = false        // the answering side cannot read the store
  6: list<string> lapsed = []    // ids of workers whose entries ran out and may come back
  7: i32 back_ms = -1            // since the store came back; -1 if it was not away
  8: i64 digest = 0              // over all listed workers
  9: i64 era = 0                 // of the revision
  10: list<ListedWorker> doubted = []  // as the store lists them; the answering side ignores them
  11: i32 answered_ms = -1       // since the store answered this side itself; -1 if it never did
  12: optional i64 domain_digest // with failure domains; unset by earlier builds
  13: optional list<string> evacuated  // all failure domains that get no work; unset by earlier builds
  14: optional i64 version_digest  // with software versions; unset by earlier builds
  15: optional i64 view_age_ms   // since the store last had what this side lists; unset if never, and by earlier builds
  16: optional i64 table_revision  // up to here nothing newer than the version was published; unset by earlier builds
  17: optional i64 slot_digest   // with published slots; unset by earlier builds
}

// Bytes of a table: some of the one before, then some that are new.
struct TablePiece {
  1: i32 from_byte = 0
  2: i32 n_bytes = 0
  3: binary added = ""
}

// What makes the newest table out of the one before it.
struct TableChange {
  1: i64 base_version = 0
  2: i64 checksum = 0            // of the newest table's bytes
  3: list<TablePiece> pieces = []
}

// A list of an earlier era of the store, which the first one of this era differs from.
struct EarlierList {
  1: i64 era = 0
  2: i64 digest = 0              // over all workers listed; 0 if that list was not relied on
  3: optional i64 domain_digest  // with failure domains; unset by earlier builds
  4: optional i64 version_digest  // with software versions; unset by earlier builds
  5: optional i64 slot_digest    // with published slots; unset by earlier builds
}

// Without an answer: what a gateway that reads the store for others has just
// read. Sent after each read, also if nothing has changed.
struct StoreNews {
  1: i64 base_revision = 0       // what has changed since is in here
  2: i64 revision = 0
  3: i64 version = 0             // of the newest table
  4: list<ListedWorker> workers = []
  5: list<string> removed = []
  6: i64 digest = 0              // over all listed workers
  7: i32 back_ms = -1            // since the store came back; -1 if it was not away
  8: optional list<string> withdrawn  // ids whose entries cannot be read any more
  9: optional TableChange table  // set if just read; who cannot use it reads the store
  10: i64 era = 0                // of the revision
  11: optional EarlierList base  // set in place of the base revision by the first list of an era
  12: optional list<ListedWorker> doubted  // as the store lists them; the reader ignores them
  13: optional i64 domain_digest // with failure domains; unset by earlier builds
  14: optional list<string> evacuated  // all failure domains that get no work; unset by earlier builds
  15: optional i64 version_digest  // with software versions; unset by earlier builds
  16: optional i64 reader_incarnation  // of the process that sends it; unset by earlier builds
  17: optional i64 sent_ms       // on the clock of its host; unset by earlier builds
  18: optional i64 view_age_ms   // since the store last had what the sender lists; unset by earlier builds
  19: optional i64 table_revision  // up to here nothing newer than the version was published; unset by earlier builds
  20: optional i64 slot_digest   // with published slots; unset by earlier builds
}

struct WorkerCrash {
  1: string worker_id = ""
  2: i64 born_ms = 0             // start of the worker
  3: i64 ended_ms = 0            // since the worker ended
  4: i32 level = 1               // one more than the crashes known as the run began
}

struct CrashedWorkers {
  1: string fingerprint = ""     // of the request that ran there
  2: list<WorkerCrash> crashes = []
}

struct SuspectRun {
  1: string fingerprint = ""
  2: string worker_id = ""
  3: i64 for_ms = 0              // it is kept apart for so long; 0 once it has ended
  4: i64 run_id = 0              // random
}

// Without an answer: which requests workers have ended under.
struct CrashNews {
  1: list<CrashedWorkers> crashed = []
  2: list<string> cleared = []   // requests that have ended well since
  3: list<SuspectRun> runs = []
}

struct ServedVersion {
  1: string service_name = ""
  2: string software_version = ""
  3: i64 ended_ms = 0            // since it served last; 0 if it still does
}

struct VersionCount {
  1: string software_version = ""
  2: i64 n_workers = 0
}

// How many workers of a service run each version, or ran it.
struct ServedSplit {
  1: string service_name = ""
  2: list<VersionCount> counts = []
  3: i64 ended_ms = 0            // since it ended at the latest; 0 if it is in force
  4: i64 n_unknown = 0           // workers whose version is not known
}

// Which versions the workers run, or ran during the time for which they are known.
struct ServedNews {
  1: i64 known_ms = 0
  2: list<ServedVersion> versions = []   // for builds that do not know splits
  3: list<ServedSplit> splits = []
}

// A gateway that has just started asks for what gateways know from one another alone.
struct CatchUpPull {
}

struct CatchUpState {
  1: bool is_complete = false    // false if the answering gateway has just started itself
  2: CrashNews crashes
  3: ServedNews served           // unset if it does not know the workers yet
  4: LimitNews limits
}

struct NamedLimit {
  1: string worker_id = ""
  2: i64 born_ms = 0             // start of the worker
  3: double rate_per_s = 0       // requests that it takes from all gateways; 0 for any number
  4: i64 heard_ms = 0            // since the answer that said so
}

// Without an answer: the limits that workers have named in answers.
struct LimitNews {
  1: list<NamedLimit> limits = []
}

// Which software version began a stream.
struct StreamOrigin {
  1: binary key = ""             // hash of the id of the attempt that brought its first event
  2: string software_version = ""
  3: i64 life_ms = 0             // time for which it may still be resumed; 0 if not stated
}

// Without an answer: streams that have begun, for gateways at which callers take them up.
struct StreamsBegun {
  1: list<StreamOrigin> origins = []
}

// Asks which software version began a stream.
struct FindOrigin {
  1: binary key = ""
  2: string service_name = ""
  3: i64 life_ms = 0             // the stream is not older
}

struct OriginFound {
  1: bool is_known = false
  2: string software_version = ""
  3: optional string sole_version  // the only one that has served during the stream's life
  4: bool has_several = false      // whether more than one has, as far as is known
}

// What one client account asks of a service at one gateway.
struct AccountDemand {
  1: i64 account = 0             // checksum of its name
  2: i32 weight_milli = 1000
  3: i32 offered_milli = 0       // slots that all its requests would use
  4: i32 n_running = 0
  5: i32 n_waiting = 0
}

// A gateway tells the home of a service what is asked of the service there.
struct SlotReport {
  1: string service_name = ""
  2: list<AccountDemand> accounts = []
  3: i32 n_slots = 0             // of the usable workers, as published
  4: i32 n_workers = 0
  5: i32 base_ms = 0             // a request holds a slot for so long without contention
  6: i32 n_answered = 0          // since the last report
  7: i32 n_sheds = 0             // turned away by workers since the last report
  8: bool may_grow = false       // workers may have more slots than are published
  9: bool is_leaving = false     // the gateway stops and needs nothing any more
  10: list<WorkerUse> workers = []
}

// Requests of one gateway, or of all, at a worker.
struct WorkerUse {
  1: string worker_id = ""
  2: i64 born_ms = 0             // start of the worker
  3: i32 n_running = 0
}

struct AccountShare {
  1: i64 account = 0
  2: i32 share_milli = 0         // slots at the gateway that asks
}

// What the gateway may use of the service.
struct SlotGrant {
  1: string service_name = ""
  2: bool is_known = false       // false if the home does not know the other gateways yet
  3: bool is_contended = false
  4: i32 total_milli = 0
  5: i32 level_milli = 0         // slots per weight that an account may use at all gateways
  6: i32 n_gateways = 1
  7: list<AccountShare> shares = []
  8: list<WorkerUse> workers = []  // requests of all gateways
}

// A worker that turns requests away or fails all of them gets none for a while.
struct LeftOutWorker {
  1: string worker_id = ""
  2: i64 born_ms = 0             // start of the worker
  3: i32 for_ms = 0
}

// Without an answer: which services are short of slots, and which workers are left out.
struct ServiceNews {
  1: list<string> contended = []
  2: list<LeftOutWorker> left_out = []
}
