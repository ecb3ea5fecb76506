// Decides when a replica asks the others to add it to the configuration.
#pragma once

#include <optional>

#include "base/time.h"
#include "consensus/replica.h"

namespace mangoroad::controller {

/// A replica that was removed while it was cut off isn't told so: its own log still lists it as a
/// voter. It sees only that it has no leader, although one may exist.
class JoinSchedule {
 public:
  /// Time without a leader after which a replica asks although its log lists it. Several elections
  /// take less.
  static constexpr base::Duration kMaxTimeWithoutLeader = std::chrono::seconds(2);

  /// True when this replica, which is not the leader, should ask to join now.
  [[nodiscard]] bool IsRequestDue(base::TimePoint now, const consensus::ReplicaId& self,
                                  const consensus::Status& status);

 private:
  std::optional<base::TimePoint> without_leader_since;
};

}  // namespace mangoroad::controller
