#include "routing/target_health.h"

#include <algorithm>
#include <limits>

namespace mangoroad::routing {
namespace {

constexpr double kTargetSmoothing = 0.1;
// A row's failure rate changes more slowly than a target's, so that the failures of one target
// don't raise the expected rate before the target is ejected.
constexpr double kRowSmoothing = 0.01;
// The breaker opens above this excess failure rate. It closes only after the limit on requests in
// flight has doubled from kInitialMaxInFlight past kFullMaxInFlight without a failure; the
// hysteresis keeps it from switching on small changes.
constexpr double kOpenThreshold = 0.4;
constexpr int kMinSamples = 10;
constexpr int kInitialMaxInFlight = 1;
constexpr int kFullMaxInFlight = 8;
constexpr base::Duration kInitialOpenDuration = std::chrono::seconds(1);
constexpr int kMaxOpenDoublings = 5;

}  // namespace

TargetHealth::TargetHealth(std::uint64_t seed) : random(seed) {}

void TargetHealth::Open(base::TimePoint now, Breaker& breaker) {
  const auto limit = std::max<std::size_t>(
      1, static_cast<std::size_t>(kMaxEjectedFraction * static_cast<double>(this->target_count)));
  if (breaker.state == BreakerState::kClosed) {
    if (this->ejected >= limit || this->target_count < 2) return;
    ++this->ejected;
  }
  const base::Duration length =
      kInitialOpenDuration * (1 << std::min(breaker.open_count, kMaxOpenDoublings));
  breaker.state = BreakerState::kOpen;
  breaker.open_count += 1;
  breaker.max_in_flight = 0;
  breaker.until = now + this->random.Between(length / 2, length);
}

void TargetHealth::OnHalfOpenResult(base::TimePoint now, Breaker& breaker, bool failed) {
  if (failed) {
    this->Open(now, breaker);
    return;
  }
  if (++breaker.successes < breaker.max_in_flight) return;
  breaker.successes = 0;
  breaker.max_in_flight *= 2;
  if (breaker.max_in_flight <= kFullMaxInFlight) return;
  const int open_count = breaker.open_count;
  breaker = {};
  // A breaker that opens again soon stays open for longer; each full recovery halves the count.
  breaker.open_count = open_count / 2;
  --this->ejected;
}

void TargetHealth::OnResult(base::TimePoint now, TargetIndex target, RowIndex row, bool failed,
                            bool connection_failed) {
  if (target >= this->breakers.size()) this->breakers.resize(target + 1UL);
  if (row >= this->rows.size()) this->rows.resize(row + 1UL);
  Breaker& breaker = this->breakers[target];
  RowFailures& failures = this->rows[row];
  const double value = failed ? 1.0 : 0.0;
  const double expected = connection_failed ? 0.0 : failures.rate;
  if (!connection_failed) {
    // The first samples are averaged without smoothing, so that the failure rate of a new row that
    // fails everywhere is known before any target has enough samples.
    failures.samples += 1;
    failures.rate += std::max(kRowSmoothing, 1.0 / failures.samples) * (value - failures.rate);
  }
  switch (breaker.state) {
    case BreakerState::kOpen:
      return;  // The attempt was sent before the ejection.
    case BreakerState::kHalfOpen:
      // A failure of a row that fails everywhere says nothing about this target.
      this->OnHalfOpenResult(now, breaker, failed && expected < kOpenThreshold);
      return;
    case BreakerState::kClosed:
      breaker.excess_failure_rate +=
          kTargetSmoothing * ((value - expected) - breaker.excess_failure_rate);
      breaker.samples += 1;
      if (breaker.samples >= kMinSamples && breaker.excess_failure_rate > kOpenThreshold) {
        this->Open(now, breaker);
      }
  }
}

std::vector<TargetIndex> TargetHealth::Tick(base::TimePoint now) {
  std::vector<TargetIndex> changed;
  for (TargetIndex target = 0; target < this->breakers.size(); ++target) {
    Breaker& breaker = this->breakers[target];
    if (breaker.state != BreakerState::kOpen || now < breaker.until) continue;
    breaker.state = BreakerState::kHalfOpen;
    breaker.max_in_flight = kInitialMaxInFlight;
    breaker.successes = 0;
    changed.push_back(target);
  }
  return changed;
}

BreakerState TargetHealth::StateOf(TargetIndex target) const {
  return target < this->breakers.size() ? this->breakers[target].state : BreakerState::kClosed;
}

int TargetHealth::MaxInFlight(TargetIndex target) const {
  if (this->StateOf(target) == BreakerState::kClosed) return std::numeric_limits<int>::max();
  return this->breakers[target].max_in_flight;
}

void TargetHealth::Reset(TargetIndex target) {
  if (target >= this->breakers.size()) return;
  if (this->breakers[target].state != BreakerState::kClosed) --this->ejected;
  this->breakers[target] = {};
}

}  // namespace mangoroad::routing
