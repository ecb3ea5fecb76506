#include "routing/holder_slots.h"

#include <algorithm>
#include <functional>

namespace mangoroad::routing {

std::optional<lending::Fence> HolderSlots::Acquire(base::TimePoint now, TargetIndex target) {
  return this->holder.AcquireSlot(now, target);
}
void HolderSlots::Release(TargetIndex target) { this->holder.ReleaseSlot(target); }
void HolderSlots::Abandon(TargetIndex target, base::TimePoint until) {
  this->holder.AbandonSlot(target, until);
}
void HolderSlots::SpreadDemand(const std::vector<TargetIndex>& targets, int slots,
                               int connections) {
  if (targets.empty()) return;
  const auto count = targets.size();
  const std::size_t offset = std::hash<std::string>{}(this->holder.Identity()) % count;
  const auto share = [&](int total, std::size_t i) {
    const auto whole = static_cast<std::size_t>(std::max(total, 0));
    return static_cast<std::int32_t>(whole / count +
                                     ((i + offset) % count < whole % count ? 1 : 0));
  };
  for (std::size_t i = 0; i < count; ++i) {
    const lending::Amount wanted{share(slots, i), share(connections, i)};
    this->holder.SetDemand(targets[i], lending::Max(wanted, this->holder.InUse(targets[i])));
  }
}

std::optional<TargetIndex> HolderSlots::OpenSession(base::TimePoint now,
                                                    const std::vector<TargetIndex>& targets,
                                                    base::Random& random) {
  if (targets.empty()) return std::nullopt;
  const auto sample = [&] {
    return targets[random.Below(static_cast<std::uint32_t>(targets.size()))];
  };
  const auto free = [&](TargetIndex target) { return this->holder.Free(now, target).connections; };
  // Bounds the time of the decision; the caller may try again.
  constexpr int kMaxTries = 8;
  for (int i = 0; i < kMaxTries; ++i) {
    const TargetIndex first = sample();
    const TargetIndex second = sample();
    const TargetIndex chosen = free(first) >= free(second) ? first : second;
    if (this->holder.OpenConnection(now, chosen)) return chosen;
  }
  return std::nullopt;
}

int HolderSlots::FreeSlots(base::TimePoint now, TargetIndex target) const {
  return this->holder.Free(now, target).slots;
}

}  // namespace mangoroad::routing
