#include <catch2/catch.hpp>
#include <cstdint>

#include "fake_cluster.h"

namespace mangoroad::placement {
namespace {

// Guards against tasks that run on two targets, attempts that run twice, lost jobs, wrongly
// reported results and exceeded capacity. The faults are leader crashes between any two steps,
// lost, late, duplicated and reordered messages, and partitioned, frozen and restarted targets.
TEST_CASE("histories with faults keep the invariants") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const Violations violations = FakeCluster(seed).Run();
    INFO("seed " << seed << ": " << (violations.empty() ? "" : violations.front()));
    REQUIRE(violations.empty());
  }
}

}  // namespace
}  // namespace mangoroad::placement
