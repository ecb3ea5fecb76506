// Manages the membership of the log: adds replicas that ask to join, promotes those that have
// caught up, and replaces voters that failed. Runs on the leader only; the caller carries out the
// changes that it decides on.
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
  /// Desired number of voters: twice the failures to tolerate, plus one.
  std::size_t voters = 3;
  /// A voter that was silent for this long is replaced if another replica is ready. Longer than a
  /// VM usually stays frozen.
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
  explicit ReplicaManager(ReplicaManagerSettings manager_settings) : settings(manager_settings) {}

  /// Remembers the request of a replica to join until a change adds it.
  void OnJoinRequest(const consensus::ReplicaId& id) { this->join_requests.insert(id); }
  /// The next membership change, if one is due; `status` is the status of this replica, the leader.
  std::optional<ReplicaChange> NextChange(base::TimePoint now, const consensus::ReplicaId& self,
                                          const consensus::Status& status);

 private:
  base::Duration TimeSinceContact(base::TimePoint now, const consensus::ReplicaId& id) const;
  /// The removal of a learner that was silent for too long.
  std::optional<ReplicaChange> FindSilentLearner(base::TimePoint now,
                                                 const consensus::Status& status) const;

  ReplicaManagerSettings settings;
  std::set<consensus::ReplicaId> join_requests;
  std::map<consensus::ReplicaId, base::TimePoint> last_contact;
};

}  // namespace mangoroad::controller
