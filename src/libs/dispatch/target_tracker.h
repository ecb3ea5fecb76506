// The leader's soft state of each target during its term: last contact, leases, progress of runs
// and health. A new leader rebuilds it from the replicated workload state and the targets'
// responses.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "base/time.h"
#include "dispatch/lease_clock.h"
#include "dispatch/throttler.h"
#include "workload/commands.h"

namespace mangoroad::dispatch {

using workload::TargetIncarnation;
using workload::TaskRef;

/// One row of a target's list of running tasks.
struct RunningRow {
  TaskRef task;
  std::uint32_t run = 0;
  std::string checkpoint;
  /// Progress of a task that ends by itself, or 100 for a long-running one that is active.
  std::int32_t percent = 0;
  /// For a latency-critical task, its tail latency in ms; for others, processor use in thousandths
  /// of a core. Over about the last half second.
  std::int64_t usage = 0;
};

/// One row of a target's list of ended runs.
struct EndRow {
  std::uint64_t number = 0;
  TaskRef task;
  std::uint32_t run = 0;
  workload::RunEnd how = workload::RunEnd::kDone;
  std::string checkpoint;
};

/// Both lists of one incarnation of a target.
struct TargetLists {
  TargetMilliseconds clock = 0;
  workload::IncarnationNumber incarnation = 0;
  std::vector<RunningRow> running;
  std::vector<EndRow> ends;
  /// Rows may be missing, so a run that isn't listed may still be on the target.
  bool is_partial = false;
};

enum class StartRequestState : std::uint8_t {
  kToSend,
  kSent,
  kConfirmed,  ///< the target has confirmed that the run is or was there
};

/// A run that the workload state has assigned to a target.
struct RunView {
  std::uint32_t run = 0;
  /// The step, so that it needn't be looked up for each run on each response. A copy: the state may
  /// drop the step or be replaced by a snapshot while the run is tracked. Null when the state
  /// didn't contain the step.
  std::shared_ptr<const workload::StepSpec> spec;
  StartRequestState start_request = StartRequestState::kToSend;
  /// A request got no response and may still take effect.
  bool is_in_doubt = false;
  /// A list of the target's running tasks contained it.
  bool is_listed = false;
  base::TimePoint requested_at;
  base::TimePoint committed_at;  ///< of the start, in this term
  base::TimePoint confirmed_at;
  std::int32_t percent = 0;
  /// When `percent` last rose.
  base::TimePoint progressed_at;
  std::int64_t usage = 0;
  /// The rate that was requested last, and whether a request is in flight.
  std::int32_t rate_percent = 100;
  bool is_throttle_in_flight = false;
  std::int32_t wanted_rate_percent = 100;
  /// Since when the rate is low, see MigrationSettings.
  std::optional<base::TimePoint> throttled_since;
  /// The run is being stopped so that its task continues on another target.
  bool is_migrating = false;
  /// The run is to be stopped: its job is in a final state, or another run has completed its task.
  bool is_obsolete = false;
  /// See LatencyCriticalTask. Changes are counted in TargetView::load_changes.
  double baseline = LatencyCriticalTask::kUnknownBaseline;
  std::optional<base::TimePoint> violating_since;
  /// When a stop was sent, if any.
  std::optional<base::TimePoint> stop_sent;
};

/// A run of an earlier incarnation of a target, of which the end isn't known.
struct FormerRun {
  std::uint32_t run = 0;
  /// A start request may have reached, or may yet reach, the present incarnation.
  bool is_uncertain = false;
  std::optional<base::TimePoint> stop_sent;
  /// From then on the present incarnation rejects the run.
  std::optional<base::TimePoint> stop_confirmed;
  /// When the request was sent to which the present incarnation responded with lists without the
  /// run; nothing if the latest lists contain it.
  std::optional<base::TimePoint> absent_since;
};

struct FormerIncarnation {
  TargetIncarnation incarnation;
  /// After this time its own runs have certainly ended.
  base::TimePoint lease_expiry;
  std::map<TaskRef, FormerRun> runs;
  /// The same for runs that the next incarnation has taken for its own, if it stays silent.
  base::TimePoint longest_expiry;
};

/// State of the long polls of one target.
struct PollState {
  bool in_flight = false;
  base::TimePoint next_at;
  std::uint64_t listed = 0;        ///< highest number of an ended run seen in a list
  std::uint64_t acknowledged = 0;  ///< highest number acknowledged to the target
  /// An acknowledgement may be on its way under the present fence.
  bool is_acknowledging = false;
  /// Since when an acknowledgement waits for the responses to starts, and when the target is polled
  /// without it.
  std::optional<base::TimePoint> withheld_since;
  base::TimePoint poll_without_at;
};

/// An announcement that says otherwise than the record of its incarnation. One of them isn't the
/// target's own.
struct Contradiction {
  workload::TargetRecord announced;
  base::TimePoint noticed_at;
  /// What the target's clock showed in a response to a poll that was sent after that.
  std::optional<TargetMilliseconds> checked_clock;
  /// The target has responded to a poll that was sent at `sent_at`.
  void OnPolled(base::TimePoint sent_at, TargetMilliseconds clock) {
    if (!this->checked_clock && sent_at >= this->noticed_at) this->checked_clock = clock;
  }
  /// True for an announcement that the target has made after that response, so that it isn't late.
  [[nodiscard]] bool IsOlderThan(TargetMilliseconds clock) const {
    return this->checked_clock && clock > *this->checked_clock;
  }
};

struct TargetView {
  TargetView(TargetIncarnation target_incarnation, LeaseDurations lengths,
             base::TimePoint term_start)
      : incarnation(std::move(target_incarnation)), lease(lengths, term_start) {}

  TargetIncarnation incarnation;
  LeaseClock lease;
  /// Time of the last announcement or response of this incarnation.
  base::TimePoint last_contact;
  /// The lists were read under this term's fence, so no request of an earlier leader can take
  /// effect.
  bool is_fenced = false;
  /// Since when another incarnation, or another target, is known to respond at the address. Nothing
  /// more is sent then.
  std::optional<base::TimePoint> replaced_at;
  /// Carried by all requests. Raised for each incarnation, so that requests for a former one have
  /// no effect once it was used.
  std::uint64_t fence = 0;
  /// Consecutive requests without a response.
  int unanswered_requests = 0;
  /// Consecutive failed runs, of different jobs.
  int consecutive_failures = 0;
  base::TimePoint avoid_until;
  PollState poll;
  /// A request to this target may be due.
  bool has_pending_requests = true;
  /// Best-effort tasks run beside latency-critical ones near their SLO, or are throttled for them.
  bool is_near_slo = false;
  /// When the interference model last took the response times here into account.
  base::TimePoint observed_at;
  /// What the runs occupy that the target lists and the workload state doesn't contain. They are
  /// being stopped.
  workload::Resources orphaned;
  /// Incremented when a run's baseline has moved so far that it matters for placement, or when
  /// something that is being stopped has appeared or ended.
  std::uint64_t load_changes = 0;
  std::map<TaskRef, RunView> runs;
  std::optional<Contradiction> contradiction;
  /// Earlier incarnations under the same id with runs that may not have ended.
  std::vector<FormerIncarnation> former;
};

/// Limits that decide whether a target gets new work.
struct HealthLimits {
  /// A target without contact for this long gets no new work: two announcements of 1.5 s and slack.
  base::Duration silence_timeout = std::chrono::milliseconds(3600);
  /// Consecutive failed runs after which a target is avoided, and for how long.
  int max_consecutive_failures = 3;
  base::Duration avoid_after_failures = std::chrono::seconds(4);
  /// A target on which a run stalled is avoided for this long. Short, since the run itself may be
  /// the cause.
  base::Duration avoid_after_stall = std::chrono::seconds(2);
  /// A target that refused a run for lack of capacity or as unhealthy, or left its start unanswered
  /// for good, is avoided for this long.
  base::Duration avoid_after_refusal = std::chrono::milliseconds(400);
};

class TargetTracker {
 public:
  TargetTracker(LeaseDurations lengths, HealthLimits limits)
      : lease_durations(lengths), health(limits) {}

  /// Removes all targets at the start of a term; the interference model is kept.
  void Reset(base::TimePoint now);
  /// The view of an incarnation, created when missing. A newer incarnation replaces an older one
  /// and keeps its runs as those of a former incarnation; for an older one, the view of the newer
  /// one is returned.
  TargetView& FindOrCreate(const TargetIncarnation& incarnation);
  /// Removes the view of an incarnation.
  void Erase(const TargetIncarnation& incarnation);
  [[nodiscard]] const TargetView* Find(const std::string& id) const;
  TargetView* Find(const std::string& id);
  [[nodiscard]] std::map<std::string, TargetView>& All() { return this->views; }
  /// Kept over terms.
  [[nodiscard]] InterferenceModel& Interference() { return this->interference; }
  [[nodiscard]] const InterferenceModel& Interference() const { return this->interference; }

  void OnRunEnded(TargetView& view, workload::RunEnd how, base::TimePoint now);
  void OnRefused(TargetView& view, base::TimePoint now);
  void OnStalled(TargetView& view, base::TimePoint now);
  /// True when new work may go there.
  [[nodiscard]] bool IsUsable(const TargetView& view, base::TimePoint now) const;

 private:
  LeaseDurations lease_durations;
  HealthLimits health;
  base::TimePoint term_start;
  std::map<std::string, TargetView> views;
  InterferenceModel interference;
};

}  // namespace mangoroad::dispatch
