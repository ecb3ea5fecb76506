// Jobs, their states and the permitted state transitions.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mangoroad::jobs {

/// Id of a job, assigned when its submission is applied from the replicated log; never reused.
using JobId = std::uint64_t;

/// Fencing token of one attempt: the log index of its `started` command.
using Token = std::uint64_t;

/// Amounts of resources that a task reserves or a target provides.
struct Resources {
  /// Thousandths of a processor core.
  std::int64_t millicores = 0;
  /// Memory in MiB.
  std::int64_t memory_mib = 0;
  /// Whole accelerators.
  std::int64_t accelerators = 0;

  auto operator<=>(const Resources&) const = default;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  /// True if no amount exceeds that of `available`.
  bool FitsIn(const Resources& available) const;
};

enum class JobState : std::uint8_t {
  kQueued,
  kStarting,
  kRunning,
  kCheckpointing,
  kStopping,
  kEvicted,
  kSucceeded,
  kFailed,
  kCancelled,
  kUnplaceable,
};

/// Input of the job state machine.
enum class JobEvent : std::uint8_t {
  kStart,
  kRun,
  kRequestCheckpoint,
  kCheckpointTaken,
  kRequestStop,
  kEvict,
  kStartRefused,
  kRetry,
  kSucceed,
  kFail,
  kCancel,
  kStopCancelled,
  kMarkUnplaceable,
  kReconsider,
};

/// State that `event` leads to from `state`, or nothing if the transition isn't permitted.
std::optional<JobState> NextState(JobState state, JobEvent event);

/// True for `succeeded`, `failed` and `cancelled`.
bool IsTerminal(JobState state);

/// True in the states in which an attempt may be running on a target under a lease.
bool HoldsLease(JobState state);

/// Name used in the API, such as "queued".
std::string_view NameOf(JobState state);
std::string_view NameOf(JobEvent event);
std::optional<JobState> JobStateOfName(std::string_view name);

/// Content of a submission.
struct JobSpec {
  std::string row{};
  std::string team{};
  /// Idempotency key of the team, 1 to 128 printable characters, or empty for none.
  std::string key{};
  Resources declared{};
  /// Declared run time in seconds; 0 when unknown.
  std::int64_t run_time_s = 0;
  std::string command{};
  bool checkpointable = false;
  bool urgent = false;
  /// Maximum number of failed attempts that are retried; from the row.
  std::uint32_t retries = 0;
  /// Time in seconds that a task keeps running without contact to the leader; from the row's
  /// `hold_s`.
  std::int64_t hold_s = 0;

  bool operator==(const JobSpec&) const = default;
};

/// Replicated record of one job.
struct Job {
  JobId id = 0;
  JobSpec spec{};
  JobState state = JobState::kQueued;
  /// Number of the current or last attempt, starting at 1; 0 before the first.
  std::uint32_t attempt = 0;
  /// Fencing token of the current or last attempt.
  Token token = 0;
  /// Token of the last attempt whose end was applied; repeated reports of it have no effect.
  Token finished_token = 0;
  /// Target and incarnation of the current or last attempt.
  std::string target{};
  std::uint64_t incarnation = 0;
  /// Resources reserved by the current or last attempt.
  Resources reserved{};
  /// Number of the last durable checkpoint; 0 for none.
  std::uint64_t checkpoint = 0;
  std::uint32_t evictions = 0;
  std::uint32_t failures = 0;
  std::int32_t exit_code = 0;
  bool cancel_requested = false;
  /// Why the job can't be placed, its start was refused, or it failed.
  std::string reason{};
  /// Wall-clock time in milliseconds since 1970, for display only.
  std::int64_t submitted_ms = 0;
  std::int64_t changed_ms = 0;

  bool operator==(const Job&) const = default;
};

}  // namespace mangoroad::jobs
