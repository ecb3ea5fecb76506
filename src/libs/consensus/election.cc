// Terms, votes, the leader lease and leadership transfer.
#include <algorithm>
#include <functional>
#include <utility>

#include "consensus/replica_private.h"

namespace mangoroad::consensus {

using base::Done;
using base::Duration;
using base::TimePoint;

void Replica::Private::ResetElectionTimer() {
  const Timings& timings = this->config.timings;
  this->election_deadline =
      this->now + this->random.Between(timings.election_min, timings.election_max);
}

/// Brings this replica to the term of the message. False when the message is to be dropped.
bool Replica::Private::AdoptTerm(const Message& message) {
  if (message.term < this->hard_state.term) {
    this->RespondToStale(message);
    return false;
  }
  if (message.term == this->hard_state.term) return true;
  if (const auto* request = std::get_if<VoteRequest>(&message.body)) {
    // A request that can't be granted must not depose a leader.
    if (!request->pre_vote && this->MayVote(request->transfer)) {
      this->BecomeFollower(message.term, {});
    }
    return true;
  }
  // A granted pre-vote carries the term that the candidate may enter.
  const auto* response = std::get_if<VoteResponse>(&message.body);
  if (response != nullptr && response->pre_vote && response->granted) return true;
  this->BecomeFollower(message.term, {});
  return true;
}

/// Tells a deposed leader or an outdated candidate the current term.
void Replica::Private::RespondToStale(const Message& message) {
  if (const auto* request = std::get_if<VoteRequest>(&message.body)) {
    this->Send(message.from, VoteResponse{request->pre_vote, false});
  } else if (std::holds_alternative<AppendRequest>(message.body) ||
             std::holds_alternative<SnapshotChunk>(message.body)) {
    this->Send(message.from, AppendResponse{.incarnation = this->config.incarnation});
  }
}

void Replica::Private::BecomeFollower(Term new_term, const ReplicaId& new_leader) {
  if (new_term > this->hard_state.term) {
    this->hard_state.term = new_term;
    this->hard_state.voted_for.clear();
  }
  if (this->role != Role::kFollower) this->ResetElectionTimer();
  this->role = Role::kFollower;
  this->leader = new_leader;
  this->votes.clear();
  this->progress.clear();
  this->transfer.reset();
  this->seen_proposals.clear();
}

void Replica::Private::BecomeLeader() {
  this->role = Role::kLeader;
  this->leader = this->config.self;
  this->leader_since = this->now;
  this->heartbeat_at = this->now + this->config.timings.heartbeat_interval;
  this->lease_released = false;
  this->uncommitted_bytes = 0;
  this->progress.clear();
  this->UpdateProgressSet();
  // Entries of earlier terms become committed only with one of this term.
  this->AppendAsLeader(EntryKind::kNoop, {});
}

void Replica::Private::Campaign(bool pre_vote, bool is_transfer) {
  this->campaign_is_transfer = is_transfer;
  this->leader.clear();
  this->votes.clear();
  const Timings& timings = this->config.timings;
  this->election_deadline = this->now + this->random.Between(timings.retry_min, timings.retry_max);
  if (pre_vote) {
    this->role = Role::kPreCandidate;
    if (this->Current().HasVoter(this->config.self)) this->votes.insert(this->config.self);
  } else {
    this->role = Role::kCandidate;
    ++this->hard_state.term;
    this->hard_state.voted_for = this->config.self;
    // The candidate's own vote counts once it is synced, like any other vote.
    this->SendAfterSync(this->hard_state.term, this->config.self, VoteResponse{false, true});
  }
  this->SendVoteRequests();
  if (pre_vote && this->votes.size() >= this->Current().Quorum()) this->Campaign(false, false);
}

void Replica::Private::SendVoteRequests() {
  this->resend_votes_at = this->now + this->config.timings.heartbeat_interval;
  const bool pre_vote = this->role == Role::kPreCandidate;
  const VoteRequest request{pre_vote, this->campaign_is_transfer, this->log.LastIndex(),
                            this->log.LastTerm()};
  for (const ReplicaId& voter : this->Current().voters) {
    if (voter == this->config.self || this->votes.contains(voter)) continue;
    if (pre_vote) {
      this->SendAtTerm(this->hard_state.term + 1, voter, request);
    } else {
      this->SendAfterSync(this->hard_state.term, voter, request);
    }
  }
}

/// A voter doesn't vote within the minimum election timeout after contact with a leader; the leader
/// lease relies on this. For a leadership transfer, the leader has released its lease.
bool Replica::Private::MayVote(bool is_transfer) const {
  if (!this->IsDurable()) return false;
  if (is_transfer) return true;
  if (this->role == Role::kLeader || this->now < this->votes_after) return false;
  return !this->last_leader_contact ||
         this->now - *this->last_leader_contact >= this->config.timings.election_min;
}

bool Replica::Private::IsUpToDate(const VoteRequest& request) const {
  // A voter without any entry may have lost its disk and with it acknowledged entries.
  if (this->log.LastIndex() == 0 && request.last_index > 0) return false;
  return std::pair(request.last_term, request.last_index) >=
         std::pair(this->log.LastTerm(), this->log.LastIndex());
}

bool Replica::Private::GrantsVote(Term request_term, const ReplicaId& from,
                                  const VoteRequest& request) const {
  if (!this->MayVote(request.transfer) || !this->IsUpToDate(request)) return false;
  if (request.pre_vote) return request_term > this->hard_state.term;
  if (request_term != this->hard_state.term) return false;
  return this->hard_state.voted_for.empty() || this->hard_state.voted_for == from;
}

void Replica::Private::On(const Message& message, VoteRequest& request) {
  const bool granted = this->GrantsVote(message.term, message.from, request);
  if (!granted || request.pre_vote) {
    const Term term = granted ? message.term : this->hard_state.term;
    this->SendAtTerm(term, message.from, VoteResponse{request.pre_vote, granted});
    return;
  }
  this->hard_state.voted_for = message.from;
  this->ResetElectionTimer();
  this->SendAfterSync(this->hard_state.term, message.from, VoteResponse{false, true});
}

void Replica::Private::On(const Message& message, VoteResponse& response) {
  const Role wanted = response.pre_vote ? Role::kPreCandidate : Role::kCandidate;
  if (this->role != wanted || !response.granted) return;
  if (response.pre_vote && message.term != this->hard_state.term + 1) return;
  if (!this->Current().HasVoter(message.from)) return;
  this->votes.insert(message.from);
  if (this->votes.size() < this->Current().Quorum()) return;
  if (!response.pre_vote) {
    this->BecomeLeader();
  } else if (this->MayVote(false)) {
    this->Campaign(false, false);
  }
}

void Replica::Private::On(const Message& message, TimeoutNow& /*request*/) {
  if (this->role == Role::kLeader || message.from != this->leader) return;
  if (!this->IsDurable() || !this->Current().HasVoter(this->config.self)) return;
  this->Campaign(false, true);
}

/// A replica whose removal isn't committed may hold the only copy of that entry and be needed to
/// commit it. It asks the new voters and doesn't count itself.
bool Replica::Private::CanCampaign() const {
  if (!this->IsDurable()) return false;
  if (this->Current().HasVoter(this->config.self)) return true;
  const std::size_t count = this->configurations.size();
  return count > 1 && this->configurations.back().first > this->hard_state.commit &&
         this->configurations[count - 2].second.HasVoter(this->config.self);
}

void Replica::Private::TickElection() {
  if (!this->CanCampaign()) return;
  if (this->now >= this->election_deadline) {
    if (this->MayVote(false)) {
      this->Campaign(true, false);
    } else {
      this->ResetElectionTimer();
    }
  } else if (this->role != Role::kFollower && this->now >= this->resend_votes_at) {
    this->SendVoteRequests();
  }
}

void Replica::Private::TickLeader() {
  if (this->now >= this->heartbeat_at) {
    this->heartbeat_at = this->now + this->config.timings.heartbeat_interval;
    for (auto& [id, peer] : this->progress) peer.heartbeat_due = true;
  }
  // Check-quorum: a leader without contact to a majority can commit nothing and must not keep
  // callers waiting.
  const std::optional<TimePoint> last_contact = this->QuorumTime(true);
  const TimePoint since = std::max(last_contact.value_or(this->leader_since), this->leader_since);
  if (this->now - since > this->config.timings.election_max) {
    this->BecomeFollower(this->hard_state.term, {});
    return;
  }
  this->TickTransfer();
}

void Replica::Private::TickTransfer() {
  if (!this->transfer || this->now < this->transfer->deadline) return;
  // The target may still start an election because of TimeoutNow, so the lease stays released.
  if (this->transfer->sent) {
    this->BecomeFollower(this->hard_state.term, {});
  } else {
    this->transfer.reset();
  }
}

/// The latest time since which a majority made contact (`by_last_contact`), or responded to a
/// message sent since then; nothing if no majority did so yet.
std::optional<TimePoint> Replica::Private::QuorumTime(bool by_last_contact) const {
  std::vector<TimePoint> times;
  for (const ReplicaId& voter : this->Current().voters) {
    if (voter == this->config.self) {
      times.push_back(this->now);
      continue;
    }
    const auto found = this->progress.find(voter);
    if (found == this->progress.end()) continue;
    const Progress& peer = found->second;
    const std::optional<TimePoint> time =
        by_last_contact ? peer.last_contact : peer.acknowledged_send;
    if (time) times.push_back(*time);
  }
  const std::size_t quorum = this->Current().Quorum();
  if (times.size() < quorum) return std::nullopt;
  std::ranges::sort(times, std::greater());
  return times[quorum - 1];
}

/// The leader counts from the sending of messages that a majority responded to, the voters from the
/// later receipt, and the lease is shorter than election_min by the allowance. So it ends before
/// any of these voters votes.
bool Replica::Private::HasLease(TimePoint time) const {
  if (this->role != Role::kLeader || this->lease_released) return false;
  const std::optional<TimePoint> since = this->QuorumTime(false);
  const Timings& timings = this->config.timings;
  const Duration lease =
      timings.election_min - timings.election_min / 100 - timings.pause_allowance;
  return since && time < *since + lease;
}

base::Result<Done, ProposeError> Replica::Private::StartTransfer(ReplicaId target) {
  if (const auto error = this->CheckIsLeader()) return *error;
  if (target.empty()) {
    const auto most_up_to_date =
        std::ranges::max_element(this->progress, {}, [&](const auto& peer) {
          const bool able = this->Current().HasVoter(peer.first) && this->IsActive(peer.second);
          return std::pair(able, peer.second.match);
        });
    if (most_up_to_date != this->progress.end()) target = most_up_to_date->first;
  }
  if (target == this->config.self || !this->Current().HasVoter(target)) {
    return ProposeError{ProposeErrorKind::kInvalidChange, "no voter to transfer to: " + target};
  }
  this->transfer = Transfer{target, this->now + this->config.timings.election_max, false};
  return Done{};
}

}  // namespace mangoroad::consensus
