// Commands of the replicated log that change jobs, and their answers.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jobs/job.h"

namespace mangoroad::jobs {

/// Creates a job, or returns the one that has the same team and key.
struct SubmitJob {
  JobSpec spec{};
};

/// Cancels a job. A running task is stopped first.
struct CancelJob {
  JobId job = 0;
};

/// Cancels by idempotency key. Before the submission it leaves a cancelled job, which the
/// submission then gets.
struct CancelKey {
  std::string team{};
  std::string key{};
};

/// Begins attempt number `attempt` on a target; the log index becomes its token.
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

/// The leader ordered a checkpoint before an eviction.
struct CheckpointRequested {
  JobId job = 0;
  Token token = 0;
};

/// The leader ordered the task to stop.
struct StopRequested {
  JobId job = 0;
  Token token = 0;
};

/// A checkpoint is durable. Numbers only grow.
struct Checkpointed {
  JobId job = 0;
  Token token = 0;
  std::uint64_t number = 0;
};

/// Why an attempt no longer runs, though it didn't finish.
enum class LeaseEndReason : std::uint8_t {
  kExpired,
  kStopConfirmed,
  kNewIncarnation,
  kTargetLost,
};

/// The lease of an attempt ended without a report of its end.
struct LeaseEnded {
  JobId job = 0;
  Token token = 0;
  LeaseEndReason reason = LeaseEndReason::kExpired;
};

/// The target confirmed the stop; `checkpoint` is the last durable number, 0 for none.
struct JobEvicted {
  JobId job = 0;
  Token token = 0;
  std::uint64_t checkpoint = 0;
};

/// The target refused the start, so the attempt never ran.
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

/// The job fits no known target.
struct JobUnplaceable {
  JobId job = 0;
  std::string reason{};
};

/// Targets changed so that the job may fit again.
struct JobReconsidered {
  JobId job = 0;
};

/// Any command. The order is part of the encoding: append only.
using Change = std::variant<SubmitJob, CancelJob, CancelKey, JobStarted, JobRunning,
                            CheckpointRequested, StopRequested, Checkpointed, LeaseEnded,
                            JobEvicted, StartRefused, JobFinished, JobUnplaceable, JobReconsidered>;

/// One log entry: commands applied in order, with the wall time at the proposer as a label.
struct Command {
  std::int64_t wall_ms = 0;
  std::vector<Change> changes{};
};

enum class ChangeStatus : std::uint8_t {
  /// Applied.
  kDone,
  /// A job was created.
  kCreated,
  /// The key names a job that existed before.
  kExisting,
  /// The same report was applied before; the answer is the same.
  kRepeated,
  /// The key was used for a job with other content.
  kKeyReused,
  /// No such job, or its record was dropped.
  kUnknownJob,
  /// The token isn't that of the last attempt.
  kStaleToken,
  /// The state doesn't permit the change, or the attempt number isn't the next one.
  kNotPermitted,
  /// The bytes are no command of a known version, or a field is out of range.
  kMalformed,
};

std::string_view NameOf(ChangeStatus status);

/// Answer to one change.
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
