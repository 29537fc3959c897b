// Between gateways that call workers themselves: pieces at their homes, and
// what the platform has published for those that its store turns away.
namespace py trefoilpaddle.protocol.gen.chain

struct Piece {
  1: string request_id = ""
  2: string route = ""
  3: i32 stage = 0
  4: i32 piece = 0
  5: string key = ""
  6: list<string> inputs = []
  7: bool has_inputs = false
  8: double result_bytes = 0
  9: i64 due_in_ms = 0           // from the sending, by nobody's clock
  10: i64 deadline_in_ms = 0
}

// Asks the home of a worker to have pieces made.
struct MakePieces {
  1: string worker_id = ""
  2: list<Piece> pieces = []
}

struct PieceEnd {
  1: string handle = ""          // empty if it was not made
  2: string fault = ""
}

struct PiecesMade {
  1: list<PieceEnd> ends = []
  2: double wait_s = 0           // until one more piece would be made
}

// Without an answer: nobody waits for these any more.
struct DropPieces {
  1: string request_id = ""
  2: string worker_id = ""
}

struct FreeResults {
  1: string worker_id = ""
  2: list<string> handles = []
}

struct ListedWorker {
  1: string worker_id = ""
  2: string service_name = ""
  3: string address = ""
  4: string failure_domain = ""
  5: bool is_leaving = false
}

// Asks a peer for what it knows of the store.
struct StorePull {
  1: i64 revision = 0
  2: i64 version = 0
}

struct StoreState {
  1: i64 revision = 0
  2: i64 version = 0
  3: binary data = ""            // empty unless newer than what was asked with
  4: list<ListedWorker> workers = []
  5: bool is_away = false        // the answering side cannot read the store
}
