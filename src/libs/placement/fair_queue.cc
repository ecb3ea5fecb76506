#include "placement/fair_queue.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

namespace mangoroad::placement::internal {
namespace {

using base::TimePoint;

// Lower limit of run times in response ratios, so that jobs with unknown ones aren't always first.
constexpr double kMinRunTimeS = 1;

// Assumed quota of a team without one, for its quota utilization.
constexpr double kNoQuotaMillicores = 1000;

double Seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

double RunTimeOf(const PendingJob& job) { return std::max(kMinRunTimeS, job.run_time_s); }

// Class of amounts within a factor of 2 of each other.
int SizeClass(std::int64_t amount) {
  return std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(0, amount)));
}

Resources ElementwiseMin(const Resources& a, const Resources& b) {
  return {std::min(a.millicores, b.millicores), std::min(a.memory_mib, b.memory_mib),
          std::min(a.accelerators, b.accelerators)};
}

// Jobs of a lane that are examined when its head can't fit; a later one may need less memory.
constexpr int kMaxLaneLookahead = 4;

// Blocked and exhausted rows and teams are tried again after this time even without a new epoch,
// since waiting times and measurements change what may be placed.
constexpr base::Duration kRetryInterval = std::chrono::seconds(1);
constexpr base::Duration kRateLimitRetryInterval = std::chrono::milliseconds(10);

}  // namespace

TeamNumber FairQueue::TeamNumberOf(std::string_view name) {
  const auto next = static_cast<TeamNumber>(this->teams.size());
  const auto [number, added] = this->team_numbers.try_emplace(std::string(name), next);
  if (added) this->teams.push_back({.name = std::string(name)});
  return number->second;
}

RowNumber FairQueue::NumberOf(std::string_view name) {
  const auto next = static_cast<RowNumber>(this->rows.size());
  const auto [number, added] = this->row_numbers.try_emplace(std::string(name), next);
  if (added) {
    const TeamNumber team = this->TeamNumberOf("");
    this->rows.emplace_back();
    this->rows.back().spec.name = name;
    this->rows.back().team = team;
    this->teams.at(team).rows.push_back(number->second);
  }
  return number->second;
}

std::vector<PendingJob> FairQueue::TakeAll(RowQueue& row) {
  std::vector<PendingJob> taken;
  for (const auto& [key, lane] : row.lanes) {
    for (const WaitingJob& job : lane.jobs) taken.push_back(job.request);
  }
  for (const PendingJob& job : taken) this->Remove(job.job);
  return taken;
}

std::vector<PendingJob> FairQueue::SetRows(const std::vector<RowSpec>& row_specs,
                                           const std::vector<TeamSpec>& team_specs) {
  for (RowQueue& row : this->rows) row.in_table = false;
  for (TeamQueue& team : this->teams) team.quota_millicores = 0;
  for (const TeamSpec& spec : team_specs) {
    this->teams.at(this->TeamNumberOf(spec.name)).quota_millicores = spec.quota_millicores;
  }
  for (const RowSpec& spec : row_specs) {
    RowQueue& row = this->rows.at(this->NumberOf(spec.name));
    row.in_table = true;
    row.spec = spec;
    row.spec.weight = std::max(1U, spec.weight);
    row.team = this->TeamNumberOf(spec.team);
  }
  for (TeamQueue& team : this->teams) {
    team.rows.clear();
    team.reserved = 0;
    team.waiting = 0;
  }
  // Rows that are no longer in the table keep their team, so that their running tasks still count.
  for (RowNumber number = 0; number < this->rows.size(); ++number) {
    TeamQueue& team = this->teams.at(this->rows.at(number).team);
    team.rows.push_back(number);
    team.waiting += this->rows.at(number).waiting;
    team.reserved += this->rows.at(number).reserved;
  }
  std::vector<PendingJob> orphaned;
  for (RowQueue& row : this->rows) {
    if (row.in_table) continue;
    const std::vector<PendingJob> taken = this->TakeAll(row);
    orphaned.insert(orphaned.end(), taken.begin(), taken.end());
  }
  return orphaned;
}

std::optional<RowNumber> FairQueue::FindRow(std::string_view name) const {
  const auto number = this->row_numbers.find(std::string(name));
  if (number == this->row_numbers.end() || !this->rows.at(number->second).in_table) {
    return std::nullopt;
  }
  return number->second;
}

void FairQueue::Push(TimePoint now, const PendingJob& job, RowNumber number) {
  RowQueue& row = this->rows.at(number);
  TeamQueue& team = this->teams.at(row.team);
  if (row.waiting == 0) {
    // A row that was idle gets no credit for the time without work.
    double least = std::numeric_limits<double>::infinity();
    for (const RowNumber other : team.rows) {
      if (this->rows.at(other).waiting > 0) least = std::min(least, this->rows.at(other).pass);
    }
    if (std::isfinite(least)) row.pass = std::max(row.pass, least);
  }
  const LaneKey key{job.urgent, static_cast<int>(std::log2(RunTimeOf(job))),
                    SizeClass(job.reservation.millicores), job.reservation.accelerators};
  Lane& lane = row.lanes[key];
  lane.min_need =
      lane.jobs.empty() ? job.reservation : ElementwiseMin(lane.min_need, job.reservation);
  row.min_need = row.waiting == 0 ? job.reservation : ElementwiseMin(row.min_need, job.reservation);
  // Evicted jobs go to the front of their lane, since they have waited before.
  const auto position = job.evictions > 0 ? lane.jobs.begin() : lane.jobs.end();
  const TimePoint since = lane.jobs.empty() || job.evictions == 0
                              ? now
                              : std::min(now, lane.jobs.front().waiting_since);
  const auto inserted = lane.jobs.insert(position, {job, number, since});
  this->job_positions.insert_or_assign(job.job, JobPosition{number, key, inserted});
  ++row.waiting;
  ++team.waiting;
  row.exhausted = {};
  team.exhausted = {};
  if (job.urgent) {
    ++row.urgent_waiting;
    ++this->urgent_waiting;
  }
}

std::optional<WaitingJob> FairQueue::Remove(JobId job) {
  const auto entry = this->job_positions.find(job);
  if (entry == this->job_positions.end()) return std::nullopt;
  RowQueue& row = this->rows.at(entry->second.row);
  const auto lane = row.lanes.find(entry->second.lane);
  WaitingJob removed = std::move(*entry->second.job);
  lane->second.jobs.erase(entry->second.job);
  if (lane->second.jobs.empty()) row.lanes.erase(lane);
  this->job_positions.erase(entry);
  --row.waiting;
  --this->teams.at(row.team).waiting;
  if (removed.request.urgent) {
    --row.urgent_waiting;
    --this->urgent_waiting;
  }
  return removed;
}

WaitingJob* FairQueue::Find(JobId job) {
  const auto entry = this->job_positions.find(job);
  return entry == this->job_positions.end() ? nullptr : &*entry->second.job;
}

const WaitingJob* FairQueue::Find(JobId job) const {
  const auto entry = this->job_positions.find(job);
  return entry == this->job_positions.end() ? nullptr : &*entry->second.job;
}

bool FairQueue::MayStart(TimePoint now, RowQueue& row) {
  if (now < row.blocked_until) return false;
  if (row.spec.limit_inflight > 0 && row.inflight >= row.spec.limit_inflight) return false;
  if (row.spec.limit_rate <= 0) return true;
  const double most = std::max(1.0, row.spec.limit_rate);
  row.rate_tokens =
      std::min(most, row.rate_tokens + row.spec.limit_rate * Seconds(now - row.rate_updated));
  row.rate_updated = now;
  return row.rate_tokens >= 1;
}

FairQueue::Choice FairQueue::BestJob(TimePoint now, std::uint64_t epoch, RowNumber number,
                                     const MayFit& may_fit) const {
  Choice best;
  const RowQueue& row = this->rows.at(number);
  if (!may_fit(number, row.min_need)) return best;
  for (const auto& [key, lane] : row.lanes) {
    if (std::get<0>(key) || lane.IsBlocked(now, epoch)) continue;
    const WaitingJob& head = lane.jobs.front();
    const double ratio = 1 + Seconds(now - head.waiting_since) / RunTimeOf(head.request);
    if (best.job != nullptr && ratio <= best.ratio) continue;
    if (!may_fit(number, lane.min_need)) continue;
    int examined = 0;
    for (const WaitingJob& job : lane.jobs) {
      if (may_fit(number, job.request.reservation)) {
        best = {&job, ratio};
        break;
      }
      if (++examined == kMaxLaneLookahead) break;
    }
  }
  return best;
}

std::optional<JobId> FairQueue::NextUrgent(TimePoint now, std::uint64_t epoch) {
  const WaitingJob* oldest = nullptr;
  for (RowQueue& row : this->rows) {
    if (row.urgent_waiting == 0 || !MayStart(now, row)) continue;
    for (auto& [key, lane] : row.lanes) {
      if (!std::get<0>(key) || lane.IsBlocked(now, epoch)) continue;
      const WaitingJob& head = lane.jobs.front();
      if (oldest == nullptr || head.waiting_since < oldest->waiting_since) oldest = &head;
    }
  }
  if (oldest == nullptr) return std::nullopt;
  return oldest->request.job;
}

std::optional<JobId> FairQueue::NextOfTeam(TimePoint now, std::uint64_t epoch, TeamQueue& team,
                                           const MayFit& may_fit) {
  const WaitingJob* chosen = nullptr;
  double least = 0;
  TimePoint retry_at = now + kRetryInterval;
  for (const RowNumber number : team.rows) {
    RowQueue& row = this->rows.at(number);
    if (row.waiting == row.urgent_waiting || row.exhausted.AppliesAt(now, epoch)) continue;
    if (chosen != nullptr && row.pass >= least) continue;
    if (!MayStart(now, row)) {
      retry_at = now + kRateLimitRetryInterval;
      continue;
    }
    const Choice choice = this->BestJob(now, epoch, number, may_fit);
    if (choice.job == nullptr) {
      row.exhausted = {epoch, now + kRetryInterval};
      continue;
    }
    chosen = choice.job;
    least = row.pass;
  }
  if (chosen == nullptr) {
    team.exhausted = {epoch, retry_at};
    return std::nullopt;
  }
  return chosen->request.job;
}

std::optional<JobId> FairQueue::Next(TimePoint now, std::uint64_t epoch, const MayFit& may_fit) {
  if (this->urgent_waiting > 0) {
    if (const auto urgent = this->NextUrgent(now, epoch)) return urgent;
  }
  // A heap instead of a sorted list, since most often the first team has a job to try.
  this->order.clear();
  for (TeamNumber number = 0; number < this->teams.size(); ++number) {
    const TeamQueue& team = this->teams.at(number);
    if (team.waiting == 0 || team.exhausted.AppliesAt(now, epoch)) continue;
    this->order.emplace_back(this->QuotaUtilization(number), number);
  }
  std::ranges::make_heap(this->order, std::greater<>());
  while (!this->order.empty()) {
    std::ranges::pop_heap(this->order, std::greater<>());
    const TeamNumber number = this->order.back().second;
    this->order.pop_back();
    if (const auto job = this->NextOfTeam(now, epoch, this->teams.at(number), may_fit)) return job;
  }
  return std::nullopt;
}

std::vector<JobId> FairQueue::HeadsToReview(TimePoint now, std::size_t max_rows) {
  std::vector<JobId> heads;
  std::size_t reviewed = 0;
  for (std::size_t step = 0; step < this->rows.size() && reviewed < max_rows; ++step) {
    this->review_cursor = (this->review_cursor + 1) % this->rows.size();
    RowQueue& row = this->rows.at(this->review_cursor);
    if (row.waiting == row.urgent_waiting || now - row.reviewed < kRetryInterval) continue;
    if (!MayStart(now, row)) continue;
    ++reviewed;
    row.reviewed = now;
    for (const auto& [key, lane] : row.lanes) {
      if (!std::get<0>(key)) heads.push_back(lane.jobs.front().request.job);
    }
  }
  return heads;
}

void FairQueue::Block(JobId job, std::uint64_t epoch, TimePoint until) {
  const auto entry = this->job_positions.find(job);
  if (entry == this->job_positions.end()) return;
  Lane& lane = this->rows.at(entry->second.row).lanes.at(entry->second.lane);
  lane.blocked_epoch = epoch;
  lane.blocked_until = until;
}

void FairQueue::BlockRow(RowNumber row, TimePoint until) {
  this->rows.at(row).blocked_until = until;
}

void FairQueue::OnReserved(RowNumber number, const PendingJob& job, bool count_start) {
  RowQueue& row = this->rows.at(number);
  ++row.inflight;
  row.reserved += job.reservation.millicores;
  this->teams.at(row.team).reserved += job.reservation.millicores;
  if (!count_start) return;
  row.rate_tokens -= 1;
  row.pass += static_cast<double>(job.reservation.millicores) * RunTimeOf(job) / row.spec.weight;
}

void FairQueue::OnReleased(RowNumber number, const PendingJob& job) {
  RowQueue& row = this->rows.at(number);
  --row.inflight;
  row.reserved -= job.reservation.millicores;
  this->teams.at(row.team).reserved -= job.reservation.millicores;
}

double FairQueue::QuotaUtilization(TeamNumber number) const {
  const TeamQueue& team = this->teams.at(number);
  const double quota =
      team.quota_millicores > 0 ? static_cast<double>(team.quota_millicores) : kNoQuotaMillicores;
  return static_cast<double>(team.reserved) / quota;
}

}  // namespace mangoroad::placement::internal
