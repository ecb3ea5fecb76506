// Commands of the replicated log that change jobs, and their results.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jobs/job.h"

namespace mangoroad::jobs {

/// Creates a job, or returns the existing one with the same team and idempotency key.
struct SubmitJob {
  JobSpec spec{};
};

/// Cancels a job. A running task is stopped first.
struct CancelJob {
  JobId job = 0;
};

/// Cancels by idempotency key. If the key is unknown, records a cancelled job, which a later
/// submission with this key returns.
struct CancelKey {
  std::string team{};
  std::string key{};
};

/// Starts attempt number `attempt` on a target. The log index of the command becomes its fencing
/// token.
struct JobStarted {
  JobId job = 0;
  std::uint32_t attempt = 0;
  std::string target{};
  std::uint64_t incarnation = 0;
  Resources reserved{};
};

/// The target reports the task as running.
struct JobRunning {
  JobId job = 0;
  Token token = 0;
};

/// The leader requested a checkpoint before an eviction.
struct CheckpointRequested {
  JobId job = 0;
  Token token = 0;
};

/// The leader requested the task to stop.
struct StopRequested {
  JobId job = 0;
  Token token = 0;
};

/// A checkpoint is durable. Checkpoint numbers of a job increase.
struct Checkpointed {
  JobId job = 0;
  Token token = 0;
  std::uint64_t number = 0;
};

/// Why a lease ended without a report that the task finished.
enum class LeaseEndReason : std::uint8_t {
  kExpired,
  kStopConfirmed,
  kNewIncarnation,
  kTargetLost,
};

/// The lease of an attempt ended without a report that the attempt ended.
struct LeaseEnded {
  JobId job = 0;
  Token token = 0;
  LeaseEndReason reason = LeaseEndReason::kExpired;
};

/// The target confirmed the stop. `checkpoint` is the number of the last durable checkpoint, 0 for
/// none.
struct JobEvicted {
  JobId job = 0;
  Token token = 0;
  std::uint64_t checkpoint = 0;
};

/// The target refused the start; the attempt never ran.
struct StartRefused {
  JobId job = 0;
  Token token = 0;
  std::string reason{};
};

/// The task ended by itself; exit code 0 is success.
struct JobFinished {
  JobId job = 0;
  Token token = 0;
  std::int32_t exit_code = 0;
};

/// The job doesn't fit on any known target.
struct JobUnplaceable {
  JobId job = 0;
  std::string reason{};
};

/// The set of targets changed, so an unplaceable job may fit now.
struct JobReconsidered {
  JobId job = 0;
};

/// Any change. The order of the alternatives is part of the encoding: append only.
using Change = std::variant<SubmitJob, CancelJob, CancelKey, JobStarted, JobRunning,
                            CheckpointRequested, StopRequested, Checkpointed, LeaseEnded,
                            JobEvicted, StartRefused, JobFinished, JobUnplaceable, JobReconsidered>;

/// One log entry: changes applied in order. `wall_ms` is the proposer's wall-clock time, which is
/// recorded in the jobs and decides nothing.
struct Command {
  std::int64_t wall_ms = 0;
  std::vector<Change> changes{};
};

enum class ChangeStatus : std::uint8_t {
  /// Applied.
  kDone,
  /// A job was created.
  kCreated,
  /// The idempotency key belongs to an existing job.
  kExisting,
  /// The change was applied before and has no further effect.
  kRepeated,
  /// The idempotency key was used for a job with different content.
  kKeyReused,
  /// No such job, or its record was removed.
  kUnknownJob,
  /// The fencing token isn't that of the last attempt.
  kStaleToken,
  /// The state doesn't permit the change, or the attempt number isn't the next one.
  kNotPermitted,
  /// The bytes can't be decoded as a command of a supported version, or a field is out of range.
  kMalformed,
};

std::string_view NameOf(ChangeStatus status);

/// Result of applying one change.
struct ChangeResult {
  ChangeStatus status = ChangeStatus::kDone;
  JobId job = 0;
  JobState state = JobState::kQueued;
  Token token = 0;
  std::uint32_t attempt = 0;
  std::uint64_t checkpoint = 0;
  std::string message{};

  bool operator==(const ChangeResult&) const = default;
};

}  // namespace mangoroad::jobs
