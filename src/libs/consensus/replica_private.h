// State of a replica. Its functions are implemented in one file per concern.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "consensus/log.h"
#include "consensus/progress.h"
#include "consensus/replica.h"

namespace mangoroad::consensus {

struct Replica::Private {
  using TimePoint = base::TimePoint;
  using Progress = internal::Progress;

  /// A sync whose completion the caller hasn't reported yet.
  struct PendingSync {
    std::uint64_t id = 0;
    Index last_index = 0;
    std::vector<Message> messages;
    std::shared_ptr<const Snapshot> snapshot;
  };
  struct Transfer {
    ReplicaId target;
    TimePoint deadline;
    bool sent = false;
  };
  struct ForwardedProposal {
    std::string command;
    Term term = 0;
    ReplicaId leader;
    TimePoint sent;
    Index index = 0;
  };
  /// A read that waits for the lease (on the leader) or for the leader's response (elsewhere).
  struct PendingRead {
    ReplicaId from;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    TimePoint deadline;
    TimePoint resend_at;
  };
  /// Forwarded proposals that this leader has responded to: the index of each, 0 if refused.
  struct SeenProposals {
    std::map<std::uint64_t, Index> by_number;
    std::uint64_t removed_up_to = 0;
  };
  struct IncomingSnapshot {
    ReplicaId from;
    Term term = 0;
    SnapshotChunk chunk;
  };

  Private(Config given, RestoredState restored, TimePoint start);

  // replica.cc
  void Advance(TimePoint time);
  void Step(Message message);
  void Tick();
  Output TakeOutput();
  void CollectSync(Output& output);
  void OnSynced(std::uint64_t sync_id);
  void OnStorageFailed();
  void OnStorageRecovered();
  void Send(const ReplicaId& to, MessageBody body);
  void SendAtTerm(Term message_term, const ReplicaId& to, MessageBody body);
  void SendAfterSync(Term message_term, const ReplicaId& to, MessageBody body);
  void SetCommit(Index index);
  bool IsDurable() const { return this->config.durable && !this->storage_failed; }

  // election.cc
  bool AdoptTerm(const Message& message);
  void RespondToStale(const Message& message);
  void BecomeFollower(Term new_term, const ReplicaId& new_leader);
  void BecomeLeader();
  void Campaign(bool pre_vote, bool transfer);
  void SendVoteRequests();
  void ResetElectionTimer();
  bool MayVote(bool transfer) const;
  bool IsUpToDate(const VoteRequest& request) const;
  bool GrantsVote(Term request_term, const ReplicaId& from, const VoteRequest& request) const;
  void On(const Message& message, VoteRequest& request);
  void On(const Message& message, VoteResponse& response);
  void On(const Message& message, TimeoutNow& request);
  bool CanCampaign() const;
  void TickElection();
  void TickLeader();
  void TickTransfer();
  std::optional<TimePoint> QuorumTime(bool by_last_contact) const;
  bool HasLease(TimePoint time) const;
  base::Result<base::Done, ProposeError> StartTransfer(ReplicaId target);

  // replication.cc
  ProposalId AppendAsLeader(EntryKind kind, std::string data);
  void AppendToLog(LogEntry entry);
  void OnLeaderContact(const Message& message);
  void On(const Message& message, AppendRequest& request);
  void On(const Message& message, AppendResponse& response);
  void SendAppendResponse(const Message& message, std::int64_t sent_at, Index agreed);
  bool MergeEntries(std::vector<LogEntry>& entries);
  Progress* OnResponse(const Message& message, std::int64_t sent_at, std::uint64_t incarnation);
  void SendAppends();
  void SendAppendsTo(const ReplicaId& id, Progress& progress);
  bool SendEntries(const ReplicaId& id, Progress& progress);
  void SendHeartbeat(const ReplicaId& id, Progress& progress);
  void AdvanceCommit();

  // snapshot_transfer.cc
  bool CompactTo(Index index, std::string state);
  void FinishCompaction(const std::shared_ptr<const Snapshot>& durable_snapshot);
  void SendSnapshotChunk(const ReplicaId& id, Progress& progress);
  void On(const Message& message, SnapshotChunk& chunk);
  void On(const Message& message, SnapshotResponse& response);
  void Install(IncomingSnapshot received);

  // membership_change.cc
  const Configuration& Current() const { return this->configurations.back().second; }
  const Configuration& ConfigurationAt(Index index) const;
  void PushConfiguration(const LogEntry& entry);
  void DropConfigurationsAfter(Index index);
  void UpdateProgressSet();
  void FinishMembershipChange();
  std::optional<ProposeError> CheckIsLeader() const;
  std::optional<ProposeError> CheckChange() const;
  std::optional<ProposeError> CheckQuorumOf(const Configuration& next) const;
  bool IsActive(const Progress& progress) const;
  bool IsCaughtUp(const Progress& progress) const;
  base::Result<ProposalId, ProposeError> AddLearner(const ReplicaId& id);
  base::Result<ProposalId, ProposeError> Promote(const ReplicaId& id);
  base::Result<ProposalId, ProposeError> Remove(const ReplicaId& id);
  Status GetStatus() const;

  // forwarding.cc
  std::optional<ProposeError> CheckCommand(const std::string& command) const;
  base::Result<ProposalId, ProposeError> Propose(std::string command);
  base::Result<RequestNumber, ProposeError> Forward(std::string command);
  void SendForwarded(std::uint64_t number, ForwardedProposal& proposal);
  void TickForwarded();
  void On(const Message& message, ProposeRequest& request);
  void On(const Message& message, ProposeResponse& response);
  Index AppendForwarded(const ReplicaId& from, ProposeRequest& request);
  void ResolveAt(const LogEntry& entry);
  void ResolveAtSnapshot(const Snapshot& installed);
  RequestNumber ReadIndex();
  void RespondToReads();
  void TickReads();
  void On(const Message& message, ReadIndexRequest& request);
  void On(const Message& message, ReadIndexResponse& response);

  Config config;
  base::Random random;
  TimePoint now;
  bool storage_failed = false;

  Role role = Role::kFollower;
  HardState hard_state;
  ReplicaId leader;
  internal::Log log;
  Index applied = 0;
  /// The latest snapshot that is durable, or would be if the disk hadn't failed.
  std::shared_ptr<const Snapshot> snapshot;
  /// Configurations by the index of their entry, ascending; the last one is in force.
  std::vector<std::pair<Index, Configuration>> configurations;
  std::optional<IncomingSnapshot> incoming;

  /// No vote before this time.
  TimePoint votes_after;
  std::optional<TimePoint> last_leader_contact;
  TimePoint election_deadline;
  TimePoint resend_votes_at;
  bool campaign_is_transfer = false;
  std::set<ReplicaId> votes;

  // Leader.
  std::map<ReplicaId, Progress> progress;
  TimePoint heartbeat_at;
  TimePoint leader_since;
  std::optional<Transfer> transfer;
  /// Set once another replica was sent TimeoutNow, so that it may be elected at any time.
  bool lease_released = false;
  std::size_t uncommitted_bytes = 0;
  std::map<std::pair<ReplicaId, std::uint64_t>, SeenProposals> seen_proposals;

  // Proposals and reads of this replica.
  std::uint64_t last_number = 0;
  std::deque<ProposalId> proposed;
  std::map<std::uint64_t, ForwardedProposal> forwarded;
  Term resolved_term = 0;
  std::vector<PendingRead> reads;
  std::vector<ResolvedProposal> resolved;
  std::vector<ResolvedRead> resolved_reads;

  // Output and syncs.
  std::vector<Message> outbox;
  std::vector<Message> outbox_after_sync;
  std::deque<PendingSync> pending_syncs;
  std::uint64_t last_sync_id = 0;
  /// First entry that wasn't handed out for a sync.
  Index next_to_sync = 1;
  /// Highest index up to which this log and the durable one agree.
  Index synced_index = 0;
  /// Index of the latest snapshot that is durable here.
  Index synced_snapshot = 0;
  /// Entries after `synced_index` may be stored and have to be voided.
  bool has_stale_entries = false;
  HardState written_hard_state;
  Index synced_commit = 0;
  std::optional<TimePoint> commit_unsynced_since;
  std::shared_ptr<const Snapshot> snapshot_to_sync;
  bool restore_snapshot = false;
};

}  // namespace mangoroad::consensus
