// Throttles best-effort tasks that run beside latency-critical ones.
//
// Guards against a burst of heavy best-effort tasks on targets whose latency-critical tasks are
// near their SLO. The measured SLO utilization is split into the estimated interference of the
// neighbours and the rest. Interfering neighbours are slowed until the sum stays below the SLO;
// harmless ones keep their full rate.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "dispatch/interference_model.h"

namespace mangoroad::dispatch {

struct ThrottlerSettings {
  /// SLO utilization that is aimed at; the rest allows for the lag of measurements.
  double target_slo_utilization = 0.85;
  /// Weight of a new measurement below the smoothed baseline; higher ones count at once.
  double smoothing_factor = 0.5;
  /// A latency-critical task whose SLO utilization exceeds this by its own load, with the estimated
  /// interference taken off `interference_margin` times, isn't helped by slowing its neighbours.
  double overload_threshold = 1.15;
  double interference_margin = 1.3;
  /// Neighbours that add less than this to the logarithm of the SLO utilization aren't throttled.
  double negligible_interference = 0.06;
  /// While a task keeps violating its SLO, all its neighbours are paused after `pause_delay` for
  /// `pause_duration`, repeatedly and whatever the model says. With the lag of measurements and
  /// requests, the delay stays below the shortest violation that counts against the system (4 s).
  base::Duration pause_delay = std::chrono::milliseconds(1800);
  base::Duration pause_duration = std::chrono::milliseconds(1500);
  /// A violation ends only below this SLO utilization, since measurements are noisy.
  double recovered_below = 0.8;
  /// Rates are multiples of this, in percent, so that small changes need no request.
  std::int32_t rate_step_percent = 20;
};

struct LatencyCriticalTask {
  std::string_view image;
  double slo_utilization = 0;  ///< as measured
  /// Smoothed logarithm of the SLO utilization without neighbours; kept by the caller between
  /// rounds.
  double baseline = kUnknownBaseline;
  bool is_overloaded_alone = false;  ///< set by PlanThrottling
  /// Start of the current SLO violation, which ends below `recovered_below`; kept by the caller
  /// between rounds.
  std::optional<base::TimePoint> violating_since;
  static constexpr double kUnknownBaseline = -10;
};

struct BestEffortTask {
  std::string_view image;
  double full_rate_share = 0;       ///< of the target's processors, at the full rate
  double used_share = 0;            ///< as measured last
  std::int32_t rate_percent = 100;  ///< the rate to request, set by PlanThrottling
};

/// Updates the baselines of the latency-critical tasks and sets the rate of each best-effort task.
/// The budget that the SLOs leave is given out in the order of `best_effort`: a few tasks at the
/// full rate end sooner on average than all of them at an equal part of it.
void PlanThrottling(base::TimePoint now, const InterferenceModel& model,
                    const ThrottlerSettings& settings,
                    std::vector<LatencyCriticalTask>& latency_critical,
                    std::vector<BestEffortTask>& best_effort);

}  // namespace mangoroad::dispatch
