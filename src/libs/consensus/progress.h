// Replication progress of one other replica, as tracked by the leader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

#include "base/time.h"
#include "consensus/messages.h"

namespace mangoroad::consensus::internal {

enum class ProgressState {
  kProbe,      ///< One message with entries, until the logs are known to agree.
  kReplicate,  ///< Messages are sent without waiting for responses, up to a limit.
  kSnapshot,   ///< The needed entries were compacted; a snapshot is sent in chunks.
};

class Progress {
 public:
  explicit Progress(Index next_index) : next(next_index) {}

  /// Resets the progress because the replica restarted.
  void Restart(std::uint64_t new_incarnation, Index next_index);
  void BecomeProbe(Index next_index);
  void BecomeSnapshot(std::shared_ptr<const Snapshot> to_send);
  /// Entries up to `last` were sent, counting `bytes` against the limit.
  void OnSent(Index last, std::size_t bytes);
  /// The replica has all entries up to `index`.
  void OnAccepted(Index index, bool is_durable);
  /// Ends the catch-up round if the replica has synced all entries that the log had when the round
  /// began, and begins the next one. `last` is the last index of the leader's log.
  void UpdateCatchUp(base::TimePoint now, Index last, base::Duration max_round);
  /// True when the last round was no longer than `max_round` and the present one isn't either. On
  /// a log that keeps growing, a replica never has the entries of this moment.
  [[nodiscard]] bool IsCaughtUp(base::TimePoint now, base::Duration max_round) const;

  ProgressState state = ProgressState::kProbe;
  Index match = 0;
  /// As `match`, but on the replica's disk; only this counts for the majority.
  Index durable_match = 0;
  Index next;
  /// The last commit index that was sent.
  Index sent_commit = 0;
  bool durable = false;
  std::uint64_t incarnation = 0;
  /// Latest time on the leader's clock at which a message was sent that the replica has responded
  /// to.
  std::optional<base::TimePoint> acknowledged_send;
  base::TimePoint last_contact;
  bool heartbeat_due = true;
  /// In kProbe: entries were sent and a response is awaited. Heartbeats ask the same without
  /// entries, so that a replica that doesn't respond costs no bandwidth.
  bool paused = false;
  std::size_t inflight_bytes = 0;

  std::shared_ptr<const Snapshot> snapshot;
  std::uint64_t snapshot_offset = 0;
  std::optional<base::TimePoint> chunk_sent;

 private:
  struct CatchUpRound {
    base::TimePoint start;
    Index target = 0;
  };

  std::deque<std::pair<Index, std::size_t>> inflight;
  std::optional<CatchUpRound> catch_up_round;
  bool last_round_was_short = false;
};

}  // namespace mangoroad::consensus::internal
