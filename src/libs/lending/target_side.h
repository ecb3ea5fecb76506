// The target's side of capacity lending, for stand-ins and tests.
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

/// Why a target refused a request or a connection; each refusal has the outcome `not-run`.
enum class Refusal { kNone, kOldFence, kNoSlot, kNoConnection, kLeaving };

/// Settings of a target.
struct TargetSettings {
  std::string name;
  std::string address;
  std::uint64_t incarnation = 1;  ///< Higher than at each earlier start.
  Amount capacity;
  std::vector<std::string> entries;  ///< Addresses of the entry VMs of its failure domain.
};

/// Chooses one owner, fences it, and admits requests within its slots and connections.
class TargetSide {
 public:
  explicit TargetSide(TargetSettings settings);
  ~TargetSide();
  TargetSide(TargetSide&&) noexcept;
  TargetSide& operator=(TargetSide&&) noexcept;

  /// The announcement that is due. Changes owner when the last one has been silent long enough.
  std::optional<OutgoingAnnouncement> Tick(base::TimePoint now);
  /// `entry` is the address that the reply came from.
  void OnReply(base::TimePoint now, std::string_view entry, const AnnounceReply& reply);

  /// Starts to leave: announces it at once and refuses new requests and connections.
  void Leave(base::TimePoint now);

  /// Admits a request of `holder` or says why not.
  Refusal StartRequest(std::string_view holder, Fence fence);
  void EndRequest(std::string_view holder);
  Refusal OpenConnection(std::string_view holder, Fence fence);
  void CloseConnection(std::string_view holder);

  [[nodiscard]] Fence CurrentFence() const;
  [[nodiscard]] Amount InUse() const;
  [[nodiscard]] std::map<std::string, Amount> InUseByHolder() const;
  /// Address of the entry VM that it announces to.
  [[nodiscard]] const std::string& Entry() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::lending
