#include "routing/limits.h"

#include <algorithm>
#include <utility>

namespace mangoroad::routing {
namespace {

double Seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

// With shorter intervals, the means are too noisy at a few hundred requests per second.
constexpr base::Duration kInterval = std::chrono::milliseconds(100);
constexpr int kMinSamples = 20;

}  // namespace

void RateLimit::SetRate(double tokens_per_second) {
  if (this->rate == tokens_per_second) return;
  this->rate = tokens_per_second;
  this->tokens = std::max(1.0, this->rate * 0.1);
}

bool RateLimit::Take(base::TimePoint now) {
  if (this->rate <= 0) return true;
  const double added = Seconds(now - this->last_refill) * this->rate;
  this->tokens = std::min(this->tokens + added, std::max(1.0, this->rate * 0.1));
  this->last_refill = now;
  if (this->tokens < 1) return false;
  this->tokens -= 1;
  return true;
}

base::Duration RateLimit::Wait() const {
  const double missing = std::max(0.0, 1 - this->tokens);
  return base::Duration(static_cast<base::Duration::rep>(missing / this->rate * 1e6));
}

void RetryBudget::OnFirstAttempt() {
  this->tokens = std::min(kMaxTokens, this->tokens + kTokensPerRequest);
}

bool RetryBudget::Take() {
  if (this->tokens < 1) return false;
  this->tokens -= 1;
  return true;
}

void AdaptiveLimit::OnCancelled(base::Duration elapsed) {
  this->sum_us += static_cast<double>(elapsed.count());
  this->count += 1;
  this->has_cancellations = true;
}

void AdaptiveLimit::OnResponse(base::TimePoint now, base::Duration latency, int in_flight) {
  // The first evaluation waits one more interval, because the first responses are those of short
  // requests.
  if (!std::exchange(this->started, true)) this->interval_end = now + 2 * kInterval;
  this->sum_us += static_cast<double>(latency.count());
  this->count += 1;
  this->max_in_flight = std::max(this->max_in_flight, in_flight);
  if (now < this->interval_end || this->count < std::max(kMinSamples, this->max_in_flight)) {
    return;
  }
  const double mean = this->sum_us / this->count;
  // Doubles the baseline in 140 s.
  constexpr double kBaselineDrift = 1.0005;
  if (!std::exchange(this->has_cancellations, false)) {
    this->baseline_us =
        this->baseline_us == 0 ? mean : std::min(mean, this->baseline_us * kBaselineDrift);
  }
  // Above twice the baseline latency, requests queue inside the targets.
  constexpr double kMaxLatencyRatio = 2.0;
  constexpr double kDecrease = 0.9;
  if (this->baseline_us > 0 && mean > kMaxLatencyRatio * this->baseline_us) {
    if (this->decreases == 0) this->mean_before_decreases_us = mean;
    // Three decreases lower the limit by 27%, which shows above the noise of up to 5% in the means.
    constexpr int kDecreasesBeforeCheck = 3;
    constexpr double kUnchangedRatio = 0.9;
    if (++this->decreases > kDecreasesBeforeCheck) {
      this->decreases = 0;
      if (mean > kUnchangedRatio * this->mean_before_decreases_us) this->baseline_us *= 1.25;
    }
    this->limit = std::min(this->limit, static_cast<double>(this->max_in_flight)) * kDecrease;
  } else if (this->decreases = 0; this->max_in_flight >= this->limit / 2) {
    this->limit += std::max(1.0, this->limit * 0.05);
  }
  this->limit =
      std::clamp(this->limit, static_cast<double>(kMinLimit), static_cast<double>(kMaxLimit));
  this->sum_us = 0;
  this->count = 0;
  this->max_in_flight = 0;
  this->interval_end = now + kInterval;
}

void ServiceRate::OnCompletion(base::TimePoint now) {
  if (!this->started) {
    this->started = true;
    this->interval_start = now;
    return;
  }
  this->count += 1;
  const base::Duration elapsed = now - this->interval_start;
  if (elapsed < kInterval) return;
  const double measured = this->count / Seconds(elapsed);
  constexpr double kSmoothing = 0.3;
  this->rate = this->rate == 0 ? measured : this->rate + kSmoothing * (measured - this->rate);
  this->count = 0;
  this->interval_start = now;
}

}  // namespace mangoroad::routing
