#include "placement/placement_miss_cache.h"

#include <algorithm>
#include <cstddef>

namespace mangoroad::placement::internal {
namespace {

// With more entries, comparing them would cost more than a search of the index.
constexpr std::size_t kMaxMisses = 32;

}  // namespace

bool PlacementMissCache::Contains(std::uint64_t now_epoch, std::uint64_t domains,
                                  const jobs::Resources& need) {
  if (this->epoch != now_epoch) {
    this->misses.clear();
    this->epoch = now_epoch;
  }
  return std::ranges::any_of(this->misses, [&](const Miss& miss) {
    return (domains & ~miss.domains) == 0 && miss.need.FitsIn(need);
  });
}

void PlacementMissCache::Add(std::uint64_t domains, const jobs::Resources& need) {
  std::erase_if(this->misses, [&](const Miss& miss) {
    return (miss.domains & ~domains) == 0 && need.FitsIn(miss.need);
  });
  if (this->misses.size() < kMaxMisses) this->misses.push_back({domains, need});
}

}  // namespace mangoroad::placement::internal
