// Ends that are acknowledged while a start of the same task may still be carried out.
#include <catch2/catch.hpp>
#include <string>

#include "restart_day.h"

namespace mangoroad::controller {
namespace {

// Guards against a task that runs once more after it was done and its end was acknowledged: a later
// incarnation of its target carries out an unanswered start, or forgets the end of such a run
// because of a late acknowledgement (issue 43, open).
TEST_CASE("a task whose end was acknowledged isn't started by a late request") {
  for (const double late_share : {0.06, 0.3}) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      INFO("seed " << seed << ", late " << late_share);
      RestartDay day(seed, late_share);
      day.Run();
      for (const std::string& repeat : day.Repeats()) FAIL_CHECK(repeat);
      CHECK(day.targets.late_repeats == 0);
    }
  }
}

}  // namespace
}  // namespace mangoroad::controller
