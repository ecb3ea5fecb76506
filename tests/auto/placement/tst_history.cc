#include <catch2/catch.hpp>
#include <cstdint>

#include "fake_cluster.h"

namespace mangoroad::placement {
namespace {

// Guards against tasks in two places, attempts that run twice, lost jobs, false reports and
// exceeded capacity under crashes of the leader between any two steps, lost, late, repeated and
// reordered messages, and cut, frozen and restarted targets.
TEST_CASE("histories with faults keep the invariants") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const Faults faults = FakeCluster(seed).Run();
    INFO("seed " << seed << ": " << (faults.empty() ? "" : faults.front()));
    REQUIRE(faults.empty());
  }
}

}  // namespace
}  // namespace mangoroad::placement
