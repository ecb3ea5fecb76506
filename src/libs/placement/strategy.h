// Scoring of the candidate targets for a start.
#pragma once

#include <cstdint>
#include <string_view>

#include "placement/types.h"

namespace mangoroad::placement::internal {

/// A target with enough free capacity.
struct Candidate {
  Resources free{};
  Resources allocatable{};
  Resources need{};
  /// Tasks of the same row on the same rack.
  std::uint32_t same_row_on_rack = 0;
  std::uint32_t same_row_on_target = 0;
};

struct Strategy {
  std::string_view name{};
  /// Search the index from the largest free capacity downwards.
  bool largest_first = false;
  /// Score in [0, 1]; larger is better.
  double (*score)(const Candidate& candidate) = nullptr;
};

const Strategy& StrategyOf(StrategyKind kind);

}  // namespace mangoroad::placement::internal
