// Request keys: the places that serialise retries of one request.
namespace py trefoilpaddle.protocol.gen.claims

enum ClaimState {
  NEW = 0           // granted; in a CopyAnswer: no record of the key
  IN_PROGRESS = 1
  DONE = 2
  NOT_MINE = 3      // another place decides, or the asker's list is too new here
  UNKNOWN = 4
  MISMATCH = 5
}

struct Claim {
  1: string key = ""              // client account and its key, or a minted request id
  2: string request_id = ""
  3: string gateway = ""          // process_id
  4: i64 gateway_incarnation = 0
  5: i64 hosts_revision = 0      // of the list on which the home was chosen
  6: i64 home_incarnation = 0    // 0 when not known; else the only one meant
  7: i64 fingerprint = 0         // of pipeline and body; a key reused with others is refused
  8: bool idempotent = false
  9: i64 budget_ms = 0           // time left for the request
  10: i64 grant = 0              // drawn by the first place for each copy it asks for
}

struct ClaimAnswer {
  1: ClaimState state = 0
  2: string request_id = ""       // of the first try
  3: string gateway = ""
  4: i64 hosts_revision = 0
  5: binary result = ""           // the stored answer, when DONE and has_result
  6: string detail = ""
  7: bool has_result = false
  8: i64 retry_after_ms = 0
}

// The gateway that holds a claim reports the end of its request.
struct Settle {
  1: string key = ""
  2: string request_id = ""
  3: bool run = false             // false: it was not run, the key is free again
  4: binary result = ""
  5: bool has_result = false
  6: i64 grant = 0               // withdraws this copy alone; 0 in a gateway's settlement
}
struct SettleAnswer { 1: bool known = false }

enum CopyKind {
  COPY = 0   // home to second place: record the claim unless there is one
  MOVE = 1   // home to a place of a former list: tell, and never grant it any more
  PEEK = 2   // gateway to second place: only tell
}

struct ClaimCopy { 1: CopyKind kind = 0  2: Claim claim }

// The two places of a key under one list.
struct Places { 1: i64 hosts_revision = 0  2: list<string> process_ids = []  3: list<string> addresses = [] }

struct CopyAnswer {
  1: ClaimAnswer answer
  2: bool complete = false        // has lived for a whole retry window
  3: list<Places> former = []     // under other lists that this place knows
  4: list<string> learned_from = [] // places whose common claims with it this one holds
}

// A place that has started asks another for the claims on keys that both decide.
struct ClaimSync { 1: string after_key = "" }

struct KnownClaim {
  1: Claim claim
  2: bool done = false
  3: binary result = ""
  4: bool has_result = false
  5: i64 overdue_in_ms = 0
  6: i64 expires_in_ms = 0
  7: bool moved = false
}

// All places of one list that the sender knows, and how long ago it was replaced.
struct KnownList {
  1: i64 hosts_revision = 0
  2: list<string> process_ids = []
  3: list<string> addresses = []
  4: list<string> failure_domains = []
  5: i64 replaced_ago_ms = 0
}

// One page, in order of key.
struct SyncAnswer {
  1: list<KnownClaim> claims = []
  2: bool more = false
  3: bool complete = false        // the sender can vouch for the keys of both
  4: list<KnownList> lists = []   // with the first page
}
