#include "controller/run_statistics.h"

#include <algorithm>

#include "log/log.h"

namespace mangoroad::controller {
namespace {

constexpr base::Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

TaskKind KindOf(const workload::StepSpec& spec) {
  if (spec.long_running) return TaskKind::kLongRunning;
  return spec.best_effort ? TaskKind::kBestEffort : TaskKind::kShort;
}

void DelaySum::Add(base::Duration delay) {
  this->count += 1;
  this->total += delay;
  this->max = std::max(this->max, delay);
}

base::Duration DelaySum::Mean() const {
  return this->count == 0 ? base::Duration{}
                          : this->total / static_cast<base::Duration::rep>(this->count);
}

void RunStatistics::OnReady(base::TimePoint now, const workload::StepRef& step) {
  this->ready_since.emplace(step, now);
}

void RunStatistics::OnStartCommitted(base::TimePoint now, const workload::StepRef& step,
                                     TaskKind kind) {
  const auto since = this->ready_since.find(step);
  if (since == this->ready_since.end()) return;
  this->delays[static_cast<std::size_t>(kind)].first_start.Add(now - since->second);
  this->ready_since.erase(since);
}

void RunStatistics::OnStartConfirmed(base::TimePoint now, base::TimePoint committed_at,
                                     TaskKind kind) {
  // A run adopted from an earlier leader was committed at an unknown time.
  if (committed_at == base::TimePoint{}) return;
  this->delays[static_cast<std::size_t>(kind)].confirmation.Add(now - committed_at);
}

void RunStatistics::OnLeaseRenewed(base::Duration left) {
  this->renewals += 1;
  this->least_left = std::min(this->least_left, left);
}

void RunStatistics::LogStarts() const {
  for (const auto& [kind, name] : kTaskKindNames) {
    const KindDelays& sums = this->delays[static_cast<std::size_t>(kind)];
    if (sums.first_start.count == 0 && sums.confirmation.count == 0) continue;
    log::Info(log::Category::kJobs, "start delays",
              {{"kind", name},
               {"steps", sums.first_start.count},
               {"mean_ready_to_commit_ms", base::ToMilliseconds(sums.first_start.Mean())},
               {"max_ready_to_commit_ms", base::ToMilliseconds(sums.first_start.max)},
               {"starts", sums.confirmation.count},
               {"mean_commit_to_confirmed_ms", base::ToMilliseconds(sums.confirmation.Mean())},
               {"max_commit_to_confirmed_ms", base::ToMilliseconds(sums.confirmation.max)}});
  }
}

void RunStatistics::LogEnds() const {
  const auto of = [this](workload::RunEnd how) {
    return this->ends[static_cast<std::size_t>(how)];
  };
  using workload::RunEnd;
  log::Info(
      log::Category::kJobs, "run ends",
      {{"done", of(RunEnd::kDone)},
       {"failed", of(RunEnd::kFailed)},
       {"stopped", of(RunEnd::kStopped)},
       {"lapsed", of(RunEnd::kLeaseExpired)},
       {"lost", of(RunEnd::kLost)},
       {"refused", of(RunEnd::kRefused)},
       {"renewals", this->renewals},
       {"least_lease_left_ms", this->renewals == 0 ? 0 : base::ToMilliseconds(this->least_left)}});
}

void RunStatistics::LogIfDue(base::TimePoint now, const std::set<workload::StepRef>& ready) {
  if (now < this->next_log_at) return;
  this->LogStarts();
  this->LogEnds();
  // Steps of cancelled and failed jobs never start.
  std::erase_if(this->ready_since, [&](const auto& entry) { return !ready.contains(entry.first); });
  this->delays = {};
  this->ends = {};
  this->renewals = 0;
  this->least_left = base::Duration::max();
  this->next_log_at = now + kLogInterval;
}

}  // namespace mangoroad::controller
