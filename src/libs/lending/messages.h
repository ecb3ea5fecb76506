// Messages between targets, owners and holders of target capacity.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace mangoroad::lending {

/// Slots (requests in progress) and open connections of one target.
struct Amount {
  std::int32_t slots = 0;
  std::int32_t connections = 0;

  friend bool operator==(const Amount&, const Amount&) = default;
  friend Amount operator+(Amount a, Amount b) {
    return {a.slots + b.slots, a.connections + b.connections};
  }
  friend Amount operator-(Amount a, Amount b) {
    return {a.slots - b.slots, a.connections - b.connections};
  }
};

/// Component-wise maximum.
constexpr Amount Max(Amount a, Amount b) {
  return {std::max(a.slots, b.slots), std::max(a.connections, b.connections)};
}

/// Component-wise minimum.
constexpr Amount Min(Amount a, Amount b) {
  return {std::min(a.slots, b.slots), std::min(a.connections, b.connections)};
}

/// Fencing token of a target. It increases with each start of the target and each change of owner.
struct Fence {
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;

  friend auto operator<=>(const Fence&, const Fence&) = default;
};

/// Target to entry VM: the state of the target when it sent the message.
struct Announcement {
  std::string target;
  std::string address;
  Fence fence;
  std::uint64_t nonce = 0;  ///< Latest nonce received under this fence; 0 for none.
  Amount capacity;
  std::map<std::string, Amount> in_use;  ///< By holder: requests in progress, open connections.
  bool leaving = false;
};

/// Entry VM to target: response to an Announcement.
struct AnnouncementResponse {
  std::string owner;  ///< Identity of the process, unique for each start.
  Fence fence;        ///< Copied from the announcement.
  std::uint64_t nonce = 0;
  bool owned = false;
  base::Duration announce_every{};
};

/// Holder to owner, for one target: demand and the limit that the holder observes.
struct BorrowItem {
  std::string target;
  Fence fence;
  /// Number of the newest capacity lease that the holder has adopted; 0 for none.
  std::uint64_t adopted_lease = 0;
  Amount wanted;
  /// The holder uses no more than this before it adopts a newer lease. A value below the leased
  /// amount returns the difference.
  Amount limit;
};

/// Holder to owner: requests, renews or returns capacity leases on several targets.
struct BorrowRequest {
  std::string owner;
  std::string holder;        ///< Identity of the process, unique for each start.
  std::uint64_t number = 0;  ///< Increases with each message to the same owner.
  std::vector<BorrowItem> items;
};

/// Owner to holder, for one target.
struct LendItem {
  std::string target;
  Fence fence;
  /// Number of the capacity lease; older leases than the newest are ignored.
  std::uint64_t lease_number = 0;
  Amount amount;              ///< Total that the holder may use, including what it already uses.
  base::Duration duration{};  ///< From the time at which the holder sent the request.
};

/// Owner to holder: response to a BorrowRequest, or a recall that refers to the last BorrowRequest.
struct LendMessage {
  std::string owner;
  /// Identity of the process that sent the BorrowRequest. A process restarted since then uses the
  /// same numbers again and must not take this message for a response to its own request.
  std::string holder;
  std::uint64_t request_number = 0;  ///< Number of the BorrowRequest.
  std::vector<LendItem> items;
};

}  // namespace mangoroad::lending
