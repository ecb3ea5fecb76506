// Adaptive estimate of how long a living peer may be silent.
#pragma once

#include "base/time.h"

namespace mangoroad::membership {

/// Moving mean of the gaps between arrivals and of their deviation, as the retransmission timer of
/// TCP (RFC 6298) keeps them. Lost messages show as long gaps, so the estimate adapts to loss, too.
class GapEstimator {
 public:
  /// `interval` is that of the sender.
  explicit GapEstimator(base::Duration interval);

  void OnGap(base::Duration gap);
  /// A silence longer than this is suspicious; between 3 and 15 intervals.
  [[nodiscard]] base::Duration SuspicionTime() const;

 private:
  double interval_us;
  double mean_us;
  double deviation_us;
};

}  // namespace mangoroad::membership
