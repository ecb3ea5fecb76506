// Views of the key registries as the replicated state keeps them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace mangoroad::state {

/// Numbered members of one failure domain's key registry.
struct View {
  /// Grows by 1 with each change; 1 for the first.
  std::uint64_t number = 0;
  /// Names of entry VMs, ordered; empty once the domain is retired.
  std::vector<std::string> members;
  bool retired = false;
  /// Time in the change that retired the domain; 0 before.
  base::WallMilliseconds retired_ms = 0;

  bool operator==(const View&) const = default;
};

}  // namespace mangoroad::state
