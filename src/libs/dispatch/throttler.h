// How fast tasks that fill may work beside tasks that serve.
//
// Load pattern: a wave of heavy tasks that fill lands on targets whose serving tasks are near the
// bound on their response times. The measured use of the bound is split into what the neighbours
// are known to add and the rest; harmful neighbours are slowed until the sum stays below the bound,
// harmless ones work on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "dispatch/interference_model.h"

namespace mangoroad::dispatch {

struct ThrottlerSettings {
  /// Part of the bound that serving tasks are kept below; the rest is for the lag of measurements.
  double target_slo_utilization = 0.85;
  /// Weight of a new measurement that is below the smoothed level; higher ones count at once.
  double smoothing_factor = 0.5;
  /// A serving task that is over this part of its bound by its own load, the estimated effect of
  /// its neighbours taken off `doubt` times, isn't helped by slowing them.
  double overload_threshold = 1.15;
  double interference_margin = 1.3;
  /// Neighbours that add less than this to the logarithm of the use are left alone.
  double negligible_interference = 0.06;
  /// A serving task that stays over its bound has all its neighbours stopped after this time,
  /// whatever the model says, and for this long; then again. Less than the shortest harm that is
  /// held against the system (4 s), with the lag of measurements and orders.
  base::Duration pause_delay = std::chrono::milliseconds(1800);
  base::Duration pause_duration = std::chrono::milliseconds(1500);
  /// It counts as over its bound until a value below this part of it: measurements are rough.
  double recovered_below = 0.8;
  /// Paces are multiples of this, so that small changes need no order. In percent.
  std::int32_t rate_step_percent = 20;
};

struct LatencyCriticalTask {
  std::string image;
  double slo_utilization = 0;  ///< measured part of its bound
  /// Smoothed logarithm of the use without neighbours; kept by the caller between rounds.
  double baseline = kUnknownBaseline;
  bool is_overloaded_alone = false;  ///< set by PlanPaces
  /// Since when the measured use was over the bound, and not clearly below it; kept by the caller
  /// between rounds.
  std::optional<base::TimePoint> violating_since;
  static constexpr double kUnknownBaseline = -10;
};

struct BestEffortTask {
  std::string image;
  double full_rate_share = 0;       ///< of the target's processors, at full pace
  double used_share = 0;            ///< as measured last
  std::int32_t rate_percent = 100;  ///< the pace to order
};

/// Updates the serving tasks' quiet levels and sets each filling task's pace. What the bounds allow
/// is given out in the order of `filling`: a few tasks at full pace end sooner on average than all
/// of them at an equal part of it.
void PlanThrottling(base::TimePoint now, const InterferenceModel& model,
                    const ThrottlerSettings& settings, std::vector<LatencyCriticalTask>& serving,
                    std::vector<BestEffortTask>& filling);

}  // namespace mangoroad::dispatch
