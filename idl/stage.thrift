// Messages of the data plane: one stage call between a gateway and a sidecar.
// Times are spans in seconds or stamps of the *sidecar's* own monotonic clock.
namespace py trefoilpaddle.protocol.gen.stage

enum Outcome { OK = 0, NOT_RUN = 1, FAILED = 2, UNKNOWN = 3 }

enum BarState { BARRED = 0, RUNNING = 1, DONE = 2, FORGOTTEN = 3 }

// What one owner has waiting at a target, for owners with much of it.
struct OwnerLoad {
  1: string owner = ""
  2: double queued_work_s = 0
  3: double weight = 0
}

// What a sidecar says of itself; piggy-backed on answers and on each heartbeat.
struct Load {
  1: i64 stamp_ns = 0            // the sidecar's monotonic clock when it wrote this
  2: i32 n_running = 0
  3: i32 n_queued = 0
  4: i32 n_slots = 0
  5: double queued_work_s = 0    // predicted target-seconds waiting
  6: double running_work_s = 0   // predicted target-seconds still to run
  7: bool leaving = false
  8: i64 config_revision = 0
  9: double slowness = 0         // measured over predicted service time, 1.0 = as predicted
  10: bool target_up = false
  11: i64 reported_age_ms = 0    // age of the target's own load report, -1 without one
  12: list<OwnerLoad> owners = []  // who has work waiting; empty under first come, first served
}

// First frame in each direction on each connection.
struct Hello {
  1: i32 version = 0
  2: string process_id = ""       // host name, role and port: stable over restarts
  3: i64 incarnation = 0         // drawn at random at start, new at each restart
  4: string role = ""
  5: string failure_domain = ""
  6: string service_name = ""          // empty for a gateway
  7: string target = ""
  8: i64 config_revision = 0
  9: i64 stamp_ns = 0
  10: i32 newest_kind = 0        // of the frames that it reads; unset by earlier builds
}

struct Heartbeat { 1: Load load }

// Said first by the listening side that is about to close: it still answers what is on
// its way. Said back by the other side as the last that it sends.
struct Closing {}

struct Start {
  1: binary attempt_id = ""       // 16 bytes
  2: string request_id = ""
  3: string pipeline = ""
  4: string stage = ""
  5: string service_name = ""
  6: string entry = ""
  7: string owner = ""
  8: string class_of_work = ""
  9: i64 config_revision = 0
  10: double weight = 0          // the owner's weight in fair queueing
  11: i32 brownout_order = 0     // lower goes first when work must be dropped
  12: i64 stamp_ns = 0           // last stamp received from this sidecar
  13: i64 elapsed_ns = 0         // time at the gateway since that stamp arrived
  14: i64 budget_ns = 0          // time left for the whole request
  15: i64 stage_budget_ns = 0    // time left less what the later stages need
  16: bool idempotent = false
  17: double predicted_s = 0     // predicted target-seconds
  18: i32 max_tokens = 0
  19: string path = ""            // of the call to the target
  20: bool streams = false
  21: list<i64> prefix_hashes = []
  22: i64 body_bytes = 0
  23: i64 body_checksum = 0      // xxh3_64, signed
  24: binary body = ""            // whole when small, else empty and sent in BodyChunk
  25: i64 credit_bytes = 0       // how much of the answer may be sent before Credit
  26: bool reserve = false           // late binding: answer Ready and wait for Go
  27: i64 incarnation = 0        // of the sidecar that the gateway means
  28: string model = ""
  29: double attainment_weight = 0 // 0 = only cost counts, 1 = only attainment
}

struct BodyChunk { 1: binary attempt_id = ""  2: i32 seq = 0  3: binary data = "" }
struct Queued { 1: binary attempt_id = ""  2: double predicted_wait_s = 0  3: i32 n_ahead = 0 }
struct Ready { 1: binary attempt_id = "" }
struct Go { 1: binary attempt_id = ""  2: i64 stamp_ns = 0  3: i64 elapsed_ns = 0 }
struct Started { 1: binary attempt_id = ""  2: double queued_s = 0 }
struct Chunk { 1: binary attempt_id = ""  2: i32 seq = 0  3: binary data = "" }

struct End {
  1: binary attempt_id = ""
  2: i32 n_chunks = 0
  3: i64 n_bytes = 0
  4: i64 checksum = 0            // xxh3_64 over all chunks in order, signed
  5: double queued_s = 0
  6: double service_s = 0
  7: double cost_s = 0           // target-seconds as the target reports them
  8: i32 n_prompt_tokens = 0
  9: i32 n_tokens = 0
  10: i32 n_cached_tokens = 0
  11: Load load
}

struct Failure {
  1: binary attempt_id = ""
  2: Outcome outcome = 0
  3: i32 reason = 0              // protocol.reasons.Reason
  4: string step = ""
  5: string peer = ""
  6: string detail = ""
  7: double retry_after_s = 0
  8: double cost_s = 0
  9: Load load
}

struct Ack { 1: binary attempt_id = "" }
struct Credit { 1: binary attempt_id = ""  2: i64 n_bytes = 0 }
// incarnation: of the sidecar that was sent the start; 0 when it is not known.
struct Fetch {
  1: binary attempt_id = ""
  2: i32 from_seq = 0
  3: i64 credit_bytes = 0
  4: i64 incarnation = 0
}
struct Cancel { 1: binary attempt_id = "" }
struct Bar { 1: binary attempt_id = ""  2: i64 incarnation = 0 }
struct BarAnswer { 1: binary attempt_id = ""  2: BarState state = 0 }
