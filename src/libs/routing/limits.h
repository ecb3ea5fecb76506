// Limits on request rates, retries and concurrency, and the measured completion rate.
#pragma once

#include "base/time.h"

namespace mangoroad::routing {

/// Token bucket rate limiter.
class RateLimit {
 public:
  /// Sets the refill rate; 0 disables the limit. The bucket holds the tokens of 100 ms, at least
  /// one.
  void SetRate(double tokens_per_second);
  bool Take(base::TimePoint now);
  /// Time from the last Take() until a token is available. The rate must not be 0.
  [[nodiscard]] base::Duration Wait() const;

 private:
  double rate = 0;
  double tokens = 1;
  base::TimePoint last_refill;
};

/// Limits retries to a fraction of the first attempts, so that retries can't amplify an overload.
class RetryBudget {
 public:
  void OnFirstAttempt();
  bool Take();

 private:
  /// Allows one retry for ten first attempts.
  static constexpr double kTokensPerRequest = 0.1;
  /// Bounds the burst of retries after a period with few failures.
  static constexpr double kMaxTokens = 10;
  double tokens = kMaxTokens;
};

/// Concurrency limit that decreases when latency rises and recovers when it falls.
///
/// Increases the limit slowly and decreases it multiplicatively, depending on the mean latency of
/// an interval compared with a baseline, the lowest mean so far. When decreases don't lower the
/// latency, load isn't its cause and the baseline is raised. The baseline also drifts upwards
/// slowly.
class AdaptiveLimit {
 public:
  void OnResponse(base::TimePoint now, base::Duration latency, int in_flight);
  /// A request was cancelled at its deadline after running for `elapsed`. In such an interval only
  /// the shorter requests get responses, so the interval doesn't lower the baseline.
  void OnCancelled(base::Duration elapsed);
  [[nodiscard]] int Limit() const { return static_cast<int>(this->limit); }

  static constexpr int kMinLimit = 4;
  static constexpr int kMaxLimit = 1000000;

 private:
  double limit = 10000;
  double baseline_us = 0;
  double mean_before_decreases_us = 0;
  int decreases = 0;
  double sum_us = 0;
  int count = 0;
  int max_in_flight = 0;
  base::TimePoint interval_end;
  bool started = false;
  bool has_cancellations = false;
};

/// Smoothed rate of completed requests.
class ServiceRate {
 public:
  void OnCompletion(base::TimePoint now);
  /// Completions per second; 0 before the first measurement.
  [[nodiscard]] double PerSecond() const { return this->rate; }

 private:
  double rate = 0;
  int count = 0;
  base::TimePoint interval_start;
  bool started = false;
};

}  // namespace mangoroad::routing
