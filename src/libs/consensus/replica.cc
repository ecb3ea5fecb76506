#include "consensus/replica.h"

#include <algorithm>
#include <utility>

#include "base/soft_assert.h"
#include "consensus/replica_private.h"

namespace mangoroad::consensus {

using base::Done;
using base::TimePoint;

Replica::Private::Private(Config given, RestoredState restored, TimePoint start)
    : config(std::move(given)),
      random(this->config.seed),
      now(start),
      hard_state(std::move(restored.hard_state)),
      // A voter may have acknowledged a leader's lease just before it restarted.
      votes_after(start + this->config.timings.election_min) {
  this->configurations.emplace_back(0, this->config.first_configuration);
  if (restored.snapshot) {
    this->snapshot = std::make_shared<const Snapshot>(std::move(*restored.snapshot));
    this->log.Reset(this->snapshot->index, this->snapshot->term);
    const auto stored = DecodeConfiguration(this->snapshot->configuration);
    MANGOROAD_SOFT_ASSERT(stored.has_value(), );
    if (stored) this->configurations = {{this->snapshot->index, *stored}};
  }
  const Index base = this->log.BaseIndex();
  for (LogEntry& entry : restored.entries) this->AppendToLog(std::move(entry));
  this->written_hard_state = this->hard_state;
  // A crash may have kept a snapshot or entries and lost the hard state written after them.
  if (this->log.LastTerm() > this->hard_state.term) {
    this->hard_state.term = this->log.LastTerm();
    this->hard_state.voted_for.clear();
  }
  this->hard_state.commit = std::clamp(this->hard_state.commit, base, this->log.LastIndex());
  this->applied = base;
  this->synced_snapshot = base;
  this->synced_index = this->log.LastIndex();
  this->next_to_sync = this->log.LastIndex() + 1;
  this->synced_commit = this->hard_state.commit;
  this->ResetElectionTimer();
}

/// Advances the clock. After a pause, promises based on time can't be relied on: the process may
/// have missed a leader's messages, and its clock may have jumped.
void Replica::Private::Advance(TimePoint time) {
  if (time <= this->now) return;
  const bool paused = time - this->now > this->config.timings.pause_allowance;
  this->now = time;
  if (!paused) return;
  this->votes_after = std::max(this->votes_after, time + this->config.timings.election_min);
  this->ResetElectionTimer();
}

void Replica::Private::Step(Message message) {
  if (message.to != this->config.self) return;
  if (!this->AdoptTerm(message)) return;
  std::visit([&](auto& body) { this->On(message, body); }, message.body);
}

void Replica::Private::Tick() {
  if (this->role == Role::kLeader) {
    this->TickLeader();
  } else {
    this->TickElection();
  }
  this->TickForwarded();
  this->TickReads();
}

void Replica::Private::SendAtTerm(Term message_term, const ReplicaId& to, MessageBody body) {
  this->outbox.push_back({message_term, this->config.self, to, std::move(body)});
}

void Replica::Private::Send(const ReplicaId& to, MessageBody body) {
  this->SendAtTerm(this->hard_state.term, to, std::move(body));
}

void Replica::Private::SendAfterSync(Term message_term, const ReplicaId& to, MessageBody body) {
  this->outbox_after_sync.push_back({message_term, this->config.self, to, std::move(body)});
}

void Replica::Private::SetCommit(Index index) {
  if (index <= this->hard_state.commit) return;
  for (Index next = this->hard_state.commit + 1; next <= index; ++next) {
    const LogEntry& entry = this->log.At(next);
    this->uncommitted_bytes -= std::min(this->uncommitted_bytes, internal::CostOf(entry));
    this->ResolveAt(entry);
  }
  this->hard_state.commit = index;
  if (!this->commit_unsynced_since) this->commit_unsynced_since = this->now;
  this->FinishMembershipChange();
}

/// Decides what the caller has to store. A commit index alone is written without a sync, since a
/// restarted process still finds it; it is synced with the next entries, or soon.
void Replica::Private::CollectSync(Output& output) {
  constexpr auto kCommitSyncDelay = std::chrono::milliseconds(50);
  const bool vote_changed = this->hard_state.term != this->written_hard_state.term ||
                            this->hard_state.voted_for != this->written_hard_state.voted_for;
  const bool commit_due =
      this->commit_unsynced_since && this->now - *this->commit_unsynced_since >= kCommitSyncDelay;
  if (this->hard_state != this->written_hard_state || commit_due) {
    output.hard_state = this->hard_state;
  }
  this->written_hard_state = this->hard_state;
  if (this->next_to_sync <= this->log.LastIndex()) {
    output.entries_to_sync = this->log.Slice(this->next_to_sync, std::string::npos);
  }
  this->next_to_sync = this->log.LastIndex() + 1;
  output.snapshot_to_sync = std::exchange(this->snapshot_to_sync, nullptr);
  output.restore_snapshot = std::exchange(this->restore_snapshot, false);
  const bool is_rewrite = std::exchange(this->has_stale_entries, false);
  if (is_rewrite) output.truncate_after = this->synced_index;
  // The stored log may disagree with the snapshot; none of it is needed any more.
  if (output.restore_snapshot) output.truncate_after = 0;
  if (!vote_changed && !commit_due && output.entries_to_sync.empty() && !output.snapshot_to_sync &&
      !is_rewrite) {
    return;
  }
  if (output.hard_state) this->commit_unsynced_since.reset();
  output.sync_id = ++this->last_sync_id;
  this->pending_syncs.push_back(
      {output.sync_id, this->log.LastIndex(), {}, output.snapshot_to_sync});
}

Output Replica::Private::TakeOutput() {
  Output output;
  if (this->role == Role::kLeader) {
    this->AdvanceCommit();
    this->RespondToReads();
    this->SendAppends();
  }
  this->CollectSync(output);
  std::vector<Message> waiting = std::exchange(this->outbox_after_sync, {});
  if (!this->IsDurable()) {
    // There is no disk to wait for; the responses say that they aren't durable.
    const std::uint64_t sync_id = std::exchange(output.sync_id, 0);
    output.hard_state.reset();
    output.entries_to_sync.clear();
    output.truncate_after.reset();
    if (!output.restore_snapshot) output.snapshot_to_sync.reset();
    if (sync_id != 0) this->OnSynced(sync_id);
  }
  std::vector<Message>& waiting_list =
      this->pending_syncs.empty() ? this->outbox : this->pending_syncs.back().messages;
  std::ranges::move(waiting, std::back_inserter(waiting_list));

  // A response created in an earlier term must not count after a vote in a later one.
  output.messages = std::exchange(this->outbox, {});
  std::erase_if(output.messages,
                [&](const Message& message) { return message.term < this->hard_state.term; });
  for (Index index = this->applied + 1; index <= this->hard_state.commit; ++index) {
    output.committed.push_back(this->log.At(index));
  }
  this->applied = this->hard_state.commit;
  output.resolved = std::exchange(this->resolved, {});
  output.reads = std::exchange(this->resolved_reads, {});
  return output;
}

void Replica::Private::OnSynced(std::uint64_t sync_id) {
  while (!this->pending_syncs.empty() && this->pending_syncs.front().id <= sync_id) {
    PendingSync done = std::move(this->pending_syncs.front());
    this->pending_syncs.pop_front();
    if (this->IsDurable()) {
      this->synced_index = std::max(this->synced_index, done.last_index);
      if (done.snapshot) this->synced_snapshot = done.snapshot->index;
    }
    if (done.snapshot) this->FinishCompaction(done.snapshot);
    for (Message& message : done.messages) {
      if (message.to == this->config.self) {
        this->Step(std::move(message));
      } else {
        this->outbox.push_back(std::move(message));
      }
    }
  }
}

void Replica::Private::OnStorageFailed() {
  if (!this->IsDurable()) return;
  this->storage_failed = true;
  // The log in memory may begin at a snapshot that was on its way to the disk.
  for (const PendingSync& sync : this->pending_syncs) {
    if (sync.snapshot) this->FinishCompaction(sync.snapshot);
  }
  this->pending_syncs.clear();
  this->outbox_after_sync.clear();
  // Votes and acknowledgements that wait for a sync are never sent.
  std::erase_if(this->outbox, [](const Message& message) {
    return std::holds_alternative<VoteResponse>(message.body) ||
           std::holds_alternative<AppendResponse>(message.body);
  });
  if (this->role != Role::kFollower) this->BecomeFollower(this->hard_state.term, {});
}

void Replica::Private::OnStorageRecovered() {
  if (!this->storage_failed) return;
  this->storage_failed = false;
  this->has_stale_entries = true;
  this->next_to_sync = std::max(this->synced_index, this->log.BaseIndex()) + 1;
  this->written_hard_state = {};
  this->commit_unsynced_since = this->now;
  const bool lacks_snapshot = this->snapshot && this->snapshot->index > this->synced_snapshot;
  if (lacks_snapshot && !this->snapshot_to_sync) this->snapshot_to_sync = this->snapshot;
}

Replica::Replica(Config config, RestoredState restored, TimePoint now)
    : d(std::make_unique<Private>(std::move(config), std::move(restored), now)) {}
Replica::~Replica() = default;
Replica::Replica(Replica&&) noexcept = default;
Replica& Replica::operator=(Replica&&) noexcept = default;

void Replica::Step(TimePoint now, Message message) {
  this->d->Advance(now);
  this->d->Step(std::move(message));
}

void Replica::Tick(TimePoint now) {
  this->d->Advance(now);
  this->d->Tick();
}

Output Replica::TakeOutput() { return this->d->TakeOutput(); }

void Replica::OnSynced(TimePoint now, std::uint64_t sync_id) {
  this->d->Advance(now);
  this->d->OnSynced(sync_id);
}

void Replica::OnStorageFailed(TimePoint now) {
  this->d->Advance(now);
  this->d->OnStorageFailed();
}

void Replica::OnStorageRecovered(TimePoint now) {
  this->d->Advance(now);
  this->d->OnStorageRecovered();
}

base::Result<ProposalId, ProposeError> Replica::Propose(TimePoint now, std::string command) {
  this->d->Advance(now);
  return this->d->Propose(std::move(command));
}

base::Result<RequestNumber, ProposeError> Replica::Forward(TimePoint now, std::string command) {
  this->d->Advance(now);
  return this->d->Forward(std::move(command));
}

RequestNumber Replica::ReadIndex(TimePoint now) {
  this->d->Advance(now);
  return this->d->ReadIndex();
}

base::Result<ProposalId, ProposeError> Replica::AddLearner(TimePoint now, const ReplicaId& id) {
  this->d->Advance(now);
  return this->d->AddLearner(id);
}

base::Result<ProposalId, ProposeError> Replica::Promote(TimePoint now, const ReplicaId& id) {
  this->d->Advance(now);
  return this->d->Promote(id);
}

base::Result<ProposalId, ProposeError> Replica::Remove(TimePoint now, const ReplicaId& id) {
  this->d->Advance(now);
  return this->d->Remove(id);
}

base::Result<Done, ProposeError> Replica::TransferLeadership(TimePoint now, ReplicaId target) {
  this->d->Advance(now);
  return this->d->StartTransfer(std::move(target));
}

bool Replica::CompactTo(Index index, std::string state) {
  return this->d->CompactTo(index, std::move(state));
}

bool Replica::HasLeaderLease(TimePoint now) const { return this->d->HasLease(now); }

bool Replica::IsLeader() const { return this->d->role == Role::kLeader; }

Status Replica::GetStatus() const { return this->d->GetStatus(); }

}  // namespace mangoroad::consensus
