// Cost of a routing decision, measured with Google Benchmark.
#pragma once

#include <vector>

#include "routing/strategy.h"

namespace mangoroad::bench {

struct DecisionCost {
  routing::StrategyKind strategy{};
  int targets = 0;
  double nanoseconds = 0;  ///< Of one choice with its updates of the index for start and end.
};

/// Costs of each strategy at 48, 66, 1,000 and 15,000 targets.
std::vector<DecisionCost> MeasureDecisions();

}  // namespace mangoroad::bench
