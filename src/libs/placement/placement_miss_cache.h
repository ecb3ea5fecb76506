// Cache of resource needs that fit no target.
#pragma once

#include <cstdint>
#include <vector>

#include "jobs/job.h"

namespace mangoroad::placement::internal {

/// Needs that fit no target in the current epoch. A new epoch begins when capacity is freed or a
/// target changes.
class PlacementMissCache {
 public:
  /// True when a need that is no larger has failed in at least these failure domains, given as
  /// bits. Clears the cache when the epoch has changed.
  bool Contains(std::uint64_t now_epoch, std::uint64_t domains, const jobs::Resources& need);
  /// Adds a failed need to the epoch of the last Contains().
  void Add(std::uint64_t domains, const jobs::Resources& need);

 private:
  struct Miss {
    std::uint64_t domains = 0;
    jobs::Resources need{};
  };
  std::vector<Miss> misses;
  std::uint64_t epoch = 0;
};

}  // namespace mangoroad::placement::internal
