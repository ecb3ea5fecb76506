// Replicated state of jobs: a deterministic state machine driven by log entries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "jobs/commands.h"
#include "jobs/job.h"

namespace mangoroad::jobs {

enum class JobDecodeErrorKind : std::uint8_t { kUnknownVersion, kMalformed };
using JobDecodeError = base::BasicError<JobDecodeErrorKind>;

/// Retention limits. Must be equal on all replicas, since they determine which records are removed.
struct JobStoreLimits {
  /// Records of terminal jobs kept for listing; the oldest are removed first.
  std::size_t terminal_jobs = 100'000;
  /// Idempotency keys kept after the records of their jobs were removed: two days at 220,000 jobs a
  /// day.
  std::size_t terminal_keys = 440'000;
};

/// Selects jobs for a listing; an empty field doesn't restrict it.
struct JobFilter {
  std::optional<JobState> state{};
  std::string row{};
  /// Only jobs with a larger id.
  JobId after = 0;
  /// Maximum number of jobs returned.
  std::size_t limit = 100;
};

/// Job that an idempotency key refers to. Kept longer than the job's record.
struct IdempotencyRecord {
  JobId job = 0;
  /// Digest of the submitted content; 0 if the key was cancelled before any submission.
  std::uint64_t digest = 0;
  /// State of the job when its record was removed.
  JobState final_state = JobState::kQueued;

  bool operator==(const IdempotencyRecord&) const = default;
};

/// All jobs. Uses no clock and no random numbers, so that replicas which apply the same log have
/// equal state.
class JobStore {
 public:
  explicit JobStore(JobStoreLimits limits = {});
  ~JobStore();
  JobStore(JobStore&&) noexcept;
  JobStore& operator=(JobStore&&) noexcept;
  JobStore(const JobStore&) = delete;
  JobStore& operator=(const JobStore&) = delete;

  /// Applies an encoded Command committed at `index` and returns the encoded results, one for each
  /// change. Bytes that can't be decoded change nothing and give a single `kMalformed` result.
  std::string Apply(std::uint64_t index, std::string_view bytes);

  /// Same as Apply() for a decoded command.
  std::vector<ChangeResult> ApplyCommand(std::uint64_t index, const Command& command);

  /// Encodes the whole state; equal states give equal bytes.
  std::string Snapshot() const;

  /// Replaces the state with that of a snapshot. On an error the state is unchanged.
  base::Result<base::Done, JobDecodeError> Restore(std::string_view bytes);

  /// The job, or null if it is unknown or its record was removed. Valid until the next change.
  const Job* Find(JobId id) const;
  /// Record of a team's idempotency key, or null.
  const IdempotencyRecord* FindKey(std::string_view team, std::string_view key) const;

  /// Selected jobs in order of their ids. The pointers are valid until the next change.
  std::vector<const Job*> List(const JobFilter& filter) const;
  /// Calls `visit` for each job that isn't terminal, ordered by state, then by id.
  void ForEachActive(const std::function<void(const Job&)>& visit) const;

  /// Number of jobs in a state; of terminal jobs, only those whose record is kept.
  std::size_t CountOf(JobState state) const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::jobs
