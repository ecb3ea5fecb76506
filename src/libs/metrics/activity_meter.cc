#include "metrics/activity_meter.h"

#include <utility>

namespace mangoroad::metrics {

ActivityMeter::ActivityMeter(Clock monotonic_clock)
    : clock(std::move(monotonic_clock)), since(this->clock()) {}

ActivityMeter::Scope::Scope(ActivityMeter& activity_meter, Activity activity)
    : meter(activity_meter), outer(activity_meter.current) {
  this->meter.SwitchTo(activity);
  this->meter.totals[static_cast<std::size_t>(activity)].calls += 1;
}

ActivityMeter::Scope::~Scope() { this->meter.SwitchTo(this->outer); }

void ActivityMeter::SwitchTo(Activity next) {
  const base::TimePoint now = this->clock();
  this->totals[static_cast<std::size_t>(this->current)].time += now - this->since;
  this->current = next;
  this->since = now;
}

ActivityMeter::Totals ActivityMeter::Take() {
  this->SwitchTo(this->current);
  return std::exchange(this->totals, {});
}

}  // namespace mangoroad::metrics
