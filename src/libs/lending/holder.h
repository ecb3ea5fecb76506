// Holder side of capacity lending: an entry VM that sends requests to targets.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "lending/lease_lengths.h"
#include "lending/messages.h"

namespace mangoroad::lending {

/// Dense index of a target at one holder, stable until the target is removed.
using TargetIndex = std::uint32_t;

/// Tracks the capacity leases of an entry VM and its use of slots and connections of each target.
///
/// Each acquisition of a slot or connection compares the time with the end of the lease, so that a
/// process that was paused uses no expired lease.
class Holder {
 public:
  /// `identity` is unique for each start of the process and goes into `Mangoroad-Holder`.
  explicit Holder(std::string identity);
  ~Holder();
  Holder(Holder&&) noexcept;
  Holder& operator=(Holder&&) noexcept;

  [[nodiscard]] const std::string& Identity() const;

  /// Sets the owner from which to borrow a target's capacity. A fence older than the known one is
  /// ignored.
  TargetIndex SetOwner(std::string_view target, std::string_view owner, Fence fence);
  /// Stops borrowing from a removed target. Its index is reused once nothing of it is in use.
  void Remove(std::string_view target);
  [[nodiscard]] std::optional<TargetIndex> Find(std::string_view target) const;
  [[nodiscard]] const std::string& NameOf(TargetIndex target) const;

  /// Sets the total demand, including what is in use. A lower demand returns the difference.
  void SetDemand(TargetIndex target, Amount wanted);

  /// Acquires a slot and returns the fence for the request; empty when the lease has expired or no
  /// slot is free.
  std::optional<Fence> AcquireSlot(base::TimePoint now, TargetIndex target);
  /// Releases a slot whose request has ended at the target or was never sent.
  void ReleaseSlot(TargetIndex target);
  /// Stops waiting for a request that may still run at the target. The slot stays in use until
  /// `until`, by when the target has stopped the request at its deadline.
  void AbandonSlot(TargetIndex target, base::TimePoint until);

  /// Acquires a connection; false when the lease has expired or no connection is free.
  bool OpenConnection(base::TimePoint now, TargetIndex target);
  void CloseConnection(TargetIndex target);

  /// Slots and connections that can be acquired now.
  [[nodiscard]] Amount Free(base::TimePoint now, TargetIndex target) const;
  [[nodiscard]] Fence FenceOf(TargetIndex target) const;
  [[nodiscard]] Amount InUse(TargetIndex target) const;
  /// Total amount of the unexpired lease.
  [[nodiscard]] Amount Lent(base::TimePoint now, TargetIndex target) const;

  /// Adopts newer leases. A response to an unknown or expired BorrowRequest is ignored.
  void OnLendMessage(base::TimePoint now, const LendMessage& lend);

  /// Returns the due renewals, returns of capacity and first requests. To be called at least every
  /// 50 ms.
  std::vector<BorrowRequest> Tick(base::TimePoint now);

  /// Targets whose free amount has changed since the last call, by a message or by the release of
  /// an abandoned slot.
  std::vector<TargetIndex> TakeChanged();

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::lending
