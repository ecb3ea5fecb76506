// The holder's side of capacity lending: an entry VM that sends requests to targets.
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

/// Dense number of a target at one holder; stays the same while the target is known.
using TargetIndex = std::uint32_t;

/// Keeps the loans of an entry VM, and its use of slots and connections of each target.
///
/// Every start checks the clock against the end of the loan, so a paused process starts nothing
/// after it wakes.
class Holder {
 public:
  /// `identity` is unique for each start of the process and goes into `Mangoroad-Holder`.
  explicit Holder(std::string identity);
  ~Holder();
  Holder(Holder&&) noexcept;
  Holder& operator=(Holder&&) noexcept;

  [[nodiscard]] const std::string& Identity() const;

  /// Sets where to borrow a target's capacity. An older fence than the known one is ignored.
  TargetIndex SetOwner(std::string_view target, std::string_view owner, Fence fence);
  /// Stops borrowing of a target that is gone. Its index is used again once nothing is in use.
  void Forget(std::string_view target);
  [[nodiscard]] std::optional<TargetIndex> Find(std::string_view target) const;
  [[nodiscard]] const std::string& NameOf(TargetIndex target) const;

  /// Sets the total wanted, including what is in use. A lower demand returns the difference.
  void SetDemand(TargetIndex target, Amount wanted);

  /// Takes a slot; returns the fence for the request, or nothing when the loan has ended or no
  /// slot is free.
  std::optional<Fence> Start(base::TimePoint now, TargetIndex target);
  /// Frees a slot when the request has ended at the target or was never sent.
  void End(TargetIndex target);
  /// Gives up waiting for a request that may still run at the target. The slot stays taken until
  /// `until`, when the target has stopped it at its deadline.
  void Abandon(TargetIndex target, base::TimePoint until);

  /// Counts a connection to be opened; false when the loan has ended or none is left.
  bool OpenConnection(base::TimePoint now, TargetIndex target);
  void CloseConnection(TargetIndex target);

  /// Slots and connections that may be started now.
  [[nodiscard]] Amount Free(base::TimePoint now, TargetIndex target) const;
  [[nodiscard]] Fence FenceOf(TargetIndex target) const;
  [[nodiscard]] Amount InUse(TargetIndex target) const;
  /// Total lent and unexpired.
  [[nodiscard]] Amount Lent(base::TimePoint now, TargetIndex target) const;

  /// Adopts newer loans; an answer to an unknown or forgotten Borrow is ignored.
  void OnLend(base::TimePoint now, const Lend& lend);

  /// Renewals that are due, returns and first requests. Call it at least every 50 ms.
  std::vector<Borrow> Tick(base::TimePoint now);

  /// Targets whose free amount changed by a message or a release of an abandoned slot since the
  /// last call.
  std::vector<TargetIndex> TakeChanged();

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::lending
