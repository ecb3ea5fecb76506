// Index of targets by free slots, so that choosing a target doesn't scan all of them.
#pragma once

#include <cstdint>
#include <vector>

#include "routing/types.h"

namespace mangoroad::routing {

/// The load of a target as known to the router.
struct TargetLoad {
  int free = 0;           ///< Slots that requests may take now.
  int in_flight = 0;      ///< Attempts of this router.
  double latency = 1.0;   ///< Relative to the mean of the same rows, smoothed.
  double slowdown = 1.0;  ///< Due to interference from batch work; 1 for none.
};

/// Constant-time index: a list of all targets with free slots, and a list for each number of free
/// slots up to kBucketCount; the last one also holds the targets with more.
class LoadIndex {
 public:
  static constexpr int kBucketCount = 64;

  LoadIndex();
  /// Sets the free slots of a target; 0 removes it from the index.
  void SetFree(TargetIndex target, int free);
  TargetLoad& Load(TargetIndex target);
  [[nodiscard]] const TargetLoad& Load(TargetIndex target) const { return this->loads[target]; }

  /// Targets with free slots, in no particular order.
  [[nodiscard]] const std::vector<TargetIndex>& Available() const { return this->available; }
  /// The targets with the most free slots, adjusted for slowdown; null when no target has any.
  [[nodiscard]] const std::vector<TargetIndex>* MostFree() const;
  [[nodiscard]] std::size_t Size() const { return this->loads.size(); }

 private:
  struct Position {
    std::uint32_t in_available = 0;
    std::uint32_t in_bucket = 0;
    int bucket = 0;  // 0 while not in the index.
  };
  void Grow(TargetIndex target);
  void Remove(TargetIndex target);

  std::vector<TargetLoad> loads;
  std::vector<Position> positions;
  std::vector<TargetIndex> available;
  std::vector<std::vector<TargetIndex>> buckets;
  std::uint64_t non_empty_buckets = 0;  // Bit i is set while bucket i + 1 isn't empty.
};

}  // namespace mangoroad::routing
