// Slots from the loans of this entry VM.
#pragma once

#include "lending/holder.h"
#include "routing/types.h"

namespace mangoroad::routing {

/// Adapter from a lending::Holder, which must outlive it.
class HolderSlots : public SlotSource {
 public:
  explicit HolderSlots(lending::Holder& source) : holder(source) {}
  std::optional<lending::Fence> Start(base::TimePoint now, TargetIndex target) override;
  void End(TargetIndex target) override;
  void Abandon(TargetIndex target, base::TimePoint until) override;
  int Free(base::TimePoint now, TargetIndex target) const override;

 private:
  lending::Holder& holder;
};

}  // namespace mangoroad::routing
