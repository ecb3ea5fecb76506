// One replica of the replicated log (Raft with pre-vote, leader lease and single-server membership
// changes; Ongaro, "Consensus: Bridging Theory and Practice", 2014). Performs no I/O and reads no
// clock.
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

/// The defaults suit lossy links with a one-way delay of 5 ms.
struct Timings {
  base::Duration heartbeat_interval = std::chrono::milliseconds(50);
  /// Bounds of the randomized election timeout. A voter doesn't vote within election_min after
  /// contact with a leader.
  base::Duration election_min = std::chrono::milliseconds(300);
  base::Duration election_max = std::chrono::milliseconds(600);
  /// Bounds of the randomized delay before a candidate starts another election.
  base::Duration retry_min = std::chrono::milliseconds(100);
  base::Duration retry_max = std::chrono::milliseconds(250);
  /// The leader lease is shorter than election_min by this and by 1% for clock drift. A longer
  /// interval between two calls is handled like a restart.
  base::Duration pause_allowance = std::chrono::milliseconds(50);
  /// Interval at which an unanswered forwarded proposal or snapshot chunk is sent again.
  base::Duration resend_interval = std::chrono::milliseconds(200);
  /// A read that can't be confirmed for this long fails.
  base::Duration read_timeout = std::chrono::seconds(1);
};

struct Limits {
  /// Largest command in bytes.
  std::size_t command_bytes = 2U << 20U;
  /// Data in one append message, unless a single entry is larger.
  std::size_t batch_bytes = 256U << 10U;
  /// Maximum unacknowledged data sent to one replica.
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

/// State recovered from disk. The state machine must already be restored from `snapshot`.
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
  kTransferring,   ///< Leadership is being transferred.
  kChangePending,  ///< An earlier membership change, or the leader's first entry, isn't committed.
  kInvalidChange,  ///< The change contradicts the current configuration.
  kNotCaughtUp,    ///< The learner lacks entries, a disk or contact.
  kNoQuorum,       ///< Too few of the new voters are reachable for a majority.
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

/// Outcome of a proposal made on this replica.
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
  /// Entries after this index are to be removed.
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
  Index match_index = 0;
  bool active = false;
  bool durable = false;
  /// In contact, and its disk follows the log within an election timeout; see Progress.
  bool caught_up = false;
  /// As `match_index`, on the replica's disk.
  Index synced_index = 0;
  bool receives_snapshot = false;
};

struct Status {
  Role role = Role::kFollower;
  Term term = 0;
  /// Empty when none is known.
  ReplicaId leader;
  Index commit_index = 0;
  Index last_index = 0;
  Configuration configuration;
  bool configuration_committed = false;
  /// Filled on the leader.
  std::vector<PeerStatus> peers;
};

class Replica {
 public:
  /// The replica doesn't vote until election_min after `now`.
  Replica(Config config, RestoredState restored, base::TimePoint now);
  ~Replica();
  Replica(Replica&&) noexcept;
  Replica& operator=(Replica&&) noexcept;
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Handles a message from another replica.
  void Step(base::TimePoint now, Message message);
  /// Call this every 10 ms.
  void Tick(base::TimePoint now);
  Output TakeOutput();
  /// The output with this number, and all before it, are durable.
  void OnSynced(base::TimePoint now, std::uint64_t sync_id);
  /// The disk failed or is full: the replica no longer votes, leads or counts for the majority, but
  /// still receives entries in memory, until OnStorageRecovered.
  void OnStorageFailed(base::TimePoint now);
  /// The disk takes writes again and holds what was durable before it failed; later writes may be
  /// lost. The next output contains everything that is missing there, and the replica counts for
  /// the majority again once that is synced.
  void OnStorageRecovered(base::TimePoint now);

  /// Appends a command on the leader. Its outcome is reported in Output::resolved.
  base::Result<ProposalId, ProposeError> Propose(base::TimePoint now, std::string command);
  /// Sends a command to the leader of this term, repeatedly until it responds. The outcome is
  /// reported in Output::resolved.
  base::Result<RequestNumber, ProposeError> Forward(base::TimePoint now, std::string command);
  /// Starts a linearizable read, on any replica. The result is reported in Output::reads. The
  /// leader serves it only under its lease.
  RequestNumber ReadIndex(base::TimePoint now);

  base::Result<ProposalId, ProposeError> AddLearner(base::TimePoint now, const ReplicaId& id);
  base::Result<ProposalId, ProposeError> Promote(base::TimePoint now, const ReplicaId& id);
  base::Result<ProposalId, ProposeError> Remove(base::TimePoint now, const ReplicaId& id);
  /// Transfers leadership to a voter, or to the most up-to-date one if `target` is empty. No
  /// proposals are accepted until another leader is elected or the transfer fails after
  /// election_max.
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
