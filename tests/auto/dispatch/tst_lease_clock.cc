#include <catch2/catch.hpp>

#include "dispatch/lease_clock.h"
#include "support/required.h"

namespace mangoroad::dispatch {
namespace {

using support::Required;

using std::chrono::milliseconds;

base::TimePoint At(std::int64_t ms) { return base::TimePoint(milliseconds(ms)); }

/// Shows 5,000 when the leader's clock shows 10,000 ms, and runs at 98% from then on.
TargetMilliseconds SlowClock(std::int64_t leader_ms) {
  return 5'000 + (leader_ms - 10'000) * 98 / 100;
}

// Guards against a second run beside one whose lease is still valid on the target's slow clock.
TEST_CASE("a lease counts as expired only after a clock 2% slow has passed its deadline") {
  const LeaseDurations durations;
  LeaseClock lease(durations, At(0));
  lease.OnClock(At(10'010), SlowClock(10'000));
  const auto deadline = lease.Grant(At(10'200));
  REQUIRE(deadline.has_value());
  std::int64_t expires_at = 10'000;
  while (SlowClock(expires_at) < Required(deadline)) ++expires_at;
  CHECK(lease.SafeExpiry() > At(expires_at));
  // Nor much later, since work waits for the expiry.
  CHECK(lease.SafeExpiry() < At(expires_at) + milliseconds(1'000));
}

// Guards against a new leader that takes a lease for expired which an earlier leader just extended.
TEST_CASE("a lease of an earlier leader lasts its full length from the start of the term") {
  const LeaseDurations durations;
  const LeaseClock unknown(durations, At(7'000));
  CHECK(unknown.SafeExpiry() >= At(7'000) + durations.grant + durations.margin);
  LeaseClock known(durations, At(7'000));
  known.OnClock(At(7'020), 5);
  CHECK(known.SafeExpiry() >= At(7'000) + durations.grant + durations.margin);
}

// Guards against runs that are given up while a lease for a former incarnation goes on.
TEST_CASE("a lease lasts as long as one that requests for a former incarnation may have granted") {
  LeaseClock lease({}, At(9'000));
  lease.Inherit(15'000, At(19'000));
  CHECK(lease.SafeExpiry() >= At(19'000));
  lease.OnClock(At(10'000), SlowClock(10'000));
  lease.Grant(At(10'000));
  std::int64_t expires_at = 10'000;
  while (SlowClock(expires_at) < 15'000) ++expires_at;
  CHECK(lease.SafeExpiry() > At(expires_at));
  CHECK(lease.SafeExpiry() < At(expires_at) + milliseconds(1'000));
  // Later grants count as usual.
  lease.OnClock(At(30'000), SlowClock(30'000));
  lease.Grant(At(30'000));
  CHECK(lease.SafeExpiry() < At(35'000));
}

// Guards against a response of the next incarnation that is taken for one of the present one, and
// against the opposite when responses overtake each other.
TEST_CASE("a clock that has started anew is told from a response that was overtaken") {
  LeaseClock lease({}, At(0));
  CHECK(lease.IsPlausible(At(10'000), 3));
  lease.OnClock(At(10'000), 5'000);
  CHECK(!lease.IsPlausible(At(10'100), 40));
  CHECK(lease.IsPlausible(At(12'000), 5'000 + 2'000 * 98 / 100));
  // Sent 3 s before the latest value was read, to a clock of the usual speed.
  CHECK(lease.IsPlausible(At(7'000), 2'000));
  CHECK(!lease.IsPlausible(At(7'000), 1'800));
}

// Guards against a deadline computed without the target's clock, which the target would refuse or
// which would last too long.
TEST_CASE("nothing is granted before the target's clock is known") {
  LeaseClock lease({}, At(0));
  CHECK_FALSE(lease.Grant(At(100)).has_value());
}

// Guards against leases that a leader shortens by its own lateness: runs lapse and are started
// again, which adds to the load that made it late.
TEST_CASE("a response that was read late doesn't shorten the lease") {
  const LeaseDurations durations;
  LeaseClock lease(durations, At(0));
  lease.OnClock(At(10'010), SlowClock(10'000));
  lease.OnClock(At(11'900), SlowClock(11'000));
  const auto deadline = Required(lease.Grant(At(11'900)));
  CHECK(milliseconds(deadline - SlowClock(11'900)) >= durations.grant - milliseconds(60));
  CHECK(milliseconds(deadline - SlowClock(11'900)) <= durations.grant);
  // It still counts as expired only after the target's clock has passed the deadline.
  std::int64_t expires_at = 11'900;
  while (SlowClock(expires_at) < deadline) ++expires_at;
  CHECK(lease.SafeExpiry() > At(expires_at));
}

// Guards against an overtaken response that sets the clock back, which would shorten leases.
TEST_CASE("an older response doesn't replace a newer one") {
  LeaseClock lease({}, At(0));
  lease.OnClock(At(1'000), 500);
  const auto before = lease.Grant(At(1'000));
  lease.OnClock(At(1'100), 300);
  CHECK(lease.Grant(At(1'000)) == before);
}

}  // namespace
}  // namespace mangoroad::dispatch
