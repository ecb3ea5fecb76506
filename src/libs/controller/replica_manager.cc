#include "controller/replica_manager.h"

#include <algorithm>

#include "controller/identity.h"

namespace mangoroad::controller {

base::Duration ReplicaManager::TimeSinceContact(base::TimePoint now,
                                                const consensus::ReplicaId& id) const {
  const auto found = this->last_contact.find(id);
  return found == this->last_contact.end() ? base::Duration{} : now - found->second;
}

std::optional<ReplicaChange> ReplicaManager::NextChange(base::TimePoint now,
                                                        const consensus::ReplicaId& self,
                                                        const consensus::Status& status) {
  std::erase_if(this->last_contact,
                [&](const auto& entry) { return !status.configuration.Has(entry.first); });
  std::set<consensus::ReplicaId> ready;
  for (const consensus::PeerStatus& peer : status.peers) {
    if (peer.active) this->last_contact[peer.id] = now;
    this->last_contact.emplace(peer.id, now);
    const bool is_learner = status.configuration.HasLearner(peer.id);
    if (is_learner && peer.active && peer.durable && peer.match_index >= status.commit_index) {
      ready.insert(peer.id);
    }
  }
  std::erase_if(this->join_requests, [&](const auto& id) { return status.configuration.Has(id); });
  if (!status.configuration_committed) return std::nullopt;
  if (!this->join_requests.empty()) {
    const consensus::ReplicaId id = *this->join_requests.begin();
    this->join_requests.erase(this->join_requests.begin());
    return ReplicaChange{ReplicaChangeKind::kAddLearner, id};
  }
  for (const consensus::ReplicaId& voter : status.configuration.voters) {
    if (voter == self) continue;
    // A replica with this address and another identity: the voter's disk was lost.
    const bool has_new_identity = std::ranges::any_of(
        ready, [&](const auto& id) { return AddressOf(id) == AddressOf(voter); });
    const bool is_silent =
        !ready.empty() && this->TimeSinceContact(now, voter) >= this->settings.replace_voter_after;
    if (has_new_identity || is_silent) return ReplicaChange{ReplicaChangeKind::kRemove, voter};
  }
  if (!ready.empty() && status.configuration.voters.size() < this->settings.voters) {
    return ReplicaChange{ReplicaChangeKind::kPromote, *ready.begin()};
  }
  for (const consensus::ReplicaId& learner : status.configuration.learners) {
    if (this->TimeSinceContact(now, learner) >= this->settings.remove_learner_after) {
      return ReplicaChange{ReplicaChangeKind::kRemove, learner};
    }
  }
  return std::nullopt;
}

}  // namespace mangoroad::controller
