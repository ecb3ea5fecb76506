// Snapshots: log compaction, and transfer to replicas that lack compacted entries.
#include <algorithm>
#include <utility>

#include "consensus/replica_private.h"

namespace mangoroad::consensus {

using internal::ProgressState;

bool Replica::Private::CompactTo(Index index, std::string state) {
  const Index present = this->snapshot ? this->snapshot->index : 0;
  const Index queued = this->snapshot_to_sync ? this->snapshot_to_sync->index : 0;
  const auto term = this->log.TermAt(index);
  if (index > this->applied || index <= std::max(present, queued) || !term) return false;
  auto next = std::make_shared<Snapshot>();
  next->index = index;
  next->term = *term;
  next->configuration = EncodeConfiguration(this->ConfigurationAt(index));
  next->data = std::move(state);
  this->snapshot_to_sync = std::move(next);
  return true;
}

/// Entries are dropped only once the snapshot is durable.
void Replica::Private::FinishCompaction(const std::shared_ptr<const Snapshot>& durable_snapshot) {
  if (this->snapshot && this->snapshot->index >= durable_snapshot->index) return;
  this->snapshot = durable_snapshot;
  const Index retained = this->config.limits.retained_entries;
  const Index base = this->snapshot->index > retained ? this->snapshot->index - retained : 0;
  this->log.CompactTo(base);
  // The configuration in force at the base stays.
  while (this->configurations.size() > 1 &&
         this->configurations[1].first <= this->log.BaseIndex()) {
    this->configurations.erase(this->configurations.begin());
  }
}

/// One chunk is outstanding at a time, so entries for other replicas aren't delayed by a snapshot.
void Replica::Private::SendSnapshotChunk(const ReplicaId& id, Progress& peer) {
  if (peer.chunk_sent && this->now - *peer.chunk_sent < this->config.timings.resend_interval) {
    return;
  }
  const Snapshot& source = *peer.snapshot;
  SnapshotChunk chunk;
  chunk.index = source.index;
  chunk.index_term = source.term;
  chunk.configuration = source.configuration;
  chunk.offset = peer.snapshot_offset;
  chunk.total = source.data.size();
  chunk.data = source.data.substr(static_cast<std::size_t>(peer.snapshot_offset),
                                  this->config.limits.snapshot_chunk_bytes);
  chunk.sent_at = this->now.time_since_epoch().count();
  peer.chunk_sent = this->now;
  this->Send(id, std::move(chunk));
}

void Replica::Private::On(const Message& message, SnapshotChunk& chunk) {
  this->OnLeaderContact(message);
  if (chunk.index <= this->hard_state.commit) {
    this->SendAppendResponse(message, chunk.sent_at, this->hard_state.commit);
    return;
  }
  const bool continues = this->incoming && this->incoming->from == message.from &&
                         this->incoming->term == message.term &&
                         this->incoming->chunk.index == chunk.index &&
                         this->incoming->chunk.total == chunk.total;
  const SnapshotChunk received = chunk;
  if (!continues) {
    this->incoming = IncomingSnapshot{message.from, message.term, std::move(chunk)};
    if (received.offset != 0) this->incoming->chunk.data.clear();
  } else if (received.offset == this->incoming->chunk.data.size()) {
    this->incoming->chunk.data += received.data;
  }
  if (this->incoming->chunk.data.size() >= received.total) {
    IncomingSnapshot whole = std::move(*this->incoming);
    this->incoming.reset();
    this->Install(std::move(whole));
    this->SendAppendResponse(message, received.sent_at, this->hard_state.commit);
    return;
  }
  this->Send(message.from, SnapshotResponse{received.index, this->incoming->chunk.data.size(),
                                            received.sent_at, this->config.incarnation});
}

/// Replaces log and state machine by a snapshot of committed entries. Nothing changes when the
/// configuration in it can't be read.
void Replica::Private::Install(IncomingSnapshot received) {
  SnapshotChunk& chunk = received.chunk;
  const auto stored = DecodeConfiguration(chunk.configuration);
  if (!stored) return;
  if (this->log.TermAt(chunk.index) == chunk.index_term) {
    this->SetCommit(chunk.index);
    return;
  }
  auto next = std::make_shared<Snapshot>();
  next->index = chunk.index;
  next->term = chunk.index_term;
  next->configuration = std::move(chunk.configuration);
  next->data = std::move(chunk.data);
  this->ResolveAtSnapshot(*next);
  this->log.Reset(next->index, next->term);
  this->configurations = {{next->index, *stored}};
  this->hard_state.commit = next->index;
  this->applied = next->index;
  this->next_to_sync = next->index + 1;
  this->synced_index = 0;
  for (PendingSync& sync : this->pending_syncs) {
    sync.last_index = 0;
    sync.snapshot.reset();
  }
  this->snapshot_to_sync = std::move(next);
  this->restore_snapshot = true;
}

void Replica::Private::On(const Message& message, SnapshotResponse& response) {
  Progress* peer = this->OnResponse(message, response.sent_at, response.incarnation);
  if (peer == nullptr || peer->state != ProgressState::kSnapshot) return;
  if (response.index != peer->snapshot->index) return;
  const bool moved = response.next_offset != peer->snapshot_offset;
  if (!moved || response.next_offset > peer->snapshot->data.size()) return;
  peer->snapshot_offset = response.next_offset;
  peer->chunk_sent.reset();
}

}  // namespace mangoroad::consensus
