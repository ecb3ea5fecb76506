// Inputs and decisions of the scheduler.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/job.h"
#include "jobs/task_messages.h"

namespace mangoroad::placement {

using jobs::JobId;
using jobs::Resources;
using jobs::Token;

/// How the tasks of a row are distributed over targets.
enum class StrategyKind : std::uint8_t {
  /// Prefers the emptiest targets, and racks with few tasks of the row.
  kSpread,
  /// Prefers the fullest targets that fit, to keep other targets free for large tasks.
  kPack,
};

/// A kind of work that operators declare in the table.
struct RowSpec {
  std::string name{};
  std::string team{};
  /// Weight of the row's share within its team, 1 to 1,000.
  std::uint32_t weight = 1;
  /// Failure domains where the row's tasks may run, preferred ones first; empty for any.
  std::vector<std::string> failure_domains{};
  /// Limit of concurrent tasks; 0 for no limit.
  std::uint32_t limit_inflight = 0;
  /// Limit of starts per second; 0 for no limit.
  double limit_rate = 0;
  bool urgent = false;
  StrategyKind strategy = StrategyKind::kPack;
};

/// A team's quota of reserved processors, in thousandths of a core; 0 for none.
struct TeamSpec {
  std::string name{};
  std::int64_t quota_millicores = 0;
};

struct TargetSpec {
  std::string name{};
  std::uint64_t incarnation = 1;
  std::string failure_domain{};
  std::string rack{};
  Resources capacity{};
  /// Reserved for live services.
  Resources service_reserve{};
  /// Rows whose tasks the target accepts; empty for all.
  std::vector<std::string> accepted_rows{};
  /// False while the target drains or leaves.
  bool accepts_starts = true;
};

/// A job that waits for its next attempt to start.
struct PendingJob {
  JobId job = 0;
  std::string row{};
  /// What the attempt reserves, see interference::UsageModel::ReserveFor().
  Resources reservation{};
  /// Expected run time in seconds; 0 when unknown.
  double run_time_s = 0;
  bool checkpointable = false;
  bool urgent = false;
  /// Number of the next attempt.
  std::uint32_t attempt = 1;
  /// Evictions so far.
  std::uint32_t evictions = 0;
};

/// Progress of a running task, as its target reports it.
struct TaskProgress {
  /// Finished fraction of the work, 0 to 1.
  double progress = 0;
  /// Number of the last durable checkpoint.
  std::uint64_t checkpoint = 0;
};

enum class TaskEnd : std::uint8_t {
  kSucceeded,
  /// Ended with an exit code other than 0.
  kFailed,
  /// The target refused the start or couldn't execute it.
  kRefused,
  /// Stopped at the scheduler's request.
  kEvicted,
  /// The target or its lease was lost.
  kLost,
  kCancelled,
};

/// An attempt to be logged and started. Its resources are reserved from this decision on.
struct Start {
  JobId job = 0;
  std::uint32_t attempt = 0;
  std::string target{};
  std::uint64_t incarnation = 0;
  Resources reserved{};
};

/// A request to act on a running task, with a reason for operators.
struct ActionRequest {
  JobId job = 0;
  Token token = 0;
  jobs::TaskAction action = jobs::TaskAction::kStop;
  std::string reason{};
};

struct UnplaceableJob {
  JobId job = 0;
  std::string reason{};
};

struct Decisions {
  std::vector<Start> starts{};
  std::vector<ActionRequest> action_requests{};
  /// Jobs to be logged as unplaceable. They wait outside the queue until a target fits.
  std::vector<UnplaceableJob> unplaceable{};
  /// Unplaceable jobs that now fit a known target. They are queued again; the change is to be
  /// logged.
  std::vector<JobId> reconsidered{};
};

struct SchedulerSettings {
  /// Targets compared for one start.
  std::size_t candidates = 16;
  /// A job that fits no known target is reported as unplaceable after this time. The delay gives
  /// targets time to announce themselves, for example after an election.
  base::Duration unplaceable_after = std::chrono::seconds(10);
  /// Tasks that are preempted for an urgent job are throttled at once, and checkpointed and stopped
  /// after these times. With reports every 0.5 s, 3 s leave 2.8 s for the stop, its report and the
  /// start.
  base::Duration urgent_checkpoint_after = std::chrono::milliseconds(200);
  base::Duration urgent_stop_after = std::chrono::seconds(3);
  /// If the preempted tasks haven't ended by then, a second target is cleared as well.
  base::Duration urgent_second_plan_after = std::chrono::milliseconds(4300);
  /// Waiting time of a job of a team below its quota before borrowed capacity is reclaimed.
  base::Duration reclaim_after = std::chrono::seconds(2);
  /// Time to write a checkpoint before a task is stopped for reclaim.
  base::Duration reclaim_stop_after = std::chrono::seconds(30);
  /// Waiting time of a large job before a target is reserved for it and drained.
  base::Duration target_reservation_delay = std::chrono::seconds(60);
  /// Largest fraction of targets that are reserved for such jobs; at least one target.
  double max_reserved_target_share = 0.05;
  /// Largest fraction of targets that are cleared for reclaim at a time; at least one target.
  double max_reclaiming_share = 0.02;
  /// Targets compared when tasks have to be preempted.
  std::size_t eviction_candidates = 64;
  /// A job that was evicted this often is preempted only for urgent work.
  std::uint32_t max_evictions = 3;
  /// Tasks that run for less time are preempted only for urgent work, so that what was just placed
  /// isn't evicted.
  base::Duration min_run_time = std::chrono::seconds(15);
  /// Tasks with this progress, or with less than this time remaining, aren't evicted.
  double nearly_finished_progress = 0.9;
  double nearly_finished_remaining_s = 10;
};

}  // namespace mangoroad::placement
