// Lengths of the leases between targets, owners and holders.
#pragma once

#include "base/time.h"

namespace mangoroad::lending {

/// Interval of a target's announcements.
inline constexpr base::Duration kAnnounceEvery = std::chrono::milliseconds(500);
/// Ownership lasts this long from the issue of the nonce that the target returned. Three
/// announcement intervals tolerate the loss of one announcement.
inline constexpr base::Duration kOwnershipLength = std::chrono::milliseconds(1500);
/// Longest loan. A leaving target whose owner died gets no new work after this time.
inline constexpr base::Duration kLoanLength = std::chrono::milliseconds(1000);
/// Interval at which a holder renews its loans. Two renewals may be lost before a loan ends.
inline constexpr base::Duration kRenewEvery = std::chrono::milliseconds(250);

/// Time added by the side of a lease that must end later: 1% for drift between two monotonic
/// clocks plus 50 ms.
constexpr base::Duration Allowance(base::Duration lease) {
  return lease / 100 + std::chrono::milliseconds(50);
}

}  // namespace mangoroad::lending
