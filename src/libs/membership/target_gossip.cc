#include "membership/target_gossip.h"

#include <iterator>

namespace mangoroad::membership {

bool TargetGossip::Adopt(base::TimePoint now, const TargetEntry& entry, std::string_view source) {
  if (entry.age >= kMaxAge) return false;
  KnownEntry& known = this->targets[entry.id];
  const bool is_new = known.change == 0;
  if (!is_new && entry.version <= known.entry.version) return false;
  this->changes.erase(known.change);
  known = {entry, ++this->last_change, std::string(source), now - entry.age};
  this->changes.emplace(known.change, entry.id);
  this->changed.insert(entry.id);
  return true;
}

TargetGossip::Delta TargetGossip::ChangesAfter(base::TimePoint now, std::uint64_t after,
                                               std::string_view peer) const {
  Delta delta;
  if (after >= this->last_change) return delta;
  delta.first = after + 1;
  delta.last = this->last_change;
  for (auto it = this->changes.upper_bound(after); it != this->changes.end(); ++it) {
    const KnownEntry& known = this->targets.find(it->second)->second;
    if (known.source == peer) continue;
    if (delta.entries.size() == kMaxEntries) {
      delta.last = it->first - 1;
      break;
    }
    delta.entries.push_back(known.entry);
    delta.entries.back().age = now - known.published;
  }
  return delta;
}

std::vector<TargetEntry> TargetGossip::Current(base::TimePoint now) const {
  std::vector<TargetEntry> current;
  for (const auto& [id, known] : this->targets) {
    if (!known.entry.is_removed && now - known.published < kMaxAge) current.push_back(known.entry);
  }
  return current;
}

std::vector<std::string> TargetGossip::TakeChanged() {
  std::vector<std::string> ids(this->changed.begin(), this->changed.end());
  this->changed.clear();
  return ids;
}

void TargetGossip::RemoveExpired(base::TimePoint now) {
  for (auto it = this->targets.begin(); it != this->targets.end();) {
    if (now - it->second.published < kMaxAge) {
      ++it;
      continue;
    }
    this->changed.insert(it->first);
    this->changes.erase(it->second.change);
    it = this->targets.erase(it);
  }
}

const TargetEntry* TargetGossip::Find(std::string_view id) const {
  const auto found = this->targets.find(id);
  return found == this->targets.end() ? nullptr : &found->second.entry;
}

}  // namespace mangoroad::membership
