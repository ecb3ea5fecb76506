// How much room the tasks that end soon need, so that tasks that last don't take it.
//
// Load pattern: targets are lost and their tasks that last are started again on what is left, until
// every core is reserved for minutes; then each short urgent task waits for a task that never ends.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace mangoroad::dispatch {

struct ShortTaskDemandSettings {
  /// Time after which an earlier peak counts half.
  base::Duration half_life = std::chrono::seconds(6);
  /// Room kept, as a multiple of the remembered peak: room is scattered over targets.
  double headroom_factor = 1.0;
};

/// Processors wanted at once by short tasks, by service: those that run and those that wait.
class ShortTaskDemand {
 public:
  explicit ShortTaskDemand(ShortTaskDemandSettings short_settings = {})
      : settings(short_settings) {}

  void Observe(base::TimePoint now, const std::string& service, std::int64_t cpu);
  /// Thousandths of a core that tasks that last leave free, those in use by short tasks included.
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
