// Slots from the capacity leases that this entry VM holds.
#pragma once

#include "base/random.h"
#include "lending/holder.h"
#include "routing/types.h"

namespace mangoroad::routing {

/// Adapts a lending::Holder to SlotSource. The holder must outlive the adapter.
class HolderSlots : public SlotSource {
 public:
  explicit HolderSlots(lending::Holder& source) : holder(source) {}
  std::optional<lending::Fence> Acquire(base::TimePoint now, TargetIndex target) override;
  void Release(TargetIndex target) override;
  void Abandon(TargetIndex target, base::TimePoint until) override;
  int FreeSlots(base::TimePoint now, TargetIndex target) const override;

  /// Divides a demand for `slots` and `connections` evenly among the usable targets. The targets
  /// that get one unit of the remainder depend on the holder's identity, so that different holders
  /// ask different targets for it.
  void SpreadDemand(const std::vector<TargetIndex>& targets, int slots, int connections);

  /// Reserves a connection for a session at the one of two randomly sampled `targets` that has more
  /// free connections. Samples again a few times when both are full; empty when all samples are
  /// full.
  std::optional<TargetIndex> OpenSession(base::TimePoint now,
                                         const std::vector<TargetIndex>& targets,
                                         base::Random& random);

 private:
  lending::Holder& holder;
};

}  // namespace mangoroad::routing
