// Membership: who is there, heard from peers.
namespace py trefoilpaddle.protocol.gen.membership

enum MemberState { LIVE = 0, SUSPECT = 1, LEAVING = 2, DEAD = 3 }

struct Member {
  1: string process_id = ""
  2: i64 incarnation = 0
  3: string address = ""          // ip:port of the peer port
  4: string role = ""
  5: string failure_domain = ""
  6: string service_name = ""
  7: string target = ""
  8: MemberState state = 0
  9: i64 beat = 0                // raised by the process itself to overrule what is said of it
  10: i64 config_revision = 0
  11: i64 hosts_revision = 0
  12: string region = ""
  13: i32 millicores = 0           // processor that it may use; 0 if untold
  14: optional i64 leaving_ms     // since it announced its stop; unset by earlier builds
}

struct DomainDigest {
  1: string failure_domain = ""
  2: i64 digest = 0
}

// Without a call number: news, passed on by who did not know it.
// As a question: members and digests to compare.
struct Gossip {
  1: string sender = ""
  2: list<Member> members = []
  3: i64 digest = 0
  4: list<DomainDigest> domains = []
}

struct GossipAnswer {
  1: list<Member> members = []
  2: i64 digest = 0
  3: list<DomainDigest> domains = []
}
