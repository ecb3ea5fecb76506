#include "routing/target_health.h"

#include <algorithm>
#include <limits>

namespace mangoroad::routing {
namespace {

constexpr double kTargetSmoothing = 0.1;
// A row's rate moves more slowly than a target's, so that one target can't hide in it.
constexpr double kRowSmoothing = 0.01;
// The breaker opens above this excess and closes only after kGoodToClose doublings of the
// allowance without a fault. The distance keeps it from switching on every small change.
constexpr double kOpenAt = 0.4;
constexpr int kFewestSamples = 10;
constexpr int kFirstAllowance = 1;
constexpr int kFullAllowance = 8;
constexpr base::Duration kFirstOpen = std::chrono::seconds(1);
constexpr int kMostDoublings = 5;

}  // namespace

TargetHealth::TargetHealth(std::uint64_t seed) : random(seed) {}

void TargetHealth::Open(base::TimePoint now, Breaker& breaker) {
  const auto limit = std::max<std::size_t>(
      1, static_cast<std::size_t>(kMostEjected * static_cast<double>(this->target_count)));
  if (breaker.state == BreakerState::kClosed) {
    if (this->ejected >= limit || this->target_count < 2) return;
    ++this->ejected;
  }
  const base::Duration length = kFirstOpen * (1 << std::min(breaker.opened, kMostDoublings));
  breaker.state = BreakerState::kOpen;
  breaker.opened += 1;
  breaker.allowance = 0;
  breaker.until = now + this->random.Between(length / 2, length);
}

void TargetHealth::OnReturningResult(base::TimePoint now, Breaker& breaker, bool fault) {
  if (fault) {
    this->Open(now, breaker);
    return;
  }
  if (++breaker.good < breaker.allowance) return;
  breaker.good = 0;
  breaker.allowance *= 2;
  if (breaker.allowance <= kFullAllowance) return;
  const int opened = breaker.opened;
  breaker = {};
  // The next opening soon after is longer, but the memory fades with each full return.
  breaker.opened = opened / 2;
  --this->ejected;
}

void TargetHealth::OnResult(base::TimePoint now, TargetIndex target, RowIndex row, bool fault,
                            bool certain) {
  if (target >= this->breakers.size()) this->breakers.resize(target + 1UL);
  if (row >= this->rows.size()) this->rows.resize(row + 1UL);
  Breaker& breaker = this->breakers[target];
  RowFaults& faults = this->rows[row];
  const double value = fault ? 1.0 : 0.0;
  const double expected = certain ? 0.0 : faults.rate;
  if (!certain) {
    // The plain mean at first, so that a new kind of work that fails everywhere is known as such
    // before any target has enough samples.
    faults.samples += 1;
    faults.rate += std::max(kRowSmoothing, 1.0 / faults.samples) * (value - faults.rate);
  }
  switch (breaker.state) {
    case BreakerState::kOpen:
      return;  // A late answer from before.
    case BreakerState::kReturning:
      // Work that fails everywhere says nothing of this target.
      this->OnReturningResult(now, breaker, fault && expected < kOpenAt);
      return;
    case BreakerState::kClosed:
      breaker.excess += kTargetSmoothing * ((value - expected) - breaker.excess);
      breaker.samples += 1;
      if (breaker.samples >= kFewestSamples && breaker.excess > kOpenAt) this->Open(now, breaker);
  }
}

std::vector<TargetIndex> TargetHealth::Tick(base::TimePoint now) {
  std::vector<TargetIndex> changed;
  for (TargetIndex target = 0; target < this->breakers.size(); ++target) {
    Breaker& breaker = this->breakers[target];
    if (breaker.state != BreakerState::kOpen || now < breaker.until) continue;
    breaker.state = BreakerState::kReturning;
    breaker.allowance = kFirstAllowance;
    breaker.good = 0;
    changed.push_back(target);
  }
  return changed;
}

BreakerState TargetHealth::StateOf(TargetIndex target) const {
  return target < this->breakers.size() ? this->breakers[target].state : BreakerState::kClosed;
}

int TargetHealth::Allowance(TargetIndex target) const {
  if (this->StateOf(target) == BreakerState::kClosed) return std::numeric_limits<int>::max();
  return this->breakers[target].allowance;
}

void TargetHealth::Reset(TargetIndex target) {
  if (target >= this->breakers.size()) return;
  if (this->breakers[target].state != BreakerState::kClosed) --this->ejected;
  this->breakers[target] = {};
}

}  // namespace mangoroad::routing
