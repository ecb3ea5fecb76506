#include <catch2/catch.hpp>

#include "controller/descriptor_budget.h"

namespace mangoroad::controller {
namespace {

// Guards against uses that together take the descriptors that the log and the replicas need.
TEST_CASE("the shares of a core VM stay under 60% of the limit") {
  for (const std::size_t limit : {256U, 1024U, 4100U, 4324U, 65'536U}) {
    const DescriptorBudget budget = DivideDescriptors(limit);
    CHECK(budget.target_calls + budget.control + budget.caller_relays < limit * 6 / 10);
    CHECK(budget.callers < limit * 6 / 10);
    CHECK(budget.caller_relays > 0);
  }
}

// Guards against a declared limit that is higher than what the kernel allows.
TEST_CASE("the lower limit counts") {
  const std::size_t own = DescriptorLimit(0);
  CHECK(own > 0);
  CHECK(DescriptorLimit(100) == 100);
  CHECK(DescriptorLimit(own + 1) == own);
}

}  // namespace
}  // namespace mangoroad::controller
