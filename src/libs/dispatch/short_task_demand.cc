#include "dispatch/short_task_demand.h"

#include <algorithm>
#include <cmath>

namespace mangoroad::dispatch {

void ShortTaskDemand::Observe(base::TimePoint now, const std::string& service, std::int64_t cpu) {
  Peak& peak = this->peaks[service];
  const double halvings = std::chrono::duration<double>(now - peak.at) /
                          std::chrono::duration<double>(this->settings.half_life);
  peak.cpu = std::max(static_cast<double>(cpu), peak.cpu * std::exp2(-std::max(0.0, halvings)));
  peak.at = now;
}

std::int64_t ShortTaskDemand::Headroom(const std::string& service) const {
  const auto found = this->peaks.find(service);
  if (found == this->peaks.end()) return 0;
  return static_cast<std::int64_t>(found->second.cpu * this->settings.headroom_factor);
}

}  // namespace mangoroad::dispatch
