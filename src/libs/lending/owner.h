// The owner's side of capacity lending: an entry VM that targets have chosen.
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

/// State of a target at its owner.
struct OwnedTarget {
  std::string name;
  std::string address;
  Fence fence;
  Amount capacity;
  Amount committed;  ///< Lent out or still in use on ended loans.
  base::TimePoint owned_until;
  bool leaving = false;
};

/// Owns targets by nonce and lends their slots and connections. The owner's own use is a loan to
/// itself: it sends a Borrow to itself like any other holder.
///
/// Safety: the sum of what holders may use and what ended loans still use never exceeds the
/// capacity that the target announced, and no loan outlives the ownership.
class Owner {
 public:
  /// `identity` is unique for each start of the process; `seed` seeds the nonces.
  Owner(std::string identity, std::uint64_t seed);
  ~Owner();
  Owner(Owner&&) noexcept;
  Owner& operator=(Owner&&) noexcept;

  /// Answers a target. Nonces are issued at `now`; an announcement that returns one extends the
  /// ownership to its issue time plus kOwnershipLength.
  AnnounceReply OnAnnouncement(base::TimePoint now, const Announcement& announcement);

  /// Records demand and returns of a holder and lends what is free. Items for targets that aren't
  /// owned get an amount of 0.
  Lend OnBorrow(base::TimePoint now, const Borrow& borrow);

  /// Stops or resumes lending of a target on an operator's order.
  void SetDraining(std::string_view target, bool draining);

  /// Recalls what holders have beyond their fair share while others have unmet demand, and
  /// everything on leaving targets; forgets targets that have been silent for kForgetAfter.
  std::vector<Lend> Tick(base::TimePoint now);

  /// Ownership ended this long ago, a target is forgotten. Its loans have ended by then.
  static constexpr base::Duration kForgetAfter = std::chrono::seconds(10);

  [[nodiscard]] std::optional<OwnedTarget> Find(base::TimePoint now, std::string_view target) const;
  /// Targets owned at `now`.
  [[nodiscard]] std::vector<OwnedTarget> Targets(base::TimePoint now) const;
  /// Whether a target that leaves has no loan that a holder may still start requests on.
  [[nodiscard]] bool StoppedLending(base::TimePoint now, std::string_view target) const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::lending
