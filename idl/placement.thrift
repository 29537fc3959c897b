// Which models the targets of one service hold, and how much each is asked for.
namespace py trefoilpaddle.protocol.gen.placement

struct ModelUse { 1: string name = ""  2: bool loaded = false  3: double demand = 0 }

// Question and answer alike: what the sender holds.
struct Holdings {
  1: string process_id = ""
  2: string service_name = ""
  3: list<ModelUse> models = []
}
