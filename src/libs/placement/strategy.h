// How candidates for a start are ordered.
#pragma once

#include <cstdint>
#include <string_view>

#include "placement/types.h"

namespace mangoroad::placement::internal {

/// A target that fits, as a strategy sees it.
struct Candidate {
  Resources free{};
  Resources usable{};
  Resources need{};
  /// Tasks of the same row on the same rack.
  std::uint32_t same_row_on_rack = 0;
  std::uint32_t same_row_on_target = 0;
};

struct Strategy {
  std::string_view name{};
  /// Order in which the index is searched.
  bool largest_first = false;
  /// Larger is better; in [0, 1].
  double (*score)(const Candidate& candidate) = nullptr;
};

const Strategy& StrategyOf(StrategyKind kind);

}  // namespace mangoroad::placement::internal
