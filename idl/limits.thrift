// Leases of an entry's limits from the entry's home to a gateway.
// Times are spans, or stamps of the *home's* own monotonic clock.
namespace py trefoilpaddle.protocol.gen.limits

enum LimitKind { REQUEST_RATE = 0, CONCURRENCY = 1, TOKEN_RATE = 2 }

struct LeaseWant {
  1: string entry = ""
  2: LimitKind kind = 0
  3: double want = 0             // rate: further units; concurrency: places in all
  4: double used = 0             // units used up since the last ask; for status
  5: double returned = 0         // unused units given back
  6: double keep = 0             // units still in hand; places not exceeded until the answer
  7: double need = 0             // units that the largest waiting request lacks
}
struct LeaseAsk {
  1: string gateway = ""
  2: i64 incarnation = 0
  3: i64 config_revision = 0
  4: i64 hosts_revision = 0
  5: list<LeaseWant> wants = []
  6: i64 home_incarnation = 0    // of the home that is meant; 0 only asks who is there
  7: i64 stamp_ns = 0            // last stamp received from this home
  8: i64 elapsed_ns = 0          // time at the gateway since that stamp arrived
  9: list<i32> buckets = []      // of entries, for which the gateway relies on this home
  10: list<i32> releases = []    // buckets for which it does so no more
  11: bool leaving = false       // the gateway stops: its shares are free
}
struct LeaseGrant {
  1: string entry = ""
  2: LimitKind kind = 0
  3: double granted = 0
  4: i64 period_ms = 0
  5: i64 retry_after_ms = 0
  6: bool contended = false      // another gateway wants more than it got
}
struct LeaseAnswer {
  1: bool mine = false            // the ask was fresh and meant this incarnation
  2: list<LeaseGrant> grants = []
  3: i64 config_revision = 0
  4: i64 stamp_ns = 0
  5: i64 incarnation = 0
  6: list<i32> buckets = []      // of those asked for, the ones decided here
  7: list<i32> released = []     // of the releases, those that can be relied on elsewhere
}
