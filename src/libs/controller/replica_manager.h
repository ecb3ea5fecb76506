// Keeps the voters of the log: adds replicas that ask to join, promotes those that have caught up,
// and replaces voters that are gone. Decides on the leader only; pure code.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/time.h"
#include "consensus/replica.h"

namespace mangoroad::controller {

struct ReplicaManagerSettings {
  /// Voters wanted: twice the losses to be borne, and one.
  std::size_t voters = 3;
  /// A voter that was silent for this long is replaced when another replica is ready for it. Longer
  /// than a freeze of a VM usually lasts.
  base::Duration replace_voter_after = std::chrono::seconds(6);
  /// A learner that was silent for this long is removed.
  base::Duration remove_learner_after = std::chrono::seconds(30);
};

enum class ReplicaChangeKind { kAddLearner, kPromote, kRemove };
inline constexpr base::NameTable<ReplicaChangeKind, 3> kReplicaChangeNames{{
    {ReplicaChangeKind::kAddLearner, "add-learner"},
    {ReplicaChangeKind::kPromote, "promote"},
    {ReplicaChangeKind::kRemove, "remove"},
}};

struct ReplicaChange {
  ReplicaChangeKind kind{};
  consensus::ReplicaId id;
};

class ReplicaManager {
 public:
  explicit ReplicaManager(ReplicaManagerSettings keeper_settings) : settings(keeper_settings) {}

  /// A replica asks to be added; kept until it is.
  void OnJoinRequest(const consensus::ReplicaId& id) { this->join_requests.insert(id); }
  /// The next change, if one is due. `status` is that of the leader.
  std::optional<ReplicaChange> NextChange(base::TimePoint now, const consensus::ReplicaId& self,
                                          const consensus::Status& status);

 private:
  base::Duration TimeSinceContact(base::TimePoint now, const consensus::ReplicaId& id) const;

  ReplicaManagerSettings settings;
  std::set<consensus::ReplicaId> join_requests;
  std::map<consensus::ReplicaId, base::TimePoint> last_contact;
};

}  // namespace mangoroad::controller
