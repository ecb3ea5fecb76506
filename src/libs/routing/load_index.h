// Targets in order of free slots, so that a decision doesn't look at all of them.
#pragma once

#include <cstdint>
#include <vector>

#include "routing/types.h"

namespace mangoroad::routing {

/// What the router knows of a target's load.
struct TargetLoad {
  int free = 0;           ///< Slots that may be started now.
  int in_flight = 0;      ///< Of this router.
  double latency = 1.0;   ///< Relative to the mean of the same rows; smoothed.
  double slowdown = 1.0;  ///< Interference of batch work beside the service; 1 for none.
};

/// Constant-time index: one list of all targets with free slots, and one list per count of free
/// slots up to kMostBuckets.
class LoadIndex {
 public:
  static constexpr int kMostBuckets = 64;

  LoadIndex();
  /// Sets the free slots of a target; 0 takes it out of the index.
  void SetFree(TargetIndex target, int free);
  TargetLoad& Load(TargetIndex target);
  [[nodiscard]] const TargetLoad& Load(TargetIndex target) const { return this->loads[target]; }

  /// Targets with free slots, in no particular order.
  [[nodiscard]] const std::vector<TargetIndex>& Available() const { return this->available; }
  /// The non-empty list with the most free slots, adjusted for slowdown; null when there is none.
  [[nodiscard]] const std::vector<TargetIndex>* MostFree() const;
  [[nodiscard]] std::size_t Size() const { return this->loads.size(); }

 private:
  struct Place {
    std::uint32_t in_available = 0;
    std::uint32_t in_bucket = 0;
    int bucket = 0;  // 0 while not in the index.
  };
  void Grow(TargetIndex target);
  void Remove(TargetIndex target);

  std::vector<TargetLoad> loads;
  std::vector<Place> places;
  std::vector<TargetIndex> available;
  std::vector<std::vector<TargetIndex>> buckets;
  std::uint64_t filled = 0;  // Bit i is set while bucket i + 1 isn't empty.
};

}  // namespace mangoroad::routing
