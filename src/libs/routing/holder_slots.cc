#include "routing/holder_slots.h"

namespace mangoroad::routing {

std::optional<lending::Fence> HolderSlots::Start(base::TimePoint now, TargetIndex target) {
  return this->holder.Start(now, target);
}
void HolderSlots::End(TargetIndex target) { this->holder.End(target); }
void HolderSlots::Abandon(TargetIndex target, base::TimePoint until) {
  this->holder.Abandon(target, until);
}
int HolderSlots::Free(base::TimePoint now, TargetIndex target) const {
  return this->holder.Free(now, target).slots;
}

}  // namespace mangoroad::routing
