// Configuration and the published host list as they pass between peers.
namespace py trefoilpaddle.protocol.gen.config

struct Item { 1: string key = ""  2: i64 revision = 0  3: binary value = ""  4: bool deleted = false }

// Ask a peer for everything newer than what is known.
struct ConfigPull { 1: i64 known_revision = 0  2: i64 known_hosts_revision = 0 }

// A difference (or, with full, everything). base_revision is what it builds on.
struct ConfigDelta {
  1: i64 revision = 0
  2: i64 base_revision = 0
  3: bool full = false
  4: list<Item> items = []
  5: i64 hosts_revision = 0
  6: binary hosts = ""            // JSON as published, empty when not newer
  7: i64 digest = 0              // over all keys and revisions after this difference
}
