#include <catch2/catch.hpp>
#include <string>

#include "controller/join_schedule.h"

namespace mangoroad::controller {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(std::int64_t ms) { return base::TimePoint(milliseconds(ms)); }

const std::string kSelf = "10.1.0.1:7";
const std::string kOther = "10.2.0.1:7";

// Guards against a replica that was removed while it was cut off and never votes again, since its
// own log still lists it as a voter (vp-kochi-fleet-grown, trouble-2, seed 73425337803).
TEST_CASE("a replica that its own log lists asks to join after 2 s without a leader") {
  JoinSchedule schedule;
  consensus::Status status;
  status.configuration = {{kSelf, kOther}, {}};
  CHECK_FALSE(schedule.IsRequestDue(At(0), kSelf, status));
  CHECK_FALSE(schedule.IsRequestDue(At(1900), kSelf, status));
  CHECK(schedule.IsRequestDue(At(2000), kSelf, status));
  status.leader = kOther;
  CHECK_FALSE(schedule.IsRequestDue(At(2100), kSelf, status));
  status.leader.clear();
  CHECK_FALSE(schedule.IsRequestDue(At(2200), kSelf, status));
}

// Guards against a new replica that waits although nothing lists it.
TEST_CASE("a replica that isn't in the configuration asks at once") {
  JoinSchedule schedule;
  consensus::Status status;
  status.configuration = {{kOther}, {}};
  status.leader = kOther;
  CHECK(schedule.IsRequestDue(At(0), kSelf, status));
}

}  // namespace
}  // namespace mangoroad::controller
