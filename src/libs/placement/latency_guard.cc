#include "placement/latency_guard.h"

#include <algorithm>

namespace mangoroad::placement::internal {

using base::TimePoint;

GuardAction LatencyGuard::OnHigh(TimePoint now, State& state) const {
  ++state.high_reports;
  state.high_at = now;
  const bool settled = now - state.acted >= this->settings.settle;
  if (state.high_reports < this->settings.reports || !settled) return GuardAction::kNone;
  state.acted = now;
  // Throttling is undone easily, so it comes first.
  if (state.throttled) return GuardAction::kEvict;
  state.throttled = true;
  state.patience =
      std::clamp(2 * state.patience, this->settings.patience, this->settings.max_patience);
  return GuardAction::kThrottle;
}

bool LatencyGuard::MayRelease(TimePoint now, State& state, double latency_use) const {
  if (latency_use > this->settings.low) {
    state.is_low = false;
  } else if (!state.is_low) {
    state.is_low = true;
    state.low_since = now;
  }
  const bool calm = state.is_low && now - state.low_since >= this->settings.calm;
  return calm || now - state.high_at >= state.patience;
}

GuardAction LatencyGuard::OnReport(TimePoint now, TargetNumber target, double latency_use) {
  State& state = this->states[target];
  state.recent.at(state.next) = latency_use;
  state.next = (state.next + 1) % state.recent.size();
  std::array<double, 3> sorted = state.recent;
  std::ranges::sort(sorted);
  const double median = sorted[1];
  if (median > this->settings.high) {
    state.is_low = false;
    return this->OnHigh(now, state);
  }
  state.high_reports = 0;
  if (!state.throttled || !this->MayRelease(now, state, median)) return GuardAction::kNone;
  state.throttled = false;
  return GuardAction::kUnthrottle;
}

}  // namespace mangoroad::placement::internal
