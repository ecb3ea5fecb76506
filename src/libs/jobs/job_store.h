// The replicated part of jobs: a deterministic state machine over log entries.
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

/// Limits of the book. They must be equal on all replicas, since they decide what is dropped.
struct JobStoreLimits {
  /// Records of terminal jobs kept for listing; the oldest are dropped first.
  std::size_t terminal_jobs = 100'000;
  /// Idempotency keys of terminal jobs kept after the records: two days at 220,000 jobs a day.
  std::size_t terminal_keys = 440'000;
};

/// Selects jobs for a listing; empty fields select all.
struct JobFilter {
  std::optional<JobState> state{};
  std::string row{};
  /// Only jobs with a larger number.
  JobId after = 0;
  /// At most this many jobs.
  std::size_t limit = 100;
};

/// What a key leads to; outlives the job's record.
struct IdempotencyRecord {
  JobId job = 0;
  /// Digest of the submitted content; 0 when the key was cancelled before any submission.
  std::uint64_t digest = 0;
  /// State of the job when its record was dropped.
  JobState final_state = JobState::kQueued;

  bool operator==(const IdempotencyRecord&) const = default;
};

/// All jobs, driven by the replicated log. Uses no clock and no random numbers.
class JobStore {
 public:
  explicit JobStore(JobStoreLimits limits = {});
  ~JobStore();
  JobStore(JobStore&&) noexcept;
  JobStore& operator=(JobStore&&) noexcept;
  JobStore(const JobStore&) = delete;
  JobStore& operator=(const JobStore&) = delete;

  /// Applies an encoded Command committed at `index` and returns its encoded answers, one for each
  /// change. Bytes that can't be decoded change nothing and get one `kMalformed` answer.
  std::string Apply(std::uint64_t index, std::string_view bytes);

  /// As Apply(), for a decoded command.
  std::vector<ChangeResult> ApplyCommand(std::uint64_t index, const Command& command);

  /// The whole state; equal states give equal bytes.
  std::string Snapshot() const;

  /// Replaces the state by a snapshot. On an error the state is unchanged.
  base::Result<base::Done, JobDecodeError> Restore(std::string_view bytes);

  /// The job, or null when unknown or dropped. Valid until the next change.
  const Job* Find(JobId id) const;
  /// What the key of a team leads to, or null.
  const IdempotencyRecord* FindKey(std::string_view team, std::string_view key) const;

  /// Jobs in order of their numbers. The pointers are valid until the next change.
  std::vector<const Job*> List(const JobFilter& filter) const;
  /// Calls `visit` for each job that isn't terminal, in order of state and number.
  void ForEachActive(const std::function<void(const Job&)>& visit) const;

  /// Number of jobs in a state, terminal ones as far as kept.
  std::size_t CountOf(JobState state) const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::jobs
