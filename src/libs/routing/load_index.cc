#include "routing/load_index.h"

#include <algorithm>
#include <bit>

namespace mangoroad::routing {

LoadIndex::LoadIndex() : buckets(kBucketCount + 1) {}

void LoadIndex::Grow(TargetIndex target) {
  if (target < this->loads.size()) return;
  this->loads.resize(target + 1UL);
  this->positions.resize(target + 1UL);
}

TargetLoad& LoadIndex::Load(TargetIndex target) {
  this->Grow(target);
  return this->loads[target];
}

void LoadIndex::Remove(TargetIndex target) {
  Position& position = this->positions[target];
  if (position.bucket == 0) return;
  std::vector<TargetIndex>& bucket = this->buckets[position.bucket];
  const TargetIndex moved = bucket.back();
  bucket[position.in_bucket] = moved;
  this->positions[moved].in_bucket = position.in_bucket;
  bucket.pop_back();
  if (bucket.empty()) {
    this->non_empty_buckets &= ~(1ULL << static_cast<unsigned>(position.bucket - 1));
  }
  position.bucket = 0;
}

void LoadIndex::SetFree(TargetIndex target, int free) {
  this->Grow(target);
  TargetLoad& load = this->loads[target];
  Position& position = this->positions[target];
  const bool was_available = load.free > 0;
  load.free = std::max(free, 0);
  if (!was_available && load.free > 0) {
    position.in_available = static_cast<std::uint32_t>(this->available.size());
    this->available.push_back(target);
  } else if (was_available && load.free == 0) {
    const TargetIndex moved = this->available.back();
    this->available[position.in_available] = moved;
    this->positions[moved].in_available = position.in_available;
    this->available.pop_back();
  }
  // Interference from batch work reduces the number of slots that count as free.
  const int adjusted = static_cast<int>(load.free / std::max(1.0, load.slowdown));
  const int bucket = load.free == 0 ? 0 : std::clamp(adjusted, 1, kBucketCount);
  if (bucket == position.bucket) return;
  this->Remove(target);
  if (bucket == 0) return;
  position.bucket = bucket;
  position.in_bucket = static_cast<std::uint32_t>(this->buckets[bucket].size());
  this->buckets[bucket].push_back(target);
  this->non_empty_buckets |= 1ULL << static_cast<unsigned>(bucket - 1);
}

const std::vector<TargetIndex>* LoadIndex::MostFree() const {
  if (this->non_empty_buckets == 0) return nullptr;
  return &this->buckets[64 - std::countl_zero(this->non_empty_buckets)];
}

}  // namespace mangoroad::routing
