#include "placement/latency_guard.h"

namespace mangoroad::placement::internal {

GuardAction LatencyGuard::OnReport(base::TimePoint now, TargetNumber target, double latency_use) {
  State& state = this->states[target];
  if (latency_use <= this->settings.high) state.high_reports = 0;
  if (latency_use > this->settings.low) state.is_low = false;
  if (latency_use > this->settings.high) {
    ++state.high_reports;
    const bool settled = now - state.acted >= this->settings.settle;
    if (state.high_reports < this->settings.reports || !settled) return GuardAction::kNone;
    state.acted = now;
    // Throttling is undone easily, so it comes first.
    if (state.throttled) return GuardAction::kEvict;
    state.throttled = true;
    return GuardAction::kThrottle;
  }
  if (!state.throttled || latency_use > this->settings.low) return GuardAction::kNone;
  if (!state.is_low) {
    state.is_low = true;
    state.low_since = now;
  }
  if (now - state.low_since < this->settings.calm) return GuardAction::kNone;
  this->states.erase(target);
  return GuardAction::kUnthrottle;
}

}  // namespace mangoroad::placement::internal
