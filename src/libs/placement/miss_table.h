// Needs that found no room.
#pragma once

#include <cstdint>
#include <vector>

#include "jobs/job.h"

namespace mangoroad::placement::internal {

/// Needs that found no room since the epoch began, that is, since room last became free.
class MissTable {
 public:
  /// True when a need that is no more demanding found no room in these or more failure domains,
  /// given as bits.
  bool Contains(std::uint64_t now_epoch, std::uint64_t domains, const jobs::Resources& need);
  /// Adds a need to the epoch of the last Contains().
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
