// Estimates the headroom that short tasks need, so that long-running tasks don't take it.
//
// Guards against this load pattern: targets are lost and their long-running tasks are restarted on
// the remaining ones until every core is taken for minutes. Each short urgent task would then wait
// for a task that never ends.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace mangoroad::dispatch {

struct ShortTaskDemandSettings {
  /// Time after which an earlier peak counts half.
  base::Duration half_life = std::chrono::seconds(6);
  /// Headroom as a multiple of the decayed peak: free capacity is fragmented over targets.
  double headroom_factor = 1.0;
};

/// Tracks the processors that running and waiting short tasks ask for at once, by service.
class ShortTaskDemand {
 public:
  explicit ShortTaskDemand(ShortTaskDemandSettings short_settings = {})
      : settings(short_settings) {}

  /// Records the current demand in thousandths of a core.
  void Observe(base::TimePoint now, const std::string& service, std::int64_t cpu);
  /// Thousandths of a core that long-running tasks leave to short tasks, including what short tasks
  /// use already.
  [[nodiscard]] std::int64_t Headroom(const std::string& service) const;

 private:
  struct Peak {
    double cpu = 0;
    base::TimePoint at;
  };

  ShortTaskDemandSettings settings;
  std::map<std::string, Peak> peaks;
};

}  // namespace mangoroad::dispatch
