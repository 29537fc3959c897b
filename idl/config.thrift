// Configuration and the published host list as they pass between peers.
namespace py trefoilpaddle.protocol.gen.config

struct Item {
  1: string key = ""
  2: i64 revision = 0
  3: binary value = ""
  4: bool deleted = false
  5: bool accepted = false        // has been in force at the sender
}

// Ask a peer for everything newer than what is known.
struct ConfigPull {
  1: i64 known_revision = 0
  2: i64 known_hosts_revision = 0
  3: i64 after_revision = 0       // of the last item received; 0 begins
  4: list<i64> shard_digests = [] // asks for the shards that differ instead
}

// A difference (or, with full, everything). base_revision is what it builds on.
// Without items it announces a revision that the receiver may pull.
struct ConfigDelta {
  1: i64 revision = 0
  2: i64 base_revision = 0
  3: bool full = false
  4: list<Item> items = []
  5: i64 hosts_revision = 0
  6: binary hosts = ""            // JSON as published, zlib; empty when not newer
  7: i64 digest = 0              // over all keys and revisions after this difference
  8: bool more = false            // more items follow after the last one
  9: i64 read_age_ms = -1         // since any process known to the sender has read the service
}
