// Circuit breakers and outlier detection for targets.
#pragma once

#include <vector>

#include "base/random.h"
#include "routing/limits.h"
#include "routing/types.h"

namespace mangoroad::routing {

/// State of a target's circuit breaker.
enum class BreakerState { kClosed, kOpen, kHalfOpen };

/// Ejects targets that fail more often than the same rows fail on all targets. A row that fails
/// everywhere ejects no target, and at most a fraction kMaxEjectedFraction of the targets is
/// ejected at a time, so that a common fault leaves the rest in service.
class TargetHealth {
 public:
  static constexpr double kMaxEjectedFraction = 0.3;

  explicit TargetHealth(std::uint64_t seed);

  void SetTargetCount(std::size_t count) { this->target_count = count; }
  /// `failed` is true for an error. `connection_failed` is true for a failed connection, which the
  /// request can't have caused.
  void OnResult(base::TimePoint now, TargetIndex target, RowIndex row, bool failed,
                bool connection_failed);
  /// Moves open breakers whose time has passed to the half-open state.
  /// @return targets whose limit on requests in flight has changed
  std::vector<TargetIndex> Tick(base::TimePoint now);

  [[nodiscard]] BreakerState StateOf(TargetIndex target) const;
  /// Limit on the requests in flight at the target.
  [[nodiscard]] int MaxInFlight(TargetIndex target) const;
  /// Resets the state of a target, for example when it has a new incarnation.
  void Reset(TargetIndex target);

 private:
  struct Breaker {
    BreakerState state = BreakerState::kClosed;
    double excess_failure_rate = 0;  // Smoothed failure rate above the expected rate.
    int samples = 0;
    int max_in_flight = 0;
    int successes = 0;
    int open_count = 0;
    base::TimePoint until;
  };
  struct RowFailures {
    double rate = 0;
    int samples = 0;
  };
  void Open(base::TimePoint now, Breaker& breaker);
  void OnHalfOpenResult(base::TimePoint now, Breaker& breaker, bool failed);

  base::Random random;
  std::size_t target_count = 0;
  std::size_t ejected = 0;
  std::vector<Breaker> breakers;
  std::vector<RowFailures> rows;
};

}  // namespace mangoroad::routing
