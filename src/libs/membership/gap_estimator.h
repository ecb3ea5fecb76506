// Adaptive failure-detection timeout of a peer.
#pragma once

#include "base/time.h"

namespace mangoroad::membership {

/// Moving averages of the gaps between arrivals and of their deviation, as for the retransmission
/// timer of TCP (RFC 6298). Lost messages appear as long gaps, so the estimate also adapts to loss.
class GapEstimator {
 public:
  /// `interval` is the sender's interval between messages.
  explicit GapEstimator(base::Duration interval);

  void OnGap(base::Duration gap);
  /// A peer without messages for longer is suspected; between 3 and 15 intervals.
  [[nodiscard]] base::Duration SuspicionTimeout() const;

 private:
  double interval_us;
  double mean_us;
  double deviation_us;
};

}  // namespace mangoroad::membership
