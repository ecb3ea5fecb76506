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
    if (status.configuration.HasLearner(peer.id) && peer.caught_up) ready.insert(peer.id);
  }
  std::erase_if(this->join_requests, [&](const auto& id) { return status.configuration.Has(id); });
  if (!status.configuration_committed) return std::nullopt;
  if (!this->join_requests.empty()) {
    const consensus::ReplicaId id = *this->join_requests.begin();
    this->join_requests.erase(this->join_requests.begin());
    return ReplicaChange{ReplicaChangeKind::kAddLearner, id};
  }
  const auto& voters = status.configuration.voters;
  // A replica with a voter's address and another identity: the voter's disk was lost.
  const auto wiped = std::ranges::find_if(voters, [&](const auto& voter) {
    return voter != self && std::ranges::any_of(ready, [&](const auto& id) {
             return AddressOf(id) == AddressOf(voter);
           });
  });
  if (wiped != voters.end()) return ReplicaChange{ReplicaChangeKind::kRemove, *wiped};
  if (ready.empty()) return this->FindSilentLearner(now, status);
  if (voters.size() < this->settings.voters) {
    return ReplicaChange{ReplicaChangeKind::kPromote, *ready.begin()};
  }
  // One voter at a time: the next one isn't removed before the replacement of this one votes.
  const auto silent = std::ranges::find_if(voters, [&](const auto& voter) {
    return voter != self &&
           this->TimeSinceContact(now, voter) >= this->settings.replace_voter_after;
  });
  if (silent != voters.end()) return ReplicaChange{ReplicaChangeKind::kRemove, *silent};
  return this->FindSilentLearner(now, status);
}

std::optional<ReplicaChange> ReplicaManager::FindSilentLearner(
    base::TimePoint now, const consensus::Status& status) const {
  for (const consensus::ReplicaId& learner : status.configuration.learners) {
    if (this->TimeSinceContact(now, learner) >= this->settings.remove_learner_after) {
      return ReplicaChange{ReplicaChangeKind::kRemove, learner};
    }
  }
  return std::nullopt;
}

}  // namespace mangoroad::controller
