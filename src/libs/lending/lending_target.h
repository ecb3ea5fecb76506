// Target side of capacity lending, for simulated targets and tests.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "lending/lease_lengths.h"
#include "lending/messages.h"

namespace mangoroad::lending {

/// An Announcement with the address of the entry VM that it goes to.
struct OutgoingAnnouncement {
  std::string entry;
  Announcement message;
};

/// Reason for which a target refused a request or a connection. Each refusal has the outcome
/// `not-run`.
enum class Refusal { kNone, kStaleFence, kNoSlot, kNoConnection, kLeaving };

/// Settings of a target.
struct TargetSettings {
  std::string name;
  std::string address;
  std::uint64_t incarnation = 1;  ///< Higher than at any earlier start.
  Amount capacity;
  std::vector<std::string> entries;  ///< Addresses of the entry VMs of its failure domain.
};

/// Chooses one owner at a time, fences off earlier owners, and admits requests and connections
/// within its capacity.
class LendingTarget {
 public:
  explicit LendingTarget(TargetSettings settings);
  ~LendingTarget();
  LendingTarget(LendingTarget&&) noexcept;
  LendingTarget& operator=(LendingTarget&&) noexcept;

  /// Returns the announcement that is due, if any. Moves on to the next entry VM when the ownership
  /// of the current one has ended or it doesn't respond.
  std::optional<OutgoingAnnouncement> Tick(base::TimePoint now);
  /// `entry` is the address that the response came from.
  void OnResponse(base::TimePoint now, std::string_view entry,
                  const AnnouncementResponse& response);

  /// Starts to leave: refuses new requests and connections, and announces it without delay.
  void Leave(base::TimePoint now);

  /// Admits a request of `holder` or returns the reason for refusing it.
  Refusal StartRequest(std::string_view holder, Fence fence);
  void EndRequest(std::string_view holder);
  Refusal OpenConnection(std::string_view holder, Fence fence);
  void CloseConnection(std::string_view holder);

  [[nodiscard]] Fence CurrentFence() const;
  [[nodiscard]] Amount InUse() const;
  [[nodiscard]] std::map<std::string, Amount> InUseByHolder() const;
  /// Address of the entry VM that the target announces itself to.
  [[nodiscard]] const std::string& Entry() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::lending
