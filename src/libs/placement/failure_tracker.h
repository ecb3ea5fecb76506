// Tells targets that fail everything from jobs and rows that fail everywhere.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "placement/fleet.h"

namespace mangoroad::placement::internal {

struct FailureSettings {
  /// Distinct jobs that fail on a target, with no success between, before it is suspended.
  std::size_t target_jobs = 3;
  /// Distinct targets on which a row fails, with no success between, before it is at fault.
  std::size_t row_targets = 3;
  base::Duration target_backoff = std::chrono::seconds(30);
  base::Duration row_backoff = std::chrono::seconds(10);
  base::Duration job_backoff = std::chrono::seconds(5);
  /// Backoffs double up to this.
  base::Duration max_backoff = std::chrono::minutes(30);
  /// Largest part of the targets that is suspended at a time.
  double max_suspended = 0.25;
};

/// Backoffs of targets, rows and jobs. What is suspended is tried again with one task at a time.
class FailureTracker {
 public:
  explicit FailureTracker(FailureSettings failure_settings = {}) : settings(failure_settings) {}

  /// An attempt failed. `known_targets` bounds the number of suspended ones.
  void OnFailure(base::TimePoint now, TargetNumber target, RowNumber row, JobId job,
                 std::size_t known_targets);
  /// A start was refused by the target; that is no fault of the job or its row.
  void OnRefusal(base::TimePoint now, TargetNumber target, JobId job, std::size_t known_targets);
  void OnSuccess(TargetNumber target, RowNumber row, JobId job);
  void Forget(JobId job) { this->jobs.erase(job); }

  /// A task was started; a target or row on probation gets no other until its end or a backoff.
  void OnStart(base::TimePoint now, TargetNumber target, RowNumber row);

  /// Until when the target, row or job gets no starts, or nothing.
  std::optional<base::TimePoint> TargetUntil(TargetNumber target) const;
  std::optional<base::TimePoint> RowUntil(RowNumber row) const;
  std::optional<base::TimePoint> JobUntil(JobId job) const;

  /// Targets whose suspension has ended by now, for a probing start.
  std::vector<TargetNumber> TakeReleased(base::TimePoint now);

 private:
  struct TargetRecord {
    std::set<JobId> jobs{};
    std::uint32_t level = 0;
    std::optional<base::TimePoint> until{};
  };
  struct RowRecord {
    std::set<TargetNumber> targets{};
    std::uint32_t level = 0;
    std::optional<base::TimePoint> until{};
  };
  struct JobRecord {
    std::uint32_t failures = 0;
    base::TimePoint until{};
  };

  base::Duration Backoff(base::Duration first, std::uint32_t level) const;
  bool IsAtFault(RowNumber row) const;
  void BlameTarget(base::TimePoint now, TargetNumber target, JobId job, std::size_t known_targets);

  FailureSettings settings;
  std::unordered_map<TargetNumber, TargetRecord> targets;
  std::unordered_map<RowNumber, RowRecord> rows;
  std::unordered_map<JobId, JobRecord> jobs;
  std::set<TargetNumber> suspended;
};

}  // namespace mangoroad::placement::internal
