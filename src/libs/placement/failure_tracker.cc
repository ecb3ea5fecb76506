#include "placement/failure_tracker.h"

#include <algorithm>

namespace mangoroad::placement::internal {

using base::Duration;
using base::TimePoint;

namespace {

// Records of jobs beyond this count are dropped once their backoff is over; most of these jobs have
// failed for good and come never again.
constexpr std::size_t kMaxJobs = 20'000;

}  // namespace

Duration FailureTracker::Backoff(Duration first, std::uint32_t level) const {
  return std::min(this->settings.max_backoff, first * (std::int64_t{1} << std::min(level, 20U)));
}

bool FailureTracker::IsRowFailing(RowNumber row) const {
  const auto record = this->rows.find(row);
  return record != this->rows.end() &&
         record->second.targets.size() >= this->settings.row_threshold;
}

void FailureTracker::RecordTargetFailure(TimePoint now, TargetNumber target, JobId job,
                                         std::size_t known_targets) {
  TargetRecord& record = this->targets[target];
  record.jobs.insert(job);
  // A failed probe suspends the target again; otherwise several distinct jobs have to fail.
  if (record.backoff_level == 0 && record.jobs.size() < this->settings.target_threshold) return;
  const auto most =
      std::max<std::size_t>(1, static_cast<std::size_t>(this->settings.max_suspended_share *
                                                        static_cast<double>(known_targets)));
  if (!this->suspended.contains(target) && this->suspended.size() >= most) return;
  record.until = now + this->Backoff(this->settings.target_backoff, record.backoff_level);
  ++record.backoff_level;
  record.jobs.clear();
  this->suspended.insert(target);
}

void FailureTracker::OnFailure(TimePoint now, TargetNumber target, RowNumber row, JobId job,
                               std::size_t known_targets) {
  if (this->jobs.size() >= kMaxJobs) {
    std::erase_if(this->jobs, [&](const auto& entry) { return entry.second.until <= now; });
  }
  JobRecord& record = this->jobs[job];
  record.until = now + this->Backoff(this->settings.job_backoff, record.failures);
  ++record.failures;
  RowRecord& row_record = this->rows[row];
  if (row_record.targets.size() < this->settings.row_threshold) row_record.targets.insert(target);
  if (this->IsRowFailing(row)) {
    row_record.until = now + this->Backoff(this->settings.row_backoff, row_record.backoff_level);
    ++row_record.backoff_level;
    return;
  }
  this->RecordTargetFailure(now, target, job, known_targets);
}

void FailureTracker::OnRefusal(TimePoint now, TargetNumber target, JobId job,
                               std::size_t known_targets) {
  this->RecordTargetFailure(now, target, job, known_targets);
}

void FailureTracker::OnSuccess(TargetNumber target, RowNumber row, JobId job) {
  this->targets.erase(target);
  this->suspended.erase(target);
  this->rows.erase(row);
  this->jobs.erase(job);
}

void FailureTracker::OnStart(TimePoint now, TargetNumber target, RowNumber row) {
  const auto target_record = this->targets.find(target);
  if (target_record != this->targets.end() && target_record->second.backoff_level > 0) {
    TargetRecord& record = target_record->second;
    record.until = now + this->Backoff(this->settings.target_backoff, record.backoff_level - 1);
    this->suspended.insert(target);
  }
  if (this->IsRowFailing(row)) {
    RowRecord& record = this->rows[row];
    record.until = now + this->Backoff(this->settings.row_backoff, record.backoff_level);
  }
}

std::optional<TimePoint> FailureTracker::TargetBackoffEnd(TargetNumber target) const {
  const auto record = this->targets.find(target);
  return record == this->targets.end() ? std::nullopt : record->second.until;
}

std::optional<TimePoint> FailureTracker::RowBackoffEnd(RowNumber row) const {
  const auto record = this->rows.find(row);
  return record == this->rows.end() ? std::nullopt : record->second.until;
}

std::optional<TimePoint> FailureTracker::JobBackoffEnd(JobId job) const {
  const auto record = this->jobs.find(job);
  if (record == this->jobs.end()) return std::nullopt;
  return record->second.until;
}

std::vector<TargetNumber> FailureTracker::TakeExpiredSuspensions(TimePoint now) {
  std::vector<TargetNumber> released;
  std::erase_if(this->suspended, [&](TargetNumber target) {
    TargetRecord& record = this->targets[target];
    if (record.until && now < *record.until) return false;
    record.until.reset();
    released.push_back(target);
    return true;
  });
  return released;
}

}  // namespace mangoroad::placement::internal
