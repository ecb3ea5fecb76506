#include "placement/strategy.h"

#include <algorithm>
#include <array>

namespace mangoroad::placement::internal {
namespace {

double Part(std::int64_t amount, std::int64_t whole) {
  if (whole <= 0) return 0;
  return std::clamp(static_cast<double>(amount) / static_cast<double>(whole), 0.0, 1.0);
}

// Free part of the scarcer of processors and memory after the start.
double FreeAfter(const Candidate& candidate) {
  Resources left = candidate.free;
  left -= candidate.need;
  return std::min(Part(left.millicores, candidate.usable.millicores),
                  Part(left.memory_mib, candidate.usable.memory_mib));
}

// The loss of a rack should hit few tasks of a row, so racks count before free room.
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
