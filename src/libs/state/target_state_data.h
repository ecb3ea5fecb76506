// Operators' marks on targets as the replicated state keeps them.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"

namespace mangoroad::state {

/// What operators have declared about one target.
struct TargetMark {
  /// No new work.
  bool drained = false;
  /// This incarnation and all older ones run nothing any more; 0 when the target isn't lost.
  std::uint64_t lost_incarnation = 0;
  /// The last change of this mark.
  std::string author;
  std::string reason;
  base::WallMilliseconds time_ms = 0;
  std::uint64_t index = 0;

  bool operator==(const TargetMark&) const = default;
};

}  // namespace mangoroad::state
