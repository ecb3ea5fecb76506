#include <catch2/catch.hpp>

#include "metrics/activity_meter.h"

namespace mangoroad::metrics {
namespace {

using std::chrono::milliseconds;

ActivityTotal TotalOf(const ActivityMeter::Totals& totals, Activity activity) {
  return totals[static_cast<std::size_t>(activity)];
}

// Guards against a load report that counts the same time twice, so that its parts exceed the whole.
TEST_CASE("the time of an inner activity doesn't count for the outer one") {
  base::TimePoint now{std::chrono::seconds(100)};
  ActivityMeter meter([&now] { return now; });
  now += milliseconds(5);
  {
    const ActivityMeter::Scope apply(meter, Activity::kApply);
    now += milliseconds(10);
    {
      const ActivityMeter::Scope plan(meter, Activity::kPlan);
      now += milliseconds(20);
    }
    now += milliseconds(40);
  }
  const auto totals = meter.Take();
  CHECK(TotalOf(totals, Activity::kOther).time == milliseconds(5));
  CHECK(TotalOf(totals, Activity::kApply).time == milliseconds(50));
  CHECK(TotalOf(totals, Activity::kPlan).time == milliseconds(20));
  CHECK(TotalOf(totals, Activity::kPlan).calls == 1);
  CHECK(TotalOf(meter.Take(), Activity::kApply).calls == 0);
}

// Guards against a load report that attributes a long activity to the interval in which it ends.
TEST_CASE("an activity in progress counts up to the report") {
  base::TimePoint now{std::chrono::seconds(100)};
  ActivityMeter meter([&now] { return now; });
  const ActivityMeter::Scope disk(meter, Activity::kDisk);
  now += milliseconds(30);
  CHECK(TotalOf(meter.Take(), Activity::kDisk).time == milliseconds(30));
  now += milliseconds(10);
  CHECK(TotalOf(meter.Take(), Activity::kDisk).time == milliseconds(10));
}

}  // namespace
}  // namespace mangoroad::metrics
