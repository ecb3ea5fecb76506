#include "placement/latency_guard.h"

#include <algorithm>

namespace mangoroad::placement::internal {

using base::TimePoint;

GuardAction LatencyGuard::OnHigh(TimePoint now, State& state) const {
  ++state.high_reports;
  state.high_at = now;
  const bool settled = now - state.acted >= this->settings.settling_time;
  if (state.high_reports < this->settings.min_high_reports || !settled) return GuardAction::kNone;
  state.acted = now;
  // Throttling comes first, since it is easily undone.
  if (state.throttled) return GuardAction::kEvict;
  state.throttled = true;
  state.release_timeout = std::clamp(2 * state.release_timeout, this->settings.release_timeout,
                                     this->settings.max_release_timeout);
  return GuardAction::kThrottle;
}

bool LatencyGuard::MayRelease(TimePoint now, State& state, double slo_utilization) const {
  if (slo_utilization > this->settings.release_below) {
    state.is_low = false;
  } else if (!state.is_low) {
    state.is_low = true;
    state.low_since = now;
  }
  const bool is_low_long_enough =
      state.is_low && now - state.low_since >= this->settings.release_delay;
  return is_low_long_enough || now - state.high_at >= state.release_timeout;
}

GuardAction LatencyGuard::OnReport(TimePoint now, TargetNumber target, double slo_utilization) {
  State& state = this->states[target];
  state.recent.at(state.next) = slo_utilization;
  state.next = (state.next + 1) % state.recent.size();
  std::array<double, 3> sorted = state.recent;
  std::ranges::sort(sorted);
  const double median = sorted[1];
  if (median > this->settings.throttle_above) {
    state.is_low = false;
    return this->OnHigh(now, state);
  }
  state.high_reports = 0;
  if (!state.throttled || !this->MayRelease(now, state, median)) return GuardAction::kNone;
  state.throttled = false;
  return GuardAction::kUnthrottle;
}

}  // namespace mangoroad::placement::internal
