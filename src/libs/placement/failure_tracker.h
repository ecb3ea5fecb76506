// Distinguishes faulty targets from jobs and rows that fail on every target.
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
  /// Distinct jobs that fail on a target, without a success in between, before it is suspended.
  std::size_t target_threshold = 3;
  /// Distinct targets on which a row fails, without a success in between, before the failures are
  /// attributed to the row.
  std::size_t row_threshold = 3;
  base::Duration target_backoff = std::chrono::seconds(30);
  base::Duration row_backoff = std::chrono::seconds(10);
  base::Duration job_backoff = std::chrono::seconds(5);
  /// Backoffs double up to this limit.
  base::Duration max_backoff = std::chrono::minutes(30);
  /// Largest fraction of the targets that is suspended at a time.
  double max_suspended_share = 0.25;
};

/// Exponential backoff for targets, rows and jobs. After a backoff, a target or row is probed with
/// one task at a time.
class FailureTracker {
 public:
  explicit FailureTracker(FailureSettings failure_settings = {}) : settings(failure_settings) {}

  /// An attempt failed. The number of suspended targets is limited relative to `known_targets`.
  void OnFailure(base::TimePoint now, TargetNumber target, RowNumber row, JobId job,
                 std::size_t known_targets);
  /// The target refused a start. This counts against the target only, not the job or its row.
  void OnRefusal(base::TimePoint now, TargetNumber target, JobId job, std::size_t known_targets);
  void OnSuccess(TargetNumber target, RowNumber row, JobId job);
  void RemoveJob(JobId job) { this->jobs.erase(job); }

  /// A task was started. A target or row on probation gets no other one until this task ends or
  /// another backoff has passed.
  void OnStart(base::TimePoint now, TargetNumber target, RowNumber row);

  /// End of the backoff of a target, row or job, during which it gets no starts; nothing without a
  /// backoff.
  std::optional<base::TimePoint> TargetBackoffEnd(TargetNumber target) const;
  std::optional<base::TimePoint> RowBackoffEnd(RowNumber row) const;
  std::optional<base::TimePoint> JobBackoffEnd(JobId job) const;

  /// Targets whose suspension has ended by now. They may be probed with a start.
  std::vector<TargetNumber> TakeExpiredSuspensions(base::TimePoint now);

 private:
  struct TargetRecord {
    std::set<JobId> jobs{};
    std::uint32_t backoff_level = 0;
    std::optional<base::TimePoint> until{};
  };
  struct RowRecord {
    std::set<TargetNumber> targets{};
    std::uint32_t backoff_level = 0;
    std::optional<base::TimePoint> until{};
  };
  struct JobRecord {
    std::uint32_t failures = 0;
    base::TimePoint until{};
  };

  base::Duration Backoff(base::Duration first, std::uint32_t level) const;
  bool IsRowFailing(RowNumber row) const;
  void RecordTargetFailure(base::TimePoint now, TargetNumber target, JobId job,
                           std::size_t known_targets);

  FailureSettings settings;
  std::unordered_map<TargetNumber, TargetRecord> targets;
  std::unordered_map<RowNumber, RowRecord> rows;
  std::unordered_map<JobId, JobRecord> jobs;
  std::set<TargetNumber> suspended;
};

}  // namespace mangoroad::placement::internal
