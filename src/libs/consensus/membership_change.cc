// Membership changes, one replica at a time, and the status for operators.
#include <algorithm>
#include <utility>

#include "base/soft_assert.h"
#include "consensus/replica_private.h"

namespace mangoroad::consensus {

using base::Result;

const Configuration& Replica::Private::ConfigurationAt(Index index) const {
  const auto after = std::ranges::find_if(this->configurations,
                                          [&](const auto& item) { return item.first > index; });
  return after == this->configurations.begin() ? this->configurations.front().second
                                               : std::prev(after)->second;
}

/// A configuration is in force as soon as its entry is in the log.
void Replica::Private::PushConfiguration(const LogEntry& entry) {
  auto decoded = DecodeConfiguration(entry.data);
  MANGOROAD_SOFT_ASSERT(decoded.has_value(), return);
  this->configurations.emplace_back(entry.index, std::move(*decoded));
}

void Replica::Private::DropConfigurationsAfter(Index index) {
  while (this->configurations.size() > 1 && this->configurations.back().first > index) {
    this->configurations.pop_back();
  }
}

/// Adds progress for new replicas. That of removed ones stays until the change is committed.
void Replica::Private::UpdateProgressSet() {
  const auto add = [this](const ReplicaId& id) {
    if (id == this->config.self || this->progress.contains(id)) return;
    Progress peer(this->log.LastIndex() + 1);
    peer.last_contact = this->now;
    this->progress.emplace(id, std::move(peer));
  };
  std::ranges::for_each(this->Current().voters, add);
  std::ranges::for_each(this->Current().learners, add);
}

/// Once the last membership change is committed, notifies a removed replica of the commit, and
/// steps down if the leader was removed.
void Replica::Private::FinishMembershipChange() {
  if (this->role != Role::kLeader) return;
  if (this->configurations.back().first > this->hard_state.commit) return;
  for (auto& [id, peer] : this->progress) {
    if (!this->Current().Has(id)) this->SendHeartbeat(id, peer);
  }
  std::erase_if(this->progress, [&](const auto& peer) { return !this->Current().Has(peer.first); });
  if (this->Current().HasVoter(this->config.self)) return;
  // The others have to learn of the commit before the leader steps down.
  for (auto& [id, peer] : this->progress) this->SendHeartbeat(id, peer);
  this->BecomeFollower(this->hard_state.term, {});
}

std::optional<ProposeError> Replica::Private::CheckIsLeader() const {
  if (this->role != Role::kLeader) {
    return ProposeError{ProposeErrorKind::kNotLeader, "the leader is '" + this->leader + "'"};
  }
  if (this->transfer) {
    return ProposeError{ProposeErrorKind::kTransferring,
                        "leadership is being transferred to '" + this->transfer->target + "'"};
  }
  return std::nullopt;
}

/// A change starts only when the one before is committed, and with it an entry of this term:
/// otherwise two leaders could each have a majority of different configurations.
std::optional<ProposeError> Replica::Private::CheckChange() const {
  if (auto error = this->CheckIsLeader()) return error;
  const bool own_entry_committed =
      this->log.TermAt(this->hard_state.commit) == this->hard_state.term;
  if (own_entry_committed && this->configurations.back().first <= this->hard_state.commit) {
    return std::nullopt;
  }
  return ProposeError{ProposeErrorKind::kChangePending,
                      "entry " + std::to_string(this->configurations.back().first) +
                          " or the leader's first entry isn't committed"};
}

bool Replica::Private::IsActive(const Progress& peer) const {
  return this->now - peer.last_contact < this->config.timings.election_min;
}

bool Replica::Private::IsCaughtUp(const Progress& peer) const {
  return peer.durable && this->IsActive(peer) &&
         peer.IsCaughtUp(this->now, this->config.timings.election_max);
}

/// Refuses a change after which the reachable replicas couldn't commit anything.
std::optional<ProposeError> Replica::Private::CheckQuorumOf(const Configuration& next) const {
  const auto active = std::ranges::count_if(next.voters, [this](const ReplicaId& voter) {
    if (voter == this->config.self) return true;
    const auto found = this->progress.find(voter);
    return found != this->progress.end() && found->second.durable && this->IsActive(found->second);
  });
  if (!next.voters.empty() && static_cast<std::size_t>(active) >= next.Quorum()) {
    return std::nullopt;
  }
  return ProposeError{ProposeErrorKind::kNoQuorum, "of " + std::to_string(next.voters.size()) +
                                                       " voters " + std::to_string(active) +
                                                       " would be in contact"};
}

Result<ProposalId, ProposeError> Replica::Private::AddLearner(const ReplicaId& id) {
  if (auto error = this->CheckChange()) return *error;
  if (id.empty() || this->Current().Has(id)) {
    return ProposeError{ProposeErrorKind::kInvalidChange, "'" + id + "' is a replica already"};
  }
  return this->AppendAsLeader(EntryKind::kConfiguration,
                              EncodeConfiguration(WithLearner(this->Current(), id)));
}

Result<ProposalId, ProposeError> Replica::Private::Promote(const ReplicaId& id) {
  if (auto error = this->CheckChange()) return *error;
  if (!this->Current().HasLearner(id)) {
    return ProposeError{ProposeErrorKind::kInvalidChange, "'" + id + "' is no learner"};
  }
  const Progress& peer = this->progress.at(id);
  if (!this->IsCaughtUp(peer)) {
    return ProposeError{ProposeErrorKind::kNotCaughtUp,
                        "'" + id + "' has entries up to " + std::to_string(peer.match) + " of " +
                            std::to_string(this->hard_state.commit) +
                            (peer.durable ? "" : ", none on a disk")};
  }
  const Configuration next = WithVoter(this->Current(), id);
  if (auto error = this->CheckQuorumOf(next)) return *error;
  return this->AppendAsLeader(EntryKind::kConfiguration, EncodeConfiguration(next));
}

Result<ProposalId, ProposeError> Replica::Private::Remove(const ReplicaId& id) {
  if (auto error = this->CheckChange()) return *error;
  if (!this->Current().Has(id)) {
    return ProposeError{ProposeErrorKind::kInvalidChange, "'" + id + "' is no replica"};
  }
  const Configuration next = Without(this->Current(), id);
  if (this->Current().HasVoter(id)) {
    if (auto error = this->CheckQuorumOf(next)) return *error;
  }
  return this->AppendAsLeader(EntryKind::kConfiguration, EncodeConfiguration(next));
}

Status Replica::Private::GetStatus() const {
  Status status;
  status.role = this->role;
  status.term = this->hard_state.term;
  status.leader = this->leader;
  status.commit_index = this->hard_state.commit;
  status.last_index = this->log.LastIndex();
  status.configuration = this->Current();
  status.configuration_committed = this->configurations.back().first <= this->hard_state.commit;
  for (const auto& [id, peer] : this->progress) {
    status.peers.push_back({id, peer.match, this->IsActive(peer), peer.durable,
                            this->IsCaughtUp(peer), peer.durable_match,
                            peer.state == internal::ProgressState::kSnapshot});
  }
  return status;
}

}  // namespace mangoroad::consensus
