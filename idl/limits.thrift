// Leases of an entry's limits from the entry's home to a gateway.
namespace py trefoilpaddle.protocol.gen.limits

enum LimitKind { REQUEST_RATE = 0, CONCURRENCY = 1, TOKEN_RATE = 2 }

struct LeaseWant {
  1: string entry = ""
  2: LimitKind kind = 0
  3: double want = 0             // units wanted for the next lease period
  4: double used = 0             // units used in the last one
}
struct LeaseAsk {
  1: string gateway = ""
  2: i64 incarnation = 0
  3: i64 config_revision = 0
  4: i64 hosts_revision = 0
  5: list<LeaseWant> wants = []
}
struct LeaseGrant { 1: string entry = ""  2: LimitKind kind = 0  3: double granted = 0  4: i64 period_ms = 0 }
struct LeaseAnswer { 1: bool mine = false  2: list<LeaseGrant> grants = []  3: i64 config_revision = 0 }
