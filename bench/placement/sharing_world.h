// Targets with true interference curves; small fakes, no cluster simulator.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "interference/interference_estimator.h"
#include "placement/scheduler.h"

namespace mangoroad::bench {

/// Size of one deployment and of its run.
struct WorldSettings {
  std::size_t targets = 48;
  jobs::Resources capacity{16000, 60000, 0};
  /// Kept free for the service on each target.
  jobs::Resources service_reserve{4000, 15000, 0};
  std::uint64_t seed = 1;
  int seconds = 3600;
  /// Measured from this second on; before, the learned policy knows nothing.
  int warm_up = 900;
};

/// The true curves: slowdown of kind a by kind b at a load.
class Truth {
 public:
  static constexpr interference::KindId kKinds = 6;
  static constexpr interference::KindId kService = kKinds;
  static constexpr double kBoundMs = 100;

  explicit Truth(std::uint64_t seed);
  double Slowdown(interference::KindId kind, std::span<const interference::Neighbour> neighbours,
                  double load) const;
  /// p99 of the service without tasks, at the present rate.
  double QuietMs() const { return this->quiet_ms; }
  /// The load shifts: the service gets busier and some pairs interfere more.
  void Shift();

 private:
  std::vector<std::vector<double>> pairs;
  double quiet_ms = 45;
};

struct SharingResult {
  /// Finished core-seconds of work a second.
  double throughput = 0;
  /// 99th percentile over targets and seconds of the service's p99, in milliseconds.
  double p99_ms = 0;
  /// Part of targets and seconds with the p99 above its bound.
  double above_bound = 0;
  double evictions = 0;
  double finished = 0;
};

/// Makes the policy under test from what it may know.
using PolicyMaker = std::unique_ptr<placement::SharingPolicy> (*)(
    interference::InterferenceEstimator& model, const Truth& truth);

/// One run with a constant backlog of jobs.
SharingResult RunWorld(const WorldSettings& settings, PolicyMaker make_policy);

}  // namespace mangoroad::bench
