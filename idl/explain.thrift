// What an operator asks of any process.
namespace py trefoilpaddle.protocol.gen.explain

struct ExplainAsk { 1: string request_id = "" }
struct ExplainAnswer { 1: bool known = false  2: string process_id = ""  3: binary records = "" }  // JSON array
struct StatusAsk { 1: bool verbose = false }
struct StatusAnswer { 1: string process_id = ""  2: binary status = "" }  // JSON object
