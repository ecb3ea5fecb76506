// Owner side of capacity lending: an entry VM that targets have chosen.
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
  Amount committed;  ///< Lent, or still in use under expired leases.
  base::TimePoint owned_until;
  bool leaving = false;
};

/// Owns targets that return its nonces, and lends their slots and connections. For its own use, the
/// owner sends a BorrowRequest to itself like any other holder.
///
/// Safety: the sum of what holders may use and what is still in use under expired leases never
/// exceeds the capacity that the target announced, and no capacity lease outlives the ownership.
class Owner {
 public:
  /// `identity` is unique for each start of the process; `seed` seeds the nonces.
  Owner(std::string identity, std::uint64_t seed);
  ~Owner();
  Owner(Owner&&) noexcept;
  Owner& operator=(Owner&&) noexcept;

  /// Responds to a target with a nonce issued at `now`. An announcement that returns a nonce
  /// extends the ownership to the time of its issue plus kOwnershipLeaseDuration.
  AnnouncementResponse OnAnnouncement(base::TimePoint now, const Announcement& announcement);

  /// Records the demand and the returns of a holder and lends what is free. Items for targets that
  /// aren't owned get an amount of 0.
  LendMessage OnBorrowRequest(base::TimePoint now, const BorrowRequest& borrow);

  /// Stops or resumes lending of a target at an operator's request.
  void SetDraining(std::string_view target, bool draining);

  /// Recalls what holders have beyond their fair share when a target's capacity is exhausted, and
  /// everything on leaving or draining targets. Removes targets without ownership or contact for
  /// kRetentionAfterOwnership.
  std::vector<LendMessage> Tick(base::TimePoint now);

  /// Time after the end of the ownership at which a target is removed. Its leases have expired by
  /// then.
  static constexpr base::Duration kRetentionAfterOwnership = std::chrono::seconds(10);

  [[nodiscard]] std::optional<OwnedTarget> Find(base::TimePoint now, std::string_view target) const;
  /// Targets owned at `now`.
  [[nodiscard]] std::vector<OwnedTarget> Targets(base::TimePoint now) const;
  /// Whether a target is not lent and no holder can start requests on an unexpired lease of it.
  [[nodiscard]] bool HasStoppedLending(base::TimePoint now, std::string_view target) const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::lending
