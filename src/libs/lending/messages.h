// Messages between targets, owners and holders of capacity.
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

/// Larger value of each component.
constexpr Amount Max(Amount a, Amount b) {
  return {std::max(a.slots, b.slots), std::max(a.connections, b.connections)};
}

/// Smaller value of each component.
constexpr Amount Min(Amount a, Amount b) {
  return {std::min(a.slots, b.slots), std::min(a.connections, b.connections)};
}

/// Fencing token of a target; it grows with each start of the target and each change of owner.
struct Fence {
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;

  friend auto operator<=>(const Fence&, const Fence&) = default;
};

/// Target to entry VM: state of the target when it sent the message.
struct Announcement {
  std::string target;
  std::string address;
  Fence fence;
  std::uint64_t nonce = 0;  ///< Latest nonce received under this fence; 0 for none.
  Amount capacity;
  std::map<std::string, Amount> in_use;  ///< By holder: requests in progress, open connections.
  bool leaving = false;
};

/// Entry VM to target, in answer to an Announcement.
struct AnnounceReply {
  std::string owner;  ///< Identity of the process, unique for each start.
  Fence fence;        ///< Copied from the announcement.
  std::uint64_t nonce = 0;
  bool owned = false;
  base::Duration announce_every{};
};

/// Holder to owner, for one target: demand, use and the limit that the holder keeps to.
struct BorrowItem {
  std::string target;
  Fence fence;
  std::uint64_t adopted =
      0;  ///< Number of the newest loan that the holder has adopted; 0 for none.
  Amount wanted;
  /// The holder starts nothing beyond this before it adopts a newer loan. A value below the loan
  /// returns the difference.
  Amount held;
};

/// Holder to owner: renewal, return or first request of loans on several targets.
struct Borrow {
  std::string owner;
  std::string holder;        ///< Identity of the process, unique for each start.
  std::uint64_t number = 0;  ///< Grows with each message to the same owner.
  std::vector<BorrowItem> items;
};

/// Owner to holder, for one target.
struct LendItem {
  std::string target;
  Fence fence;
  std::uint64_t loan = 0;   ///< Number of the loan; a holder ignores loans older than the newest.
  Amount amount;            ///< Total that the holder may use, including what it already uses.
  base::Duration length{};  ///< From the sending of the request that this message answers.
};

/// Owner to holder: answer to a Borrow, or a recall that refers to the last Borrow.
struct Lend {
  std::string owner;
  /// Identity of the process that sent the Borrow. A process that was started since has sent
  /// messages with the same numbers, so it must not take the answer for its own.
  std::string holder;
  std::uint64_t answers = 0;  ///< Number of the Borrow.
  std::vector<LendItem> items;
};

}  // namespace mangoroad::lending
