// Reaction to services that are slower than their bound although placement predicted otherwise.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "base/time.h"
#include "placement/fleet.h"

namespace mangoroad::placement::internal {

enum class GuardAction : std::uint8_t { kNone, kThrottle, kEvict, kUnthrottle };

struct GuardSettings {
  /// p99/bound above which tasks are throttled, and below which they are released.
  double high = 1.0;
  double low = 0.8;
  /// Reports in a row above `high` before anything is done; one may be an outlier.
  std::uint32_t reports = 2;
  /// Time for an action to show in the reports before the next one.
  base::Duration settle = std::chrono::seconds(2);
  /// Time below `low` before tasks are released. Hysteresis keeps a task from being throttled and
  /// released with every burst of the service.
  base::Duration calm = std::chrono::seconds(5);
  /// Tasks are released as well when nothing was above `high` for this long, so that a service that
  /// stays between the two bounds doesn't throttle them for ever. It doubles with each time that
  /// the target is throttled, up to the second value, so that the target settles.
  base::Duration patience = std::chrono::seconds(15);
  base::Duration max_patience = std::chrono::minutes(10);
};

/// Decides for each target when its tasks are throttled, evicted or released.
class LatencyGuard {
 public:
  explicit LatencyGuard(GuardSettings guard_settings = {}) : settings(guard_settings) {}

  /// Takes a report with the largest p99/bound of the target's services.
  GuardAction OnReport(base::TimePoint now, TargetNumber target, double latency_use);

 private:
  struct State {
    /// The last reports; their median is what counts, so one outlier has no effect.
    std::array<double, 3> recent{};
    std::size_t next = 0;
    std::uint32_t high_reports = 0;
    bool throttled = false;
    base::TimePoint acted{};
    base::TimePoint low_since{};
    bool is_low = false;
    base::TimePoint high_at{};
    base::Duration patience{};
  };

  GuardAction OnHigh(base::TimePoint now, State& state) const;
  bool MayRelease(base::TimePoint now, State& state, double latency_use) const;

  GuardSettings settings;
  std::unordered_map<TargetNumber, State> states;
};

}  // namespace mangoroad::placement::internal
