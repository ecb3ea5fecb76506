#include "dispatch/lease_clock.h"

#include <algorithm>

namespace mangoroad::dispatch {
namespace {

/// The platform lets a target's clock run up to 2% slow; 1 part in 40 covers it with rounding.
constexpr int kDriftDivisor = 40;

/// Target clocks are read in whole milliseconds.
constexpr base::Duration kResolution = std::chrono::milliseconds(2);

base::Duration WithDrift(base::Duration duration) { return duration + duration / kDriftDivisor; }

}  // namespace

LeaseClock::LeaseClock(LeaseDurations lease_durations, base::TimePoint term_start)
    : durations(lease_durations),
      inherited_expiry(term_start + WithDrift(lease_durations.grant) + lease_durations.margin) {}

void LeaseClock::OnClock(base::TimePoint received, TargetMilliseconds shown) {
  // A response that was overtaken by a newer one is ignored.
  if (this->clock && shown < *this->clock) return;
  if (!this->clock || shown >= this->Estimate(received)) {
    this->prompt_clock = shown;
    this->prompt_received = received;
  }
  this->clock = shown;
  this->clock_received = received;
}

bool LeaseClock::IsPlausible(base::TimePoint sent, TargetMilliseconds shown) const {
  if (!this->clock) return true;
  // A response that was overtaken was shown before the prompt value, by a clock of any speed.
  const base::Duration elapsed = sent - this->prompt_received;
  const base::Duration least = elapsed - std::chrono::abs(elapsed) / kDriftDivisor - kResolution;
  return shown >= this->prompt_clock + base::ToMilliseconds(least);
}

TargetMilliseconds LeaseClock::Estimate(base::TimePoint now) const {
  const base::Duration elapsed = now - this->prompt_received;
  return this->prompt_clock + base::ToMilliseconds(elapsed - elapsed / kDriftDivisor);
}

std::optional<TargetMilliseconds> LeaseClock::Grant(base::TimePoint now) {
  if (!this->clock) return std::nullopt;
  const TargetMilliseconds deadline =
      this->Estimate(now) + base::ToMilliseconds(this->durations.grant);
  this->granted_deadline = std::max(this->granted_deadline, deadline);
  return deadline;
}

void LeaseClock::Inherit(TargetMilliseconds deadline, base::TimePoint latest_expiry) {
  this->inherited_deadline = std::max(this->inherited_deadline, deadline);
  this->latest_inherited_expiry = std::max(this->latest_inherited_expiry, latest_expiry);
}

std::optional<base::Duration> LeaseClock::Left(base::TimePoint now) const {
  if (!this->clock || this->granted_deadline == 0) return std::nullopt;
  return std::chrono::milliseconds(this->granted_deadline - this->Estimate(now));
}

base::TimePoint LeaseClock::SafeExpiry() const {
  if (!this->clock) return std::max(this->inherited_expiry, this->latest_inherited_expiry);
  const TargetMilliseconds deadline = std::max(this->granted_deadline, this->inherited_deadline);
  const std::chrono::milliseconds left(std::max<std::int64_t>(0, deadline - *this->clock));
  return std::max(this->inherited_expiry,
                  this->clock_received + WithDrift(left) + this->durations.margin);
}

}  // namespace mangoroad::dispatch
