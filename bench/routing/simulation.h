// Virtual-time simulation of routers, targets and an ideal shared queue.
#pragma once

#include <cstdint>
#include <vector>

#include "base/time.h"
#include "routing/strategy.h"

namespace mangoroad::bench {

struct Scenario {
  routing::StrategyKind strategy = routing::StrategyKind::kProbing;
  double load = 0.9;  ///< Offered work as a part of the capacity of targets at full speed.
  int targets = 48;
  int slots = 8;
  int entries = 1;         ///< With more than one, slots are lent between them.
  double slow_part = 0;    ///< Part of the targets that are slow.
  double slow_factor = 3;  ///< How much longer requests run on them.
  base::Duration mean_service = std::chrono::milliseconds(10);
  base::Duration deadline = std::chrono::milliseconds(100);
  base::Duration length = std::chrono::seconds(12);
  base::Duration warm_up = std::chrono::seconds(3);  ///< Not measured.
  std::uint64_t seed = 1;
};

struct Measurement {
  std::vector<base::Duration> latencies;  ///< Of completed requests, sorted.
  double goodput = 0;  ///< Completions within the deadline, as a part of the capacity.
  double refused = 0;  ///< Part of the requests.

  [[nodiscard]] double PercentileMs(double part) const;
};

/// The routers with their admission control; slots are lent when there are several entry VMs.
Measurement SimulateRouters(const Scenario& scenario);

/// One unbounded queue in front of all slots, first in, first out, without admission control or
/// deadlines: the ideal below capacity, and the baseline without control above it.
Measurement SimulateSharedQueue(const Scenario& scenario);

}  // namespace mangoroad::bench
