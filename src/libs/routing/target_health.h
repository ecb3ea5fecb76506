// Circuit breakers and outlier detection for targets.
#pragma once

#include <vector>

#include "base/random.h"
#include "routing/limits.h"
#include "routing/types.h"

namespace mangoroad::routing {

/// State of a target's circuit breaker.
enum class BreakerState { kClosed, kOpen, kReturning };

/// Judges targets by failures beyond those that the same kinds of work have elsewhere. A kind of
/// work that fails everywhere ejects no target, and at most kMostEjected of all targets are ejected
/// at a time, so a common fault leaves the rest in service.
class TargetHealth {
 public:
  static constexpr double kMostEjected = 0.3;

  explicit TargetHealth(std::uint64_t seed);

  void SetTargetCount(std::size_t count) { this->target_count = count; }
  /// `fault` is true for an error; `certain` for a failed connection, which no kind of work causes.
  void OnResult(base::TimePoint now, TargetIndex target, RowIndex row, bool fault, bool certain);
  /// Moves open breakers on to a gradual return.
  /// @return targets whose allowance has changed
  std::vector<TargetIndex> Tick(base::TimePoint now);

  [[nodiscard]] BreakerState StateOf(TargetIndex target) const;
  /// Most requests in flight that the target may have now.
  [[nodiscard]] int Allowance(TargetIndex target) const;
  /// Forgets a target, for example when it has a new incarnation.
  void Reset(TargetIndex target);

 private:
  struct Breaker {
    BreakerState state = BreakerState::kClosed;
    double excess = 0;  // Smoothed part of failures beyond the expected part.
    int samples = 0;
    int allowance = 0;
    int good = 0;
    int opened = 0;
    base::TimePoint until;
  };
  struct RowFaults {
    double rate = 0;
    int samples = 0;
  };
  void Open(base::TimePoint now, Breaker& breaker);
  void OnReturningResult(base::TimePoint now, Breaker& breaker, bool fault);

  base::Random random;
  std::size_t target_count = 0;
  std::size_t ejected = 0;
  std::vector<Breaker> breakers;
  std::vector<RowFaults> rows;
};

}  // namespace mangoroad::routing
