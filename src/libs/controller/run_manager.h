// Manages all runs during a leader's term: plans them, commits them to the log, starts them at the
// targets and tracks them until they end.
//
// Three rules ensure that a task never runs twice at once. A start is committed to the log before
// its request is sent. A new leader raises the fence at every target and adopts the runs on which
// the replicated state and the target agree. A run without a response counts as possibly running
// until the target's list, a confirmed stop, or the expiry of its lease shows that it has ended;
// see former_runs.cc for a target that restarts and departed_targets.cc for one that leaves.
//
// RunManager has no clock and no sockets: the time is passed to each call, requests go through
// TargetCalls, and commands through LeaderContext.
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
#include "controller/outstanding_starts.h"
#include "controller/run_statistics.h"
#include "controller/start_history.h"
#include "controller/target_calls.h"
#include "controller/target_fences.h"
#include "dispatch/migration.h"
#include "dispatch/planner.h"
#include "dispatch/target_tracker.h"
#include "metrics/activity_meter.h"
#include "workload/workload_state.h"

namespace mangoroad::controller {

/// What RunManager needs from the replica it runs on.
class LeaderContext {
 public:
  virtual ~LeaderContext() = default;
  /// Proposes a command; `done` reports whether it was applied here, and is never called from
  /// within Propose(). Not before that is certain, however long it takes: a command that isn't
  /// applied either isn't in the log and never will be, or this replica no longer leads.
  using OnProposed = std::function<void(base::TimePoint now, bool applied)>;
  virtual void Propose(const workload::Command& command, OnProposed done) = 0;
  /// True while no other replica can be leader.
  virtual bool MayLead() = 0;
  /// Schedules a call of RunManager::Advance; repeated requests are coalesced.
  virtual void RequestAdvance() = 0;
  [[nodiscard]] virtual std::int64_t TimeOfDayMs() = 0;
  [[nodiscard]] virtual metrics::ActivityMeter& Meter() = 0;
};

struct RunManagerSettings {
  dispatch::LeaseDurations lease;
  dispatch::HealthLimits health;
  dispatch::PlanLimits plan;
  dispatch::ThrottlerSettings throttler;
  dispatch::MigrationSettings migration;
  /// How long a poll may wait at a target for a run to end; the platform allows 2 s. Leases are
  /// extended at least this often.
  base::Duration poll_wait = std::chrono::milliseconds(1000);
  /// The same for a target with best-effort tasks beside latency-critical ones whose SLO is at
  /// risk.
  base::Duration slo_poll_wait = std::chrono::milliseconds(300);
  /// Delay before a request without a response is sent again.
  base::Duration retry_delay = std::chrono::milliseconds(150);
  /// Delay before a request whose delegate didn't carry it, or was lost, is sent another way.
  base::Duration carry_retry_delay = std::chrono::milliseconds(20);
  /// A start isn't requested any more this long after it was committed.
  base::Duration start_window = std::chrono::seconds(5);
  /// A request without a response is given up no later than this: it may wait 1 s for its delegate
  /// and 700 ms for a connection.
  base::Duration longest_response_time = std::chrono::seconds(2);
  /// A request that gets no response is carried out no later than this. It arrives within 4 s (1 s
  /// at its delegate, 3 s until a connection drops what it couldn't send), and the platform's kinds
  /// of disruption give 2 to 12 s until it is carried out (`applied_late`).
  base::Duration longest_request_delay = std::chrono::seconds(16);
  /// Interval at which a stop is repeated until the target lists the end of the run.
  base::Duration stop_retry_interval = std::chrono::milliseconds(1000);
  /// A target without other requests is polled this often, so that its clock is known: the estimate
  /// lags by up to a fortieth of this time, by which leases get shorter.
  base::Duration clock_refresh = std::chrono::seconds(20);
  /// A target that takes its leave is answered within this time: it waits a second.
  base::Duration longest_departure = std::chrono::milliseconds(750);
  /// Longest lease that targets grant, whatever deadline a request names; by their own clocks.
  base::Duration longest_lease = std::chrono::seconds(10);
};

struct TargetContact;

/// Why a run that its target doesn't list as ended is over, or never begins.
enum class EndEvidence : std::uint8_t {
  kNotSent,           ///< no request of its start was sent, or all were answered without effect
  kRefused,           ///< its target has refused the only request of its start
  kRuledOut,          ///< its target can't begin it any more, see OutstandingStarts
  kNotListed,         ///< its target, which knows of it, doesn't list it any more
  kLeaseExpired,      ///< the leases of its silent or departed target have expired
  kIncarnationEnded,  ///< a later incarnation of the target has responded, without the run
};
inline constexpr base::NameTable<EndEvidence, 6> kEndEvidenceNames{{
    {EndEvidence::kNotSent, "not-sent"},
    {EndEvidence::kRefused, "refused"},
    {EndEvidence::kRuledOut, "ruled-out"},
    {EndEvidence::kNotListed, "not-listed"},
    {EndEvidence::kLeaseExpired, "lease-expired"},
    {EndEvidence::kIncarnationEnded, "incarnation-ended"},
}};

/// Contents of one announcement by a target.
struct Announcement {
  workload::TargetRecord target;
  /// What the target's clock showed. It orders the announcements of an incarnation.
  dispatch::TargetMilliseconds clock = 0;
};

class RunManager {
 public:
  RunManager(const workload::WorkloadState& state, TargetCalls& calls, LeaderContext& context,
             RunManagerSettings settings);

  /// Starts a term, which is higher than that of every earlier leader.
  void BeginTerm(base::TimePoint now, Fence term);
  void EndTerm();
  [[nodiscard]] bool IsLeading() const { return this->leading; }

  /// Proposes the next changes and sends the requests that are due.
  void Advance(base::TimePoint now);
  /// Must be called every 50 ms.
  void Tick(base::TimePoint now);
  /// Must be called when a snapshot has replaced the replicated state.
  void OnRestored(base::TimePoint now) { this->start_history.OnRestored(now); }
  /// Must be called after a command was applied to the replicated state, on all replicas.
  void OnApplied(base::TimePoint now, const workload::Command& command);

  using OnAnnounced = std::function<void(bool accepted)>;
  /// Calls `done(true)` once the replicated state contains the announcement, and `done(false)` when
  /// it has no effect: it contradicts the record or is outdated.
  void Announce(base::TimePoint now, const Announcement& announcement, const OnAnnounced& done);
  /// Notes an announcement that a delegate has confirmed.
  void NoteContact(base::TimePoint now, const TargetContact& contact);
  /// Removes a target that is shutting down, once its runs have ended or it has to be answered.
  /// Without an incarnation number, the registered incarnation is removed if it is draining.
  void Leave(base::TimePoint now, const std::string& id,
             std::optional<workload::IncarnationNumber> incarnation_number,
             const OnAnnounced& done);

  [[nodiscard]] dispatch::TargetTracker& Targets() { return this->targets; }
  [[nodiscard]] const dispatch::PlanningEffort& Effort() const { return this->planner.Effort(); }
  /// How often a target was checked for due requests and polls.
  [[nodiscard]] std::uint64_t TargetChecks() const { return this->target_checks; }

 private:
  [[nodiscard]] const workload::TargetRecord* RecordOf(
      const workload::TargetIncarnation& target) const;
  [[nodiscard]] TargetEndpoint EndpointOf(const workload::TargetRecord& record) const;
  void AdoptRuns(dispatch::TargetView& view, const StartHistory::Recent& recent);
  /// Takes over which requests of earlier leaders may still be carried out.
  void AdoptOutstandingStarts(base::TimePoint now, const StartHistory::Recent& recent);
  /// A run of a task that the replicated state contains.
  dispatch::RunView& AddRun(dispatch::TargetView& view, const workload::TaskRef& task) const;
  /// Stops a run that another run's end has made obsolete, unless it has certainly ended with it.
  void OnSuperseded(const workload::SupersededRun& superseded);
  bool NeedsPoll(base::TimePoint now, const dispatch::TargetView& view,
                 const workload::TargetRecord& record) const;
  /// True when the next poll has to show whether unanswered starts have begun.
  [[nodiscard]] bool HasRunsToSettle(const dispatch::TargetView& view) const;
  /// Sends a poll to a target when one is due.
  void SendPollIfDue(base::TimePoint now, dispatch::TargetView& view);
  /// True while a poll waits for the responses to starts; see AcknowledgementDue.
  static bool WaitsForStarts(base::TimePoint now, dispatch::TargetView& view,
                             const workload::TargetRecord& record);
  [[nodiscard]] static bool IsAcknowledgementOverdue(base::TimePoint now,
                                                     const dispatch::TargetView& view);
  void SendPoll(base::TimePoint now, dispatch::TargetView& view,
                const workload::TargetRecord& record);
  void OnPollResponse(base::TimePoint now, const workload::TargetIncarnation& target,
                      base::TimePoint sent_at, const PollRequest& request,
                      const PollResponse& response);
  void ApplyLists(base::TimePoint now, dispatch::TargetView& view, base::TimePoint sent_at,
                  Fence sent_fence, const dispatch::TargetLists& lists);
  /// A task and the number of a run. The end of an earlier run of a task may still be listed while
  /// a later one is due.
  using ListedRun = std::pair<const workload::TaskRef*, std::uint32_t>;
  /// Accounts for the runs that complete lists don't contain.
  void ApplyAbsences(base::TimePoint now, dispatch::TargetView& view, base::TimePoint sent_at,
                     bool first_contact, std::vector<ListedRun> listed,
                     const dispatch::TargetLists& lists);
  /// What becomes of a run that a complete list doesn't contain.
  void ApplyAbsence(base::TimePoint now, dispatch::TargetView& view, const workload::TaskRef& task,
                    dispatch::RunView& run, base::TimePoint sent_at, bool first_contact);
  void ApplyRunning(base::TimePoint now, dispatch::TargetView& view,
                    const dispatch::RunningRow& row);
  /// Requests or a poll may have become due at this target.
  void MarkChanged(const std::string& target_id) { this->changed_targets.insert(target_id); }
  /// Sends what is due at the targets that have changed.
  void SendToChangedTargets(base::TimePoint now);
  /// Sends what has become due by time alone.
  void SendToAllTargets(base::TimePoint now);
  void SendDueRequests(base::TimePoint now, dispatch::TargetView& view);
  /// Sends the requests that are due at one target; true when more will be due there.
  bool SendRequestsTo(base::TimePoint now, dispatch::TargetView& view);
  /// True when a start may not be requested any more: its window is over, see StartHistory, or its
  /// target is draining.
  [[nodiscard]] bool IsStartOverdue(base::TimePoint now, const dispatch::TargetView& view,
                                    const dispatch::RunView& run) const;
  /// True when a member whose start is due has no complete gang any more: another one has ended.
  /// Its start would wait for the others in vain, and might carry a later checkpoint than theirs.
  [[nodiscard]] bool IsGangBroken(const workload::TaskRef& member,
                                  const dispatch::RunView& run) const;
  /// Requests stops for the remaining runs of a job in a final state.
  void StopRunsOf(const workload::JobId& id);
  /// Has a run stopped at its target.
  void MarkObsolete(const workload::TaskRef& task, std::uint32_t run,
                    const workload::TargetIncarnation& target);
  void SendStart(base::TimePoint now, dispatch::TargetView& view, const workload::TaskRef& task);
  /// Until when a later incarnation is taken to carry out a start request that is sent now. A
  /// long-running task has to run again within 6 s of its last run (rule LOST), which is sooner
  /// than late requests are over. For these, only the time counts until the request is given up,
  /// which isn't certain.
  [[nodiscard]] base::TimePoint LatestExecution(base::TimePoint now,
                                                const dispatch::RunView& run) const;
  [[nodiscard]] static bool IsLongRunning(const dispatch::RunView& run);
  /// True for an unanswered start that isn't repeated: a poll with a higher fence shows whether the
  /// run has begun, and keeps it from beginning later. Tasks that end by themselves would have to
  /// wait for later incarnations as well, so that their starts are repeated instead.
  [[nodiscard]] static bool AwaitsLists(const dispatch::RunView& run);
  /// The latest request of the run got no response. The start is committed again, so that the next
  /// leader knows of the request.
  void NoteUnanswered(const workload::TargetIncarnation& target, const workload::TaskRef& task,
                      std::uint32_t run);
  struct SentStart {
    workload::TargetIncarnation target;
    workload::TaskRef task;
    std::uint32_t run = 0;
    base::TimePoint sent_at;
    Fence fence = 0;
  };
  void OnStartResponse(base::TimePoint now, const SentStart& sent, const CallResponse& response);
  struct RankedRun {
    const workload::TaskRef* task = nullptr;
    dispatch::RunView* run = nullptr;
    const workload::StepSpec* spec = nullptr;
    dispatch::Urgency urgency;
  };
  /// Runs of jobs that aren't final; where best-effort runs share a target with latency-critical
  /// ones, the most urgent first, then the furthest progressed.
  std::vector<RankedRun> RunsByUrgency(dispatch::TargetView& view) const;
  /// True when rates are to be requested.
  bool UpdateThrottling(base::TimePoint now, dispatch::TargetView& view);
  /// The target has confirmed the throttle rate of a run.
  void OnThrottled(base::TimePoint now, dispatch::RunView& run, std::int32_t rate_percent) const;
  void SendThrottleRequests(dispatch::TargetView& view);
  void SendThrottleRequest(const dispatch::TargetView& view, const workload::TaskRef& task,
                           dispatch::RunView& run);
  /// Stops runs that should continue on another target. A task becomes ready again when the target
  /// lists its run as stopped.
  void MigrateRuns(base::TimePoint now);
  /// False when the request may not be sent now.
  bool SendStop(const dispatch::TargetView& view, const workload::TaskRef& task, std::uint32_t run);
  void OnStopResponse(base::TimePoint now, const workload::TargetIncarnation& target,
                      const workload::TaskRef& task, std::uint32_t run_number, Fence sent_fence,
                      const CallResponse& response);
  void OnNoResponse(dispatch::TargetView& view);
  /// A silent target responds again: starts of unknown outcome are committed again and repeated
  /// there, rather than left to wait until none of their requests can be carried out.
  void RenewStartWindows(base::TimePoint now, dispatch::TargetView& view);
  /// The target has seen a higher fence than that of a request.
  void OnFenced(dispatch::TargetView& view, Fence sent_fence);
  /// True when a registration replaces the record of another incarnation: under the same id, or at
  /// the same address.
  [[nodiscard]] bool ReplacesRecord(const workload::TargetRecord& target) const;
  /// Handles an announcement of a registered incarnation.
  void Reannounce(base::TimePoint now, const workload::TargetRecord& record,
                  const Announcement& announcement, const OnAnnounced& done);
  /// An announcement contradicts the record. The target's own is the one that is repeated after a
  /// response of the target; another writer's and a delayed one aren't.
  void OnContradiction(base::TimePoint now, dispatch::TargetView& view,
                       const workload::TargetRecord& record, const Announcement& announcement,
                       const OnAnnounced& done);
  void CorrectRecord(const Announcement& announcement, const OnAnnounced& done);
  /// Registers the target, or corrects its record, once it has responded at its address.
  void RegisterIfPresent(base::TimePoint now, const Announcement& announcement,
                         const OnAnnounced& done);
  /// Registers a target whose record has a later birth, though it responds with this one: the
  /// record came from another writer, or the time of day has jumped back between two lives.
  void ReplaceFalseRecord(const workload::TargetIncarnation& recorded,
                          const Announcement& announcement, dispatch::TargetMilliseconds clock,
                          const OnAnnounced& done);
  /// Registers a target of which former incarnations may have been sent requests.
  void RegisterSuccessor(const Announcement& announcement, dispatch::TargetMilliseconds clock,
                         const OnAnnounced& done);
  void Register(const Announcement& announcement, const OnAnnounced& done);
  /// Another target has responded at the address: this incarnation isn't reached there any more.
  void OnOtherTarget(base::TimePoint now, const workload::TargetIncarnation& target);
  /// Another incarnation has responded. The record stays until that one announces itself.
  static void OnOtherIncarnation(base::TimePoint now, dispatch::TargetView& view);
  void CheckLeases(base::TimePoint now);
  /// The leases of the target have expired. Runs that another incarnation may hold wait on.
  void GiveUpRuns(base::TimePoint now, const dispatch::TargetView& view);
  /// Until when a later incarnation of its silent target may hold a run; the epoch when none can.
  [[nodiscard]] base::TimePoint HeldUntil(const workload::TaskRef& task, std::uint32_t run) const;
  /// True while an earlier run of a waiting task may begin, or go on, at a target.
  [[nodiscard]] bool MayStillRun(base::TimePoint now, const workload::TaskRef& task) const;
  [[nodiscard]] bool MayStillRun(base::TimePoint now, const workload::TaskRef& task,
                                 const OutstandingStarts::Run& outstanding) const;
  /// Removes the starts of tasks of which an earlier run may go on.
  void HoldBackStarts(base::TimePoint now, std::vector<workload::Start>& starts);
  // departed_targets.cc
  /// Stops the runs of a target that is about to end, so that their ends are known and their
  /// checkpoints kept, and removes it.
  void Depart(base::TimePoint now, const workload::TargetRecord& record, const OnAnnounced& done);
  /// Removes the leaving targets that have no runs any more or have to be answered.
  void RetireLeavingTargets(base::TimePoint now);
  /// When all leases of an incarnation without a record have certainly expired. `since`: when the
  /// leader noticed that the record is missing.
  [[nodiscard]] base::TimePoint LeaseEndOf(const workload::TargetIncarnation& target,
                                           base::TimePoint since) const;
  /// True when a run of an incarnation without a record has certainly ended.
  [[nodiscard]] bool HasDepartedRunEnded(base::TimePoint now,
                                         const workload::TargetIncarnation& target,
                                         const workload::TaskRef& task,
                                         base::TimePoint since) const;
  // former_runs.cc
  /// Takes over what the replicated state knows of a lease for a former incarnation.
  void InheritLease(base::TimePoint now, dispatch::TargetView& view) const;
  /// When no run of a target can go on any more; nothing while its runs are to be kept.
  [[nodiscard]] std::optional<base::TimePoint> ExpiryOf(const dispatch::TargetView& view) const;
  /// When the longest lease that may have been granted until `now` is over.
  [[nodiscard]] base::TimePoint LongestExpiry(base::TimePoint now) const;
  void OnTargetRegistered(base::TimePoint now, const workload::TargetIncarnation& incarnation);
  /// Notes the runs of earlier incarnations that the replicated state contains.
  void TrackFormerRuns(base::TimePoint now, dispatch::TargetView& view);
  void ForgetEndedFormerRuns(dispatch::TargetView& view);
  /// Notes which of them the present incarnation lists.
  static void NoteFormerRuns(dispatch::TargetView& view, base::TimePoint sent_at,
                             const dispatch::TargetLists& lists);
  /// Makes the present incarnation reject those that it may have been sent.
  void StopFormerRuns(base::TimePoint now, dispatch::TargetView& view);
  void OnFormerRunStopped(base::TimePoint now, dispatch::TargetView& view,
                          const workload::TaskRef& task, std::uint32_t run);
  [[nodiscard]] bool HasFormerRunEnded(base::TimePoint now,
                                       const workload::TargetIncarnation& target,
                                       const workload::TaskRef& task) const;
  /// Queues the end of a run that its target hasn't listed; a repeated call has no effect.
  void Conclude(const workload::TaskRef& task, std::uint32_t run,
                const workload::TargetIncarnation& target, EndEvidence evidence);
  std::vector<workload::DueOccurrence> DueOccurrences(std::int64_t time_of_day_ms) const;
  void ProposeChanges(base::TimePoint now);
  void LogBacklog(base::TimePoint now);
  /// Notes the steps of an occurrence whose tasks may start.
  void NoteReadySteps(base::TimePoint now, const workload::JobId& job, std::uint32_t occurrence);
  void NoteStarts(base::TimePoint now, const workload::RunChanges& changes);

  const workload::WorkloadState& state;
  TargetCalls& calls;
  LeaderContext& context;
  RunManagerSettings settings;
  bool leading = false;
  TargetFences fences;
  StartHistory start_history;
  OutstandingStarts outstanding_starts;
  /// Starts that are to be committed again, see NoteUnanswered.
  std::vector<workload::Start> unanswered_starts;
  /// Incremented per term; responses to requests of an earlier term are ignored.
  std::uint64_t generation = 0;
  dispatch::TargetTracker targets;
  dispatch::Planner planner;
  /// Incarnations whose record was removed, and when that was noticed.
  std::map<workload::TargetIncarnation, base::TimePoint> departed;
  struct Departure {
    /// The target is removed no later than this.
    base::TimePoint retire_at;
    /// The same call may be made again.
    std::vector<OnAnnounced> calls;
  };
  /// Targets that are about to end while their runs are being stopped.
  std::map<workload::TargetIncarnation, Departure> departures;
  std::vector<workload::End> ends;
  /// Runs passed to Conclude() whose ends aren't committed yet.
  std::set<std::pair<workload::TaskRef, std::uint32_t>> concluded;
  struct Orphan {
    base::TimePoint stop_sent_at;
    base::TimePoint listed_at;
  };
  /// Runs that a target lists but the replicated state doesn't contain, until their ends are
  /// committed or their leases are over.
  std::map<std::pair<workload::TaskRef, std::uint32_t>, Orphan> orphans;
  /// Committed best-effort runs that their targets haven't confirmed.
  std::set<std::pair<workload::TaskRef, std::uint32_t>> unconfirmed_starts;
  bool proposal_in_flight = false;
  /// Targets at which something may be due since the last Advance.
  std::set<std::string> changed_targets;
  /// The replicated state has changed since the last plan, or some time has passed. Until then
  /// another plan would find the same.
  bool plan_due = true;
  std::uint64_t target_checks = 0;
  RunStatistics statistics;
  base::TimePoint next_migration_at;
  base::TimePoint next_backlog_log_at;
  base::TimePoint next_held_back_log_at;
};

}  // namespace mangoroad::controller
