// Slots from the loans of this entry VM.
#pragma once

#include "base/random.h"
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

  /// Spreads a demand for `slots` and `connections` evenly over the usable targets. Which targets
  /// get one more than others depends on the holder, so that holders don't all ask the same ones.
  void SpreadDemand(const std::vector<TargetIndex>& targets, int slots, int connections);

  /// Counts a connection for a session at the target with more free connections out of two samples
  /// of `targets`; a few more samples are taken when both are full. Nothing when all
  /// samples are full.
  std::optional<TargetIndex> OpenSession(base::TimePoint now,
                                         const std::vector<TargetIndex>& targets,
                                         base::Random& random);

 private:
  lending::Holder& holder;
};

}  // namespace mangoroad::routing
