// One replica of the replicated log (Raft with pre-vote, leader lease and one-at-a-time change of
// voters; Ongaro, "Consensus: Bridging Theory and Practice", 2014). Pure code: it has no clock,
// socket or file.
//
// The caller passes messages and the time in, and after each call, or after several, handles
// TakeOutput(): it sends `messages`, stores what is to be synced (see durable_log.h), calls
// OnSynced once that is durable, and applies `committed`. Nothing is acknowledged or counted before
// OnSynced.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "base/result.h"
#include "base/time.h"
#include "consensus/configuration.h"
#include "consensus/messages.h"

namespace mangoroad::consensus {

/// Defaults suit links of 5 ms one way with loss.
struct Timings {
  base::Duration heartbeat = std::chrono::milliseconds(50);
  /// A replica that hasn't heard from a leader for a random time between these starts an election.
  /// No voter votes within the lower one of hearing from a leader.
  base::Duration election_min = std::chrono::milliseconds(300);
  base::Duration election_max = std::chrono::milliseconds(600);
  /// Bounds of the pause between two attempts of the same candidate.
  base::Duration retry_min = std::chrono::milliseconds(100);
  base::Duration retry_max = std::chrono::milliseconds(250);
  /// The leader lease is shorter than election_min by this and by 1% for the drift of clocks. A
  /// longer pause between two calls is handled as a restart.
  base::Duration allowance = std::chrono::milliseconds(50);
  /// Interval at which an unanswered forwarded proposal or snapshot chunk is sent again.
  base::Duration resend = std::chrono::milliseconds(200);
  /// A read that can't be confirmed for this long fails.
  base::Duration read_timeout = std::chrono::seconds(1);
};

struct Limits {
  /// Largest command in bytes.
  std::size_t command_bytes = 2U << 20U;
  /// Data in one append message, unless a single entry is larger.
  std::size_t batch_bytes = 256U << 10U;
  /// Unanswered data sent to one replica.
  std::size_t inflight_bytes = 4U << 20U;
  /// Data of entries that aren't committed; more proposals are refused with kBusy.
  std::size_t uncommitted_bytes = 32U << 20U;
  std::size_t snapshot_chunk_bytes = 512U << 10U;
  /// Entries kept in memory before a snapshot, so that a replica that is slightly behind needs no
  /// snapshot.
  Index retained_entries = 4096;
};

struct Config {
  ReplicaId self;
  /// Used until the log contains a configuration. The same on each replica.
  Configuration first_configuration;
  /// Number that no earlier process of this replica has used, for example random.
  std::uint64_t incarnation = 0;
  /// Seed of the random timeouts.
  std::uint64_t seed = 0;
  /// False on a VM without a disk: the replica never votes and can't be promoted.
  bool durable = true;
  Timings timings;
  Limits limits;
};

/// What was found on disk. The state machine must hold `snapshot` already.
struct RestoredState {
  HardState hard_state;
  std::optional<Snapshot> snapshot;
  std::vector<LogEntry> entries;
};

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };
inline constexpr base::NameTable<Role, 4> kRoleNames{{{Role::kFollower, "follower"},
                                                      {Role::kPreCandidate, "pre-candidate"},
                                                      {Role::kCandidate, "candidate"},
                                                      {Role::kLeader, "leader"}}};

/// Each error means that the command was not appended and never will be.
enum class ProposeErrorKind {
  kNotLeader,      ///< Ask the leader, or use Forward.
  kNoLeader,       ///< No leader is known.
  kBusy,           ///< Too much is uncommitted.
  kTooLarge,       ///< The command exceeds the limit.
  kTransferring,   ///< Leadership is being handed over.
  kChangePending,  ///< An earlier change of replicas, or the leader's first entry, isn't committed.
  kInvalidChange,  ///< The change contradicts the present configuration.
  kNotCaughtUp,    ///< The learner lacks entries, a disk or contact.
  kNoQuorum,       ///< The new voters in contact would be no majority.
};
inline constexpr base::NameTable<ProposeErrorKind, 9> kProposeErrorNames{{
    {ProposeErrorKind::kNotLeader, "not-leader"},
    {ProposeErrorKind::kNoLeader, "no-leader"},
    {ProposeErrorKind::kBusy, "busy"},
    {ProposeErrorKind::kTooLarge, "too-large"},
    {ProposeErrorKind::kTransferring, "transferring"},
    {ProposeErrorKind::kChangePending, "change-pending"},
    {ProposeErrorKind::kInvalidChange, "invalid-change"},
    {ProposeErrorKind::kNotCaughtUp, "not-caught-up"},
    {ProposeErrorKind::kNoQuorum, "no-quorum"},
}};
using ProposeError = base::BasicError<ProposeErrorKind>;

/// Position of a proposal in the log of one leader. The command is committed exactly when the
/// committed entry at `index` has this term.
struct ProposalId {
  Term term = 0;
  Index index = 0;
  bool operator==(const ProposalId&) const = default;
};

/// Number of a forwarded proposal or of a read, unique in this process.
using RequestNumber = std::uint64_t;

enum class ProposalOutcome {
  kCommitted,  ///< The command is in the log for good.
  kLost,       ///< The command isn't in the log and never will be.
  kUnknown,    ///< A snapshot replaced the part of the log that would tell.
};

/// Fate of a proposal made on this replica.
struct ResolvedProposal {
  /// Set for one made with Forward.
  std::optional<RequestNumber> forward;
  /// The index is 0 when it isn't known.
  ProposalId id;
  ProposalOutcome outcome = ProposalOutcome::kUnknown;
};

/// A read may be served once the entry at `index` was applied; without an index it failed.
struct ResolvedRead {
  RequestNumber number = 0;
  std::optional<Index> index;
};

struct Output {
  /// To send at once.
  std::vector<Message> messages;
  /// When not 0, everything below up to `entries_to_sync` must be synced, then OnSynced called.
  /// When 0, `hard_state` may be written without a sync.
  std::uint64_t sync_id = 0;
  /// To store first.
  std::shared_ptr<const Snapshot> snapshot_to_sync;
  /// The snapshot came from the leader: the state machine is to be replaced by it.
  bool restore_snapshot = false;
  /// Entries after this index are void.
  std::optional<Index> truncate_after;
  std::optional<HardState> hard_state;
  /// Replace the stored entries from the first one's index on.
  std::vector<LogEntry> entries_to_sync;
  /// To apply in this order, after a snapshot to be restored.
  std::vector<LogEntry> committed;
  std::vector<ResolvedProposal> resolved;
  std::vector<ResolvedRead> reads;
};

/// State of one other replica as seen by the leader, for operators.
struct PeerStatus {
  ReplicaId id;
  Index match = 0;
  bool active = false;
  bool durable = false;
};

struct Status {
  Role role = Role::kFollower;
  Term term = 0;
  /// Empty when none is known.
  ReplicaId leader;
  Index commit = 0;
  Index last_index = 0;
  Configuration configuration;
  bool configuration_committed = false;
  /// Filled on the leader.
  std::vector<PeerStatus> peers;
};

class Replica {
 public:
  /// `now` starts the wait of one election timeout before the first vote.
  Replica(Config config, RestoredState restored, base::TimePoint now);
  ~Replica();
  Replica(Replica&&) noexcept;
  Replica& operator=(Replica&&) noexcept;
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Handles a message from another replica.
  void Step(base::TimePoint now, Message message);
  /// Is to be called every 10 ms.
  void Tick(base::TimePoint now);
  Output TakeOutput();
  /// The output with this number, and all before it, are durable.
  void OnSynced(base::TimePoint now, std::uint64_t sync_id);
  /// The disk failed or is full: the replica stops to vote, to lead and to count for the majority,
  /// but goes on to receive entries in memory. Only a new process ends this state.
  void OnStorageFailed(base::TimePoint now);

  /// Appends a command on the leader. Its fate is reported in Output::resolved.
  base::Result<ProposalId, ProposeError> Propose(base::TimePoint now, std::string command);
  /// Sends a command to the leader of this term, again until it answers. Its fate is reported in
  /// Output::resolved.
  base::Result<RequestNumber, ProposeError> Forward(base::TimePoint now, std::string command);
  /// Starts a linearizable read, on any replica. The answer comes in Output::reads. The leader
  /// answers only under its lease.
  RequestNumber ReadIndex(base::TimePoint now);

  base::Result<ProposalId, ProposeError> AddLearner(base::TimePoint now, const ReplicaId& id);
  base::Result<ProposalId, ProposeError> Promote(base::TimePoint now, const ReplicaId& id);
  base::Result<ProposalId, ProposeError> Remove(base::TimePoint now, const ReplicaId& id);
  /// Hands leadership to a voter, or to the one that is furthest when `target` is empty. No
  /// proposals are taken until another leader is elected or this fails after election_max.
  base::Result<base::Done, ProposeError> TransferLeadership(base::TimePoint now, ReplicaId target);

  /// Replaces the log up to `index`, which must be applied, by a snapshot of the state machine.
  /// False when an equal or newer snapshot exists.
  bool CompactTo(Index index, std::string state);

  /// While true, no other replica can be elected, so that the state of this one is the latest.
  bool HasLeaderLease(base::TimePoint now) const;
  bool IsLeader() const;
  Status GetStatus() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::consensus
