#include "routing/load_index.h"

#include <algorithm>
#include <bit>

namespace mangoroad::routing {

LoadIndex::LoadIndex() : buckets(kMostBuckets + 1) {}

void LoadIndex::Grow(TargetIndex target) {
  if (target < this->loads.size()) return;
  this->loads.resize(target + 1UL);
  this->places.resize(target + 1UL);
}

TargetLoad& LoadIndex::Load(TargetIndex target) {
  this->Grow(target);
  return this->loads[target];
}

void LoadIndex::Remove(TargetIndex target) {
  Place& place = this->places[target];
  if (place.bucket == 0) return;
  std::vector<TargetIndex>& bucket = this->buckets[place.bucket];
  const TargetIndex moved = bucket.back();
  bucket[place.in_bucket] = moved;
  this->places[moved].in_bucket = place.in_bucket;
  bucket.pop_back();
  if (bucket.empty()) this->filled &= ~(1ULL << static_cast<unsigned>(place.bucket - 1));
  place.bucket = 0;
}

void LoadIndex::SetFree(TargetIndex target, int free) {
  this->Grow(target);
  TargetLoad& load = this->loads[target];
  Place& place = this->places[target];
  const bool was_available = load.free > 0;
  load.free = std::max(free, 0);
  if (!was_available && load.free > 0) {
    place.in_available = static_cast<std::uint32_t>(this->available.size());
    this->available.push_back(target);
  } else if (was_available && load.free == 0) {
    const TargetIndex moved = this->available.back();
    this->available[place.in_available] = moved;
    this->places[moved].in_available = place.in_available;
    this->available.pop_back();
  }
  // A target slowed by batch work counts as having fewer free slots.
  const int adjusted = static_cast<int>(load.free / std::max(1.0, load.slowdown));
  const int bucket = load.free == 0 ? 0 : std::clamp(adjusted, 1, kMostBuckets);
  if (bucket == place.bucket) return;
  this->Remove(target);
  if (bucket == 0) return;
  place.bucket = bucket;
  place.in_bucket = static_cast<std::uint32_t>(this->buckets[bucket].size());
  this->buckets[bucket].push_back(target);
  this->filled |= 1ULL << static_cast<unsigned>(bucket - 1);
}

const std::vector<TargetIndex>* LoadIndex::MostFree() const {
  if (this->filled == 0) return nullptr;
  return &this->buckets[64 - std::countl_zero(this->filled)];
}

}  // namespace mangoroad::routing
