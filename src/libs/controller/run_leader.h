// The leader's work during its term: plans runs, logs them, orders them, follows them to their end.
//
// Safety of a run rests on three rules. A start is in the log before its order leaves. A new leader
// raises the fence at every target and adopts what the ledger and the target agree on. A run
// without an answer counts as possibly alive until the target's list, a confirmed stop, another
// life of the target, or the end of its lease says otherwise.
//
// It has no clock and no sockets: time comes with each call, orders go through TargetCalls, and
// commands through LeaderContext.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "controller/target_calls.h"
#include "dispatch/mover.h"
#include "dispatch/planner.h"
#include "dispatch/target_book.h"
#include "workload/ledger.h"

namespace mangoroad::controller {

/// What the leader needs from the process around it.
class LeaderContext {
 public:
  virtual ~LeaderContext() = default;
  /// Proposes a command; `done` says whether it was applied here, and is never called from inside.
  using OnProposed = std::function<void(base::TimePoint now, bool applied)>;
  virtual void Propose(const workload::Command& command, OnProposed done) = 0;
  /// True while no other replica can be leader.
  virtual bool MayLead() = 0;
  /// Asks for a call of RunLeader::Advance soon; repeated requests are joined.
  virtual void RequestAdvance() = 0;
  [[nodiscard]] virtual std::int64_t TimeOfDayMs() = 0;
};

struct RunLeaderSettings {
  dispatch::LeaseDurations lease;
  dispatch::HealthLimits health;
  dispatch::PlanLimits plan;
  dispatch::ThrottlerSettings pacer;
  dispatch::MigrationSettings moves;
  /// How long a look may wait at a target for an end; the platform allows 2 s. Leases are extended
  /// at least this often.
  base::Duration look_wait = std::chrono::milliseconds(1000);
  /// The same for a target on which tasks fill beside tasks that serve, whose bound is watched.
  base::Duration watch_wait = std::chrono::milliseconds(300);
  /// Pause after an order without an answer before it is sent again.
  base::Duration retry_pause = std::chrono::milliseconds(150);
  /// A stop whose end isn't listed is sent again after this time.
  base::Duration stop_retry = std::chrono::milliseconds(1000);
  /// A target that took its leave ends its runs within this time.
  base::Duration leave_time = std::chrono::milliseconds(1000);
};

/// What a target says of itself in one announcement.
struct Announcement {
  workload::TargetRecord target;
  std::uint64_t sequence = 0;
  std::optional<dispatch::TargetMilliseconds> clock;
};

class RunLeader {
 public:
  RunLeader(const workload::WorkloadState& ledger, TargetCalls& calls, LeaderContext& context,
            RunLeaderSettings settings);

  /// This replica leads under `fence`, which is higher than that of every earlier leader.
  void BeginTerm(base::TimePoint now, Fence fence);
  void EndTerm();
  [[nodiscard]] bool IsLeading() const { return this->leading; }

  /// Sends what is due and proposes the next changes.
  void Advance(base::TimePoint now);
  /// Is to be called every 50 ms.
  void Tick(base::TimePoint now);
  /// A command was applied to the ledger.
  void OnApplied(base::TimePoint now, const workload::Command& command);

  using OnAnnounced = std::function<void(bool accepted)>;
  /// `done(true)` once the ledger holds what the announcement says.
  void Announce(base::TimePoint now, const Announcement& announcement, const OnAnnounced& done);
  /// The target is about to end. Without a birth, the one that is known and draining is meant.
  void Leave(base::TimePoint now, const std::string& id,
             std::optional<workload::IncarnationNumber> birth, const OnAnnounced& done);

  [[nodiscard]] dispatch::TargetTracker& Book() { return this->book; }

 private:
  [[nodiscard]] const workload::TargetRecord* RecordOf(
      const workload::TargetIncarnation& life) const;
  [[nodiscard]] Destination DestinationOf(const workload::TargetRecord& record) const;
  void AdoptRuns(dispatch::TargetView& view);
  bool NeedsLook(base::TimePoint now, const dispatch::TargetView& view,
                 const workload::TargetRecord& record) const;
  void SendLooks(base::TimePoint now);
  void SendLook(base::TimePoint now, dispatch::TargetView& view,
                const workload::TargetRecord& record);
  void OnLook(base::TimePoint now, const workload::TargetIncarnation& life, base::TimePoint sent_at,
              std::uint64_t noted, const LookAnswer& answer);
  void TakeLists(base::TimePoint now, dispatch::TargetView& view, base::TimePoint sent_at,
                 const dispatch::TargetLists& lists);
  void TakeRunning(base::TimePoint now, dispatch::TargetView& view,
                   const dispatch::RunningRow& row);
  void SendOrders(base::TimePoint now);
  /// Sends the orders that are due at one target; true when more will be due there.
  bool SendOrdersTo(base::TimePoint now, dispatch::TargetView& view);
  /// The runs of a job that became final are to be stopped.
  void StopRunsOf(const workload::JobId& id);
  void SendStart(base::TimePoint now, dispatch::TargetView& view, const workload::TaskRef& task);
  void OnStart(base::TimePoint now, const workload::TargetIncarnation& life,
               const workload::TaskRef& task, std::uint32_t run, const OrderAnswer& answer);
  /// Runs of jobs that aren't final, the most urgent first, then those closest to their end.
  std::vector<workload::TaskRef> RunsByUrgency(const dispatch::TargetView& view) const;
  void MeasureServing(base::TimePoint now, dispatch::TargetView& view);
  /// A pace is in force at the target.
  void NotePace(base::TimePoint now, dispatch::RunView& run, std::int32_t percent) const;
  void SendPaces(dispatch::TargetView& view);
  void SendPace(const dispatch::TargetView& view, const workload::TaskRef& task,
                dispatch::RunView& run);
  /// Stops runs that go on better elsewhere; what the target lists as stopped waits again.
  void MoveRuns(base::TimePoint now);
  /// False when it may not be sent now.
  bool SendStop(const dispatch::TargetView& view, const workload::TaskRef& task, std::uint32_t run);
  void OnSilence(dispatch::TargetView& view);
  void OnOtherLife(const workload::TargetIncarnation& life);
  void CheckLeases(base::TimePoint now);
  void Conclude(const workload::TaskRef& task, std::uint32_t run,
                const workload::TargetIncarnation& life, workload::RunEnd how);
  std::vector<workload::Opening> DueOpenings(std::int64_t time_of_day_ms) const;
  void ProposeRound(base::TimePoint now);
  void LogBacklog(base::TimePoint now);

  const workload::WorkloadState& ledger;
  TargetCalls& calls;
  LeaderContext& context;
  RunLeaderSettings settings;
  bool leading = false;
  Fence fence = 0;
  /// Answers to orders of an earlier term are ignored.
  std::uint64_t generation = 0;
  dispatch::TargetTracker book;
  dispatch::Planner planner;
  /// Lives whose record is gone, and when that was noticed.
  std::map<workload::TargetIncarnation, base::TimePoint> departed;
  std::set<workload::TargetIncarnation> replaced;
  std::vector<workload::End> ends;
  std::set<std::pair<workload::TaskRef, std::uint32_t>> concluded;
  /// Runs that a target lists and the ledger doesn't know, with the time of the last stop.
  std::map<std::pair<workload::TaskRef, std::uint32_t>, base::TimePoint> strays;
  bool round_in_flight = false;
  base::TimePoint next_moves;
  base::TimePoint next_backlog_line;
};

}  // namespace mangoroad::controller
