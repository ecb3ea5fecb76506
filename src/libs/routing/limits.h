// Limits on rates, retries and concurrency.
#pragma once

#include "base/time.h"

namespace mangoroad::routing {

/// Token bucket that refills with time.
class RateLimit {
 public:
  /// `rate` tokens a second; 0 for no limit. The bucket holds 100 ms of tokens, at least one.
  void SetRate(double tokens_per_second);
  bool Take(base::TimePoint now);
  /// Time until the next token.
  [[nodiscard]] base::Duration Wait() const;

 private:
  double rate = 0;
  double tokens = 1;
  base::TimePoint filled_at;
};

/// Allows retries as a part of the first attempts, so that retries can't multiply an overload.
class RetryBudget {
 public:
  void OnFirstAttempt();
  bool Take();

 private:
  /// One retry for ten requests.
  static constexpr double kRatio = 0.1;
  /// Retries saved up in calm times.
  static constexpr double kMost = 10;
  double tokens = kMost;
};

/// Limit on requests in flight that shrinks when latency grows and returns by itself.
///
/// Additive increase and multiplicative decrease on the mean latency of an interval, compared with
/// the lowest of such means. When a lower limit doesn't lower the latency, the load isn't its
/// cause, and the comparison moves up; it also drifts upwards slowly.
class AdaptiveLimit {
 public:
  void OnAnswer(base::TimePoint now, base::Duration latency, int in_flight);
  /// A request was cancelled at its deadline after running for `so_far`. The answers of such an
  /// interval are those of the shorter requests, so it doesn't lower the comparison.
  void OnCancelled(base::Duration so_far);
  [[nodiscard]] int Limit() const { return static_cast<int>(this->limit); }

  static constexpr int kLowest = 4;
  static constexpr int kHighest = 1000000;

 private:
  double limit = 10000;
  double baseline_us = 0;
  double mean_before_decreases_us = 0;
  int decreases = 0;
  double sum_us = 0;
  int count = 0;
  int most_in_flight = 0;
  base::TimePoint interval_end;
  bool started = false;
  bool censored = false;
};

/// Rate of completions, measured over the last second.
class ServiceRate {
 public:
  void OnCompletion(base::TimePoint now);
  /// Completions a second; 0 while nothing has been measured.
  [[nodiscard]] double PerSecond() const { return this->rate; }

 private:
  double rate = 0;
  int count = 0;
  base::TimePoint interval_start;
  bool started = false;
};

}  // namespace mangoroad::routing
