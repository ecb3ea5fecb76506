#include "placement/strategy.h"

#include <algorithm>
#include <array>

namespace mangoroad::placement::internal {
namespace {

double Fraction(std::int64_t amount, std::int64_t total) {
  if (total <= 0) return 0;
  return std::clamp(static_cast<double>(amount) / static_cast<double>(total), 0.0, 1.0);
}

// Free fraction of processors or memory, whichever is smaller, after the start.
double FreeAfter(const Candidate& candidate) {
  Resources left = candidate.free;
  left -= candidate.need;
  return std::min(Fraction(left.millicores, candidate.allocatable.millicores),
                  Fraction(left.memory_mib, candidate.allocatable.memory_mib));
}

// The loss of a rack should affect few tasks of a row, so racks have more weight than free
// capacity.
double SpreadScore(const Candidate& candidate) {
  const double rack = 1.0 / (1 + candidate.same_row_on_rack);
  const double target = 1.0 / (1 + candidate.same_row_on_target);
  return 0.5 * rack + 0.2 * target + 0.3 * FreeAfter(candidate);
}

double PackScore(const Candidate& candidate) { return 1 - FreeAfter(candidate); }

constexpr std::array<Strategy, 2> kStrategies{{
    {"spread", true, SpreadScore},
    {"pack", false, PackScore},
}};

}  // namespace

const Strategy& StrategyOf(StrategyKind kind) {
  return kStrategies.at(static_cast<std::size_t>(kind));
}

}  // namespace mangoroad::placement::internal
