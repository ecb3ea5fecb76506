// What the leader believes of each target during its term: contact, leases, progress of runs and
// health. Soft state; a new leader builds it anew from the ledger and the targets' answers.
#pragma once

#include <cstdint>
#include <map>
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
  /// Progress of a task that ends, or 100 for one that lasts and is at work.
  std::int32_t percent = 0;
  /// For a task that serves, the tail of its response times in ms; for others, processor use in
  /// thousandths of a core. Over about the last half second.
  std::int64_t usage = 0;
};

/// One row of a target's list of ends.
struct EndRow {
  std::uint64_t number = 0;
  TaskRef task;
  std::uint32_t run = 0;
  workload::RunEnd how = workload::RunEnd::kDone;
  std::string checkpoint;
};

/// Both lists of one life of a target.
struct TargetLists {
  TargetMilliseconds clock = 0;
  /// 0 when the answer doesn't name it.
  workload::IncarnationNumber incarnation = 0;
  std::vector<RunningRow> running;
  std::vector<EndRow> ends;
  /// Rows may be missing, so that a run which isn't listed may be there all the same.
  bool is_partial = false;
};

enum class StartRequestState : std::uint8_t {
  kToSend,
  kSent,
  kConfirmed,  ///< the target has answered that the run is or was there
};

/// A run that the ledger has assigned to a target.
struct RunView {
  std::uint32_t run = 0;
  StartRequestState start_request = StartRequestState::kToSend;
  /// An order went without an answer and may still be carried out.
  bool is_in_doubt = false;
  base::TimePoint requested_at;
  base::TimePoint confirmed_at;
  std::int32_t percent = 0;
  /// When `percent` last rose.
  base::TimePoint progressed_at;
  std::int64_t usage = 0;
  /// The pace that was ordered last, and whether the order is on its way.
  std::int32_t rate_percent = 100;
  bool is_throttle_in_flight = false;
  std::int32_t wanted_rate_percent = 100;
  /// Since when the pace is low, see MigrationSettings.
  std::optional<base::TimePoint> throttled_since;
  /// The run is being stopped so that the task goes on elsewhere.
  bool is_migrating = false;
  /// See LatencyCriticalTask::quiet.
  double baseline = LatencyCriticalTask::kUnknownBaseline;
  std::optional<base::TimePoint> violating_since;
  /// A stop was sent, and when.
  std::optional<base::TimePoint> stop_sent;
};

/// The looks at one target.
struct PollState {
  bool in_flight = false;
  base::TimePoint next_at;
  std::uint64_t listed = 0;        ///< highest number of an end seen in a list
  std::uint64_t acknowledged = 0;  ///< highest number that the target has been told
  std::uint64_t sequence = 0;      ///< of the last announcement
};

struct TargetView {
  TargetView(TargetIncarnation target_life, LeaseDurations lengths, base::TimePoint term_start)
      : incarnation(std::move(target_life)), lease(lengths, term_start) {}

  TargetIncarnation incarnation;
  LeaseClock lease;
  /// The last announcement or answer of this life.
  base::TimePoint last_contact;
  /// The lists were read under this term's fence, so no order of an earlier leader can take effect.
  bool is_fenced = false;
  /// Unanswered orders in a row.
  int unanswered_requests = 0;
  /// Runs that failed there in a row, of different jobs.
  int consecutive_failures = 0;
  base::TimePoint avoid_until;
  PollState poll;
  /// An order to this target may be due.
  bool has_pending_requests = true;
  /// Tasks that fill run beside serving ones that are near their bound, or are slowed for them.
  bool is_near_slo = false;
  std::map<TaskRef, RunView> runs;
};

/// Limits by which a target is judged.
struct HealthLimits {
  /// A target that was silent for this long gets no new work; two announcements of 1.5 s and slack.
  base::Duration silence_timeout = std::chrono::milliseconds(3600);
  /// Runs failed in a row after which a target is avoided, and for how long.
  int max_consecutive_failures = 3;
  base::Duration avoid_after_failures = std::chrono::seconds(4);
  /// A target on which a run stood still is avoided for this long. Short, since a run may stand
  /// still by its own fault.
  base::Duration avoid_after_stall = std::chrono::seconds(2);
  /// A target that refused for want of room or health is avoided for this long.
  base::Duration avoid_after_refusal = std::chrono::milliseconds(400);
};

class TargetTracker {
 public:
  TargetTracker(LeaseDurations lengths, HealthLimits limits)
      : lease_durations(lengths), health(limits) {}

  /// Forgets everything; a new term begins.
  void Reset(base::TimePoint now);
  /// The view of a life; it is made when missing. A newer life replaces an older one.
  TargetView& FindOrCreate(const TargetIncarnation& life);
  [[nodiscard]] const TargetView* Find(const std::string& id) const;
  TargetView* Find(const std::string& id);
  [[nodiscard]] std::map<std::string, TargetView>& All() { return this->views; }
  /// Learned over terms.
  [[nodiscard]] InterferenceModel& Interference() { return this->interference; }
  [[nodiscard]] const InterferenceModel& Harms() const { return this->interference; }

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
