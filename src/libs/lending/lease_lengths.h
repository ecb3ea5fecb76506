// Durations of the leases between targets, owners and holders.
#pragma once

#include "base/time.h"

namespace mangoroad::lending {

/// Interval between the announcements of a target.
inline constexpr base::Duration kAnnouncementInterval = std::chrono::milliseconds(500);
/// Duration of an ownership lease, from the issue of the nonce that the target returned. Three
/// announcement intervals tolerate the loss of one announcement.
inline constexpr base::Duration kOwnershipLeaseDuration = std::chrono::milliseconds(1500);
/// Maximum duration of a capacity lease. A leaving target whose owner died gets no new work after
/// this time.
inline constexpr base::Duration kCapacityLeaseDuration = std::chrono::milliseconds(1000);
/// Interval at which a holder renews its capacity leases. Two renewals may be lost before a lease
/// expires.
inline constexpr base::Duration kRenewalInterval = std::chrono::milliseconds(250);

/// Margin that the party whose view of a lease must end later adds: 1% for drift between two
/// monotonic clocks plus 50 ms.
constexpr base::Duration LeaseMargin(base::Duration lease) {
  return lease / 100 + std::chrono::milliseconds(50);
}

}  // namespace mangoroad::lending
