// Request keys: the home that serialises retries of one request.
namespace py trefoilpaddle.protocol.gen.claims

enum ClaimState { NEW = 0, IN_PROGRESS = 1, DONE = 2, NOT_MINE = 3, UNKNOWN = 4, MISMATCH = 5 }

struct Claim {
  1: string key = ""              // client account and its key, or a minted request id
  2: string request_id = ""
  3: string gateway = ""          // process_id
  4: i64 gateway_incarnation = 0
  5: i64 hosts_revision = 0      // of the list on which the home was chosen
  6: i64 home_incarnation = 0    // 0 when not known; else the only one meant
  7: i64 fingerprint = 0         // of pipeline and body; a key reused with others is refused
  8: bool idempotent = false
}

struct ClaimAnswer {
  1: ClaimState state = 0
  2: string request_id = ""       // of the first try
  3: string gateway = ""
  4: i64 hosts_revision = 0
  5: binary result = ""           // the stored answer, when DONE
  6: string detail = ""
}

// The gateway that holds a claim reports the end of its request.
struct Settle { 1: string key = ""  2: string request_id = ""  3: bool run = false  4: binary result = "" }
struct SettleAnswer { 1: bool known = false }

// A new home asks the former one before it says NEW.
struct ClaimMove { 1: string key = ""  2: i64 hosts_revision = 0 }
