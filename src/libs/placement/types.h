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

/// How the tasks of a row are laid out over targets.
enum class StrategyKind : std::uint8_t {
  /// Emptiest targets and racks with the fewest tasks of the row first.
  kSpread,
  /// Fullest targets that fit first, so that large gaps stay.
  kPack,
};

/// One kind of work.
struct RowSpec {
  std::string name{};
  std::string team{};
  /// Share among the rows of a team, 1 to 1,000.
  std::uint32_t weight = 1;
  /// Failure domains where the work may run, preferred first; empty for any.
  std::vector<std::string> place{};
  /// Tasks at a time; 0 for no limit.
  std::uint32_t limit_inflight = 0;
  /// Starts a second; 0 for no limit.
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
  /// Kept free for live services.
  Resources service_reserve{};
  /// Rows that the target takes; empty for all.
  std::vector<std::string> kinds{};
  /// False while the target drains or leaves.
  bool accepts_starts = true;
};

/// A job that waits for its next attempt.
struct PendingJob {
  JobId job = 0;
  std::string row{};
  /// What the attempt reserves, see interference::UsageModel::ReserveFor().
  Resources reserve{};
  /// Expected run time in seconds; 0 when unknown.
  double run_time_s = 0;
  bool checkpointable = false;
  bool urgent = false;
  /// Number of the next attempt.
  std::uint32_t attempt = 1;
  /// Evictions so far.
  std::uint32_t evictions = 0;
};

/// A task that a new leader finds running, or that a report describes.
struct TaskProgress {
  /// Finished share of the work, 0 to 1.
  double progress = 0;
  /// Number of the last durable checkpoint.
  std::uint64_t checkpoint = 0;
};

enum class TaskEnd : std::uint8_t {
  kSucceeded,
  /// Ended with an exit code other than 0.
  kFailed,
  /// The target refused the start, or couldn't carry it out.
  kRefused,
  /// Stopped by order.
  kEvicted,
  /// The target or its lease was lost.
  kLost,
  kCancelled,
};

/// Attempt to be logged and started. Its reservation counts from this decision on.
struct Start {
  JobId job = 0;
  std::uint32_t attempt = 0;
  std::string target{};
  std::uint64_t incarnation = 0;
  Resources reserved{};
};

/// Order for a running task, with its reason in words for operators.
struct Order {
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
  std::vector<Order> orders{};
  /// Jobs to be logged as unplaceable. They wait outside the queue.
  std::vector<UnplaceableJob> unplaceable{};
  /// Unplaceable jobs that fit a known target again; they are queued and to be logged.
  std::vector<JobId> reconsidered{};
};

struct SchedulerSettings {
  /// Targets compared for one start.
  std::size_t candidates = 16;
  /// A job that fits no known target is given as unplaceable after this time, so that targets that
  /// are just announcing themselves, as after an election, aren't missed.
  base::Duration unplaceable_after = std::chrono::seconds(10);
  /// An urgent job's blockers are throttled at once and checkpointed and stopped after these times.
  /// With reports every 0.5 s, 3 s leave 2.8 s for the stop, its report and the start.
  base::Duration urgent_checkpoint_after = std::chrono::milliseconds(200);
  base::Duration urgent_stop_after = std::chrono::seconds(3);
  /// When the blockers haven't ended by then, another target is cleared as well.
  base::Duration urgent_second_plan_after = std::chrono::milliseconds(4300);
  /// A job of a team below its quota waits this long before borrowed capacity is reclaimed.
  base::Duration reclaim_after = std::chrono::seconds(2);
  /// Time for a checkpoint before a reclaimed task is stopped.
  base::Duration reclaim_stop_after = std::chrono::seconds(30);
  /// A job that waits longer gets a target to itself as soon as one drains.
  base::Duration hold_after = std::chrono::seconds(60);
  /// Targets held for such jobs, as part of all targets; at least one.
  double hold_share = 0.05;
  /// Reclaims at a time, as part of all targets; at least one.
  double reclaim_share = 0.02;
  /// Targets compared when tasks have to be evicted.
  std::size_t eviction_candidates = 64;
  /// Evictions of one job after which it is left alone, except by urgent work.
  std::uint32_t max_evictions = 3;
  /// Tasks are left alone this long after a start; prevents evicting what was just placed.
  base::Duration min_run = std::chrono::seconds(15);
  /// Tasks are left alone when this share is finished or this time remains.
  double nearly_finished = 0.9;
  double nearly_finished_s = 10;
};

}  // namespace mangoroad::placement
