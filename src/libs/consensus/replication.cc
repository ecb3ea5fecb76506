// Appending, sending and acknowledging entries; the commit index.
#include <algorithm>
#include <functional>
#include <utility>

#include "base/soft_assert.h"
#include "consensus/replica_private.h"

namespace mangoroad::consensus {

using base::TimePoint;
using internal::ProgressState;

namespace {

std::int64_t Microseconds(TimePoint time) { return time.time_since_epoch().count(); }

TimePoint FromMicroseconds(std::int64_t time) { return TimePoint(base::Duration(time)); }

}  // namespace

ProposalId Replica::Private::AppendAsLeader(EntryKind kind, std::string data) {
  LogEntry entry;
  entry.index = this->log.LastIndex() + 1;
  entry.term = this->hard_state.term;
  entry.kind = kind;
  entry.data = std::move(data);
  const ProposalId id{entry.term, entry.index};
  this->uncommitted_bytes += internal::CostOf(entry);
  this->AppendToLog(std::move(entry));
  if (kind == EntryKind::kConfiguration) this->UpdateProgressSet();
  return id;
}

void Replica::Private::AppendToLog(LogEntry entry) {
  if (entry.kind == EntryKind::kConfiguration) this->PushConfiguration(entry);
  this->log.Append(std::move(entry));
}

/// Handles contact by this term's leader; restarts the period in which this replica doesn't vote.
void Replica::Private::OnLeaderContact(const Message& message) {
  MANGOROAD_INVARIANT(this->role != Role::kLeader);
  if (this->role != Role::kFollower) this->BecomeFollower(this->hard_state.term, {});
  this->leader = message.from;
  this->last_leader_contact = this->now;
  this->ResetElectionTimer();
}

/// Confirms that the log agrees with the leader's up to `agreed`, once that is synced.
void Replica::Private::SendAppendResponse(const Message& message, std::int64_t sent_at,
                                          Index agreed) {
  AppendResponse response;
  response.accepted = true;
  response.index = agreed;
  response.sent_at = sent_at;
  response.incarnation = this->config.incarnation;
  response.durable = this->IsDurable();
  this->SendAfterSync(this->hard_state.term, message.from, response);
}

/// Appends the entries that the log lacks, after truncating conflicting ones. False if the entries
/// aren't consecutive.
bool Replica::Private::MergeEntries(std::vector<LogEntry>& entries) {
  const auto gap = std::ranges::adjacent_find(entries, [](const auto& a, const auto& b) {
    return a.index + 1 != b.index || a.term > b.term;
  });
  if (gap != entries.end()) return false;
  for (LogEntry& entry : entries) {
    const auto own_term = this->log.TermAt(entry.index);
    if (own_term == entry.term) continue;
    if (own_term) {
      MANGOROAD_INVARIANT(entry.index > this->hard_state.commit);
      const Index kept = entry.index - 1;
      this->log.TruncateAfter(kept);
      this->DropConfigurationsAfter(kept);
      this->next_to_sync = std::min(this->next_to_sync, entry.index);
      this->synced_index = std::min(this->synced_index, kept);
      for (PendingSync& sync : this->pending_syncs) {
        sync.last_index = std::min(sync.last_index, kept);
      }
    }
    this->AppendToLog(std::move(entry));
  }
  return true;
}

void Replica::Private::On(const Message& message, AppendRequest& request) {
  this->OnLeaderContact(message);
  // Committed entries agree with each later leader's log, and older ones may be compacted.
  if (request.previous_index < this->hard_state.commit) {
    const Index skipped = this->hard_state.commit;
    std::erase_if(request.entries, [&](const LogEntry& entry) { return entry.index <= skipped; });
    request.previous_index = skipped;
    request.previous_term = this->log.TermAt(skipped).value_or(0);
  }
  if (this->log.TermAt(request.previous_index) != request.previous_term) {
    AppendResponse response;
    response.index = request.previous_index;
    std::tie(response.hint_index, response.hint_term) = this->log.FindAgreement(
        request.previous_index > 0 ? request.previous_index - 1 : 0, request.previous_term);
    response.sent_at = request.sent_at;
    response.incarnation = this->config.incarnation;
    response.durable = this->IsDurable();
    this->Send(message.from, response);
    return;
  }
  const bool follows =
      request.entries.empty() || request.entries.front().index == request.previous_index + 1;
  MANGOROAD_SOFT_ASSERT(follows, return);
  const Index agreed = request.previous_index + request.entries.size();
  const bool consecutive = this->MergeEntries(request.entries);
  MANGOROAD_SOFT_ASSERT(consecutive, return);
  this->SendAppendResponse(message, request.sent_at, agreed);
  this->SetCommit(std::min(request.commit_index, agreed));
}

/// Records contact by a replica; returns null if it isn't in the configuration.
Replica::Private::Progress* Replica::Private::OnResponse(const Message& message,
                                                         std::int64_t sent_at,
                                                         std::uint64_t incarnation) {
  if (this->role != Role::kLeader) return nullptr;
  const auto found = this->progress.find(message.from);
  if (found == this->progress.end()) return nullptr;
  Progress& peer = found->second;
  // A replica without a disk loses its entries when it restarts.
  if (peer.incarnation == 0) peer.incarnation = incarnation;
  if (peer.incarnation != incarnation) peer.Restart(incarnation, this->log.LastIndex() + 1);
  peer.last_contact = this->now;
  const TimePoint sent = FromMicroseconds(sent_at);
  peer.acknowledged_send = std::max(peer.acknowledged_send.value_or(sent), sent);
  return &peer;
}

void Replica::Private::On(const Message& message, AppendResponse& response) {
  Progress* peer = this->OnResponse(message, response.sent_at, response.incarnation);
  if (peer == nullptr) return;
  if (response.accepted) {
    MANGOROAD_SOFT_ASSERT(response.index <= this->log.LastIndex(), return);
    peer->OnAccepted(response.index, response.durable);
    peer->UpdateCatchUp(this->now, this->log.LastIndex(), this->config.timings.election_max);
    this->AdvanceCommit();
    return;
  }
  if (peer->state == ProgressState::kSnapshot || response.index <= peer->match) return;
  // In kProbe, only the response to the outstanding message counts.
  if (peer->state == ProgressState::kProbe && response.index + 1 != peer->next) return;
  const Index agreement = this->log.FindAgreement(response.hint_index, response.hint_term).first;
  // When the replica's position is before the log's base, a snapshot is needed.
  peer->BecomeProbe(std::min(agreement, response.hint_index) + 1);
}

void Replica::Private::SendAppends() {
  if (this->transfer && !this->transfer->sent) {
    const auto target = this->progress.find(this->transfer->target);
    if (target != this->progress.end() && target->second.match == this->log.LastIndex()) {
      this->transfer->sent = true;
      this->lease_released = true;
    }
  }
  for (auto& [id, peer] : this->progress) this->SendAppendsTo(id, peer);
}

void Replica::Private::SendAppendsTo(const ReplicaId& id, Progress& peer) {
  const bool heartbeat = std::exchange(peer.heartbeat_due, false);
  if (heartbeat && this->transfer && this->transfer->sent && this->transfer->target == id) {
    this->Send(id, TimeoutNow{});
  }
  if (peer.state != ProgressState::kSnapshot && !this->log.TermAt(peer.next - 1) &&
      this->snapshot) {
    peer.BecomeSnapshot(this->snapshot);
  }
  bool sent = false;
  if (peer.state == ProgressState::kSnapshot) {
    this->SendSnapshotChunk(id, peer);
  } else {
    sent = this->SendEntries(id, peer);
  }
  // A new commit index is sent at once, so that followers apply the entries without waiting for the
  // next heartbeat.
  const bool commit_due = peer.state == ProgressState::kReplicate &&
                          peer.sent_commit < std::min(this->hard_state.commit, peer.next - 1);
  if (!sent && (heartbeat || commit_due)) this->SendHeartbeat(id, peer);
}

/// Sends what fits into the limits. False when there is nothing to send.
bool Replica::Private::SendEntries(const ReplicaId& id, Progress& peer) {
  bool sent = false;
  while (peer.next <= this->log.LastIndex() && !peer.paused &&
         peer.inflight_bytes < this->config.limits.inflight_bytes) {
    AppendRequest request;
    request.previous_index = peer.next - 1;
    request.previous_term = this->log.TermAt(peer.next - 1).value_or(0);
    request.commit_index = this->hard_state.commit;
    request.sent_at = Microseconds(this->now);
    request.entries = this->log.Slice(peer.next, this->config.limits.batch_bytes);
    const Index last = request.entries.back().index;
    std::size_t bytes = 0;
    for (const LogEntry& entry : request.entries) bytes += internal::CostOf(entry);
    peer.sent_commit = std::min(this->hard_state.commit, last);
    this->Send(id, std::move(request));
    sent = true;
    if (peer.state == ProgressState::kProbe) {
      peer.paused = true;
    } else {
      peer.OnSent(last, bytes);
    }
  }
  return sent;
}

void Replica::Private::SendHeartbeat(const ReplicaId& id, Progress& peer) {
  AppendRequest request;
  request.sent_at = Microseconds(this->now);
  // During a snapshot only the lease and the election timer of the follower matter.
  if (peer.state != ProgressState::kSnapshot) {
    request.previous_index = peer.next - 1;
    request.previous_term = this->log.TermAt(peer.next - 1).value_or(0);
    request.commit_index = this->hard_state.commit;
    peer.sent_commit = std::min(this->hard_state.commit, peer.next - 1);
  }
  this->Send(id, std::move(request));
}

/// The commit index is the highest one of this term that a majority of the voters has synced.
void Replica::Private::AdvanceCommit() {
  std::vector<Index> synced;
  for (const ReplicaId& voter : this->Current().voters) {
    const auto found = this->progress.find(voter);
    if (voter == this->config.self) {
      synced.push_back(this->IsDurable() ? this->synced_index : 0);
    } else {
      synced.push_back(found == this->progress.end() ? 0 : found->second.durable_match);
    }
  }
  const std::size_t quorum = this->Current().Quorum();
  if (synced.size() < quorum) return;
  std::ranges::sort(synced, std::greater());
  const Index agreed = synced[quorum - 1];
  if (this->log.TermAt(agreed) == this->hard_state.term) this->SetCommit(agreed);
}

}  // namespace mangoroad::consensus
