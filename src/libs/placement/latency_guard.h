// Reacts to services that violate their latency SLO although placement predicted otherwise.
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
  /// SLO utilization (p99 divided by the latency SLO) above which tasks are throttled, and below
  /// which they are released.
  double throttle_above = 1.0;
  double release_below = 0.8;
  /// Consecutive reports above `throttle_above` before an action; a single one may be an outlier.
  std::uint32_t min_high_reports = 2;
  /// Time between two actions, so that the first one shows in the reports.
  base::Duration settling_time = std::chrono::seconds(2);
  /// Time below `release_below` before tasks are released. The hysteresis avoids throttling and
  /// releasing a task with every burst of the service.
  base::Duration release_delay = std::chrono::seconds(5);
  /// Tasks are also released when no report was above `throttle_above` for this long. Otherwise a
  /// service that stays between the two thresholds would keep them throttled forever. The time-out
  /// doubles each time the target is throttled, up to the second value, to avoid oscillation.
  base::Duration release_timeout = std::chrono::seconds(15);
  base::Duration max_release_timeout = std::chrono::minutes(10);
};

/// Decides for each target when its tasks are throttled, evicted or released.
class LatencyGuard {
 public:
  explicit LatencyGuard(GuardSettings guard_settings = {}) : settings(guard_settings) {}

  /// Takes the largest SLO utilization of the target's services and returns what to do.
  GuardAction OnReport(base::TimePoint now, TargetNumber target, double slo_utilization);

 private:
  struct State {
    /// The last reports. Their median is compared with the thresholds, so one outlier has no
    /// effect.
    std::array<double, 3> recent{};
    std::size_t next = 0;
    std::uint32_t high_reports = 0;
    bool throttled = false;
    base::TimePoint acted{};
    base::TimePoint low_since{};
    bool is_low = false;
    base::TimePoint high_at{};
    base::Duration release_timeout{};
  };

  GuardAction OnHigh(base::TimePoint now, State& state) const;
  bool MayRelease(base::TimePoint now, State& state, double slo_utilization) const;

  GuardSettings settings;
  std::unordered_map<TargetNumber, State> states;
};

}  // namespace mangoroad::placement::internal
