// Runs one replica of the replicated log: sends its messages, syncs its output and applies what is
// committed.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/name_table.h"
#include "base/result.h"
#include "base/time.h"
#include "consensus/replica.h"
#include "entry/entry_error.h"

namespace mangoroad::storage {
class FileSystem;
}

namespace mangoroad::net {
class EventLoop;
}

namespace mangoroad::metrics {
class ActivityMeter;
}

namespace mangoroad::entry {

/// The state machine that committed commands are applied to.
class AppliedState {
 public:
  virtual ~AppliedState() = default;
  /// Applies a command and returns its encoded answer. Deterministic.
  virtual std::string Apply(consensus::Index index, consensus::Term term,
                            std::string_view command) = 0;
  virtual std::string Snapshot() const = 0;
  /// False when the bytes are no snapshot; the state is then unchanged.
  virtual bool Restore(std::string_view snapshot) = 0;
};

/// Fate of a proposal as its proposer learns it.
enum class ProposalFate : std::uint8_t {
  kApplied,      // committed and applied here
  kNotAccepted,  // not in the log and never will be
  kUnknown,      // its answer didn't arrive in time, or a snapshot replaced its part of the log
};

inline constexpr base::NameTable<ProposalFate, 3> kProposalFateNames{{
    {ProposalFate::kApplied, "applied"},
    {ProposalFate::kNotAccepted, "not-accepted"},
    {ProposalFate::kUnknown, "unknown"},
}};

struct ProposalResult {
  ProposalFate fate = ProposalFate::kUnknown;
  std::string answer;   // what AppliedState::Apply returned; only with kApplied
  std::string message;  // why not; only without kApplied
};

/// What happens with a proposal that is certainly not in the log because the leader changed.
enum class IfLost : std::uint8_t {
  kProposeAgain,  // until kLeaderWait has passed, by any replica
  kReport,        // at once; the command is only proposed by this replica as the leader
};

struct LogOptions {
  consensus::ReplicaId self;
  consensus::Configuration first_configuration;
  /// Folder of the log; none on a VM without a disk.
  std::optional<std::string> folder;
  std::uint64_t incarnation = 0;
  std::uint64_t seed = 0;
  /// Entries between two snapshots.
  consensus::Index snapshot_every = 20'000;
  /// Measures the log's share of the loop's time; must outlive the service.
  metrics::ActivityMeter* meter = nullptr;
};

/// All calls are made on the loop's thread.
class LogService {
 public:
  using Send = std::function<void(const consensus::ReplicaId& to, std::string message)>;
  using OnProposal = std::function<void(const ProposalResult&)>;
  using OnApplied = std::function<void(consensus::Index index, std::string_view command,
                                       std::string_view answer)>;

  /// A proposal without a known leader is tried again until this time has passed.
  static constexpr base::Duration kLeaderWait = std::chrono::seconds(2);
  /// A proposal whose fate isn't known after this time is by default reported as unknown.
  static constexpr base::Duration kProposalTime = std::chrono::seconds(10);
  /// Interval at which a failed disk is tried again. Each attempt copies up to one log segment.
  static constexpr base::Duration kDiskRetryInterval = std::chrono::milliseconds(500);

  LogService(net::EventLoop& loop, storage::FileSystem& files, AppliedState& state, Send send);
  ~LogService();
  LogService(const LogService&) = delete;
  LogService& operator=(const LogService&) = delete;

  /// Reads the folder and starts the replica.
  base::Result<base::Done, EntryError> Open(LogOptions options);

  /// An encoded message of another replica.
  void OnMessage(std::string_view message);
  /// Proposes a command; `done` is called once, never from inside this call. Without a timeout, a
  /// proposal that a leader has accepted is reported once its fate is certain.
  void Propose(std::string command, OnProposal done, IfLost if_lost = IfLost::kProposeAgain,
               std::optional<base::Duration> timeout = kProposalTime);
  /// Called for each applied command, with its answer.
  void SetOnApplied(OnApplied callback);
  /// Called after a snapshot replaced the state.
  void SetOnRestored(std::function<void()> callback);

  /// True on a leader that has applied all entries of earlier terms and whose lease is in force.
  [[nodiscard]] bool MayLead() const;
  [[nodiscard]] consensus::Status Status() const;
  [[nodiscard]] consensus::Index Applied() const;
  /// False from a disk fault until the disk works again, or on a VM without a disk.
  [[nodiscard]] bool Durable() const;
  [[nodiscard]] std::string StorageFault() const;

  /// Changes of the replicas; the message says why one was refused.
  base::Result<base::Done, std::string> AddLearner(const consensus::ReplicaId& id);
  base::Result<base::Done, std::string> Promote(const consensus::ReplicaId& id);
  base::Result<base::Done, std::string> Remove(const consensus::ReplicaId& id);
  /// Hands leadership over before a planned stop; no effect on other replicas.
  void TransferLeadership();

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::entry
