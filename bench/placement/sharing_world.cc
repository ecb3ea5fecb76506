#include "sharing_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <utility>

namespace mangoroad::bench {
namespace {

using base::TimePoint;
using interference::KindId;
using interference::Neighbour;
using jobs::JobId;

// Waiting jobs; enough that each policy has a choice.
constexpr std::size_t kBacklog = 300;
// A throttled task runs at, and presses with, this part.
constexpr double kThrottled = 0.3;
constexpr int kCheckpointSeconds = 2;
const TimePoint kStart{std::chrono::seconds(1000)};

std::string KindName(KindId kind) { return fmt::format("kind{}", kind); }

struct RunningTask {
  placement::PendingJob request{};
  KindId kind = 0;
  std::size_t target = 0;
  double work_s = 0;
  double done_s = 0;
  double saved_s = 0;
  std::uint64_t checkpoint = 0;
  bool throttled = false;
  int checkpoint_in = -1;
  double slowdown = 1;
};

struct PendingWork {
  placement::PendingJob request{};
  KindId kind = 0;
  double work_s = 0;
  double saved_s = 0;
};

struct LateReport {
  TimePoint taken_at{};
  std::size_t target = 0;
  double p99_ms = 0;
  std::vector<std::pair<JobId, double>> slowdowns{};
  std::vector<std::pair<JobId, double>> progress{};
};

class World {
 public:
  World(const WorldSettings& given, PolicyMaker make_policy)
      : settings(given),
        truth(given.seed),
        random(given.seed + 1000),
        scheduler(make_policy(this->model, this->truth)),
        tasks_of(given.targets) {
    std::vector<placement::RowSpec> rows;
    for (KindId kind = 0; kind < Truth::kKinds; ++kind) {
      this->model.KindOf(KindName(kind));
      rows.push_back({.name = KindName(kind), .team = fmt::format("team{}", kind)});
    }
    this->model.KindOf("service");
    this->model.SetService("service", Truth::kBoundMs);
    this->scheduler.SetRows(kStart, rows, {});
    for (std::size_t i = 0; i < given.targets; ++i) {
      this->scheduler.OnTargetChanged(kStart, {.name = TargetName(i),
                                               .failure_domain = fmt::format("d{}", i % 3),
                                               .rack = fmt::format("r{}", i / 8),
                                               .capacity = given.capacity,
                                               .service_reserve = given.service_reserve});
    }
  }

  SharingResult Run() {
    for (this->second = 0; this->second < this->settings.seconds; ++this->second) {
      this->now = kStart + std::chrono::seconds(this->second);
      if (this->second == this->settings.seconds / 2) this->truth.Shift();
      this->Refill();
      this->Execute();
      this->Deliver();
      this->Decide();
    }
    const double measured = this->settings.seconds - this->settings.warm_up;
    std::ranges::sort(this->latencies);
    SharingResult result = this->sums;
    result.throughput /= measured;
    const auto count = static_cast<double>(this->latencies.size());
    result.p99_ms = this->latencies.at(static_cast<std::size_t>(0.99 * (count - 1)));
    result.above_bound = static_cast<double>(std::ranges::count_if(
                             this->latencies, [](double ms) { return ms > Truth::kBoundMs; })) /
                         count;
    return result;
  }

 private:
  static std::string TargetName(std::size_t target) { return fmt::format("t{}", target); }
  bool IsMeasured() const { return this->second >= this->settings.warm_up; }
  double CoresOf(const RunningTask& task) const {
    return static_cast<double>(task.request.reservation.millicores) / 1000;
  }
  double ShareOf(const RunningTask& task) const {
    const double share = static_cast<double>(task.request.reservation.millicores) /
                         static_cast<double>(this->settings.capacity.millicores);
    return task.throttled ? share * kThrottled : share;
  }

  void Refill() {
    while (this->scheduler.WaitingCount() < kBacklog) {
      PendingWork work;
      work.kind = this->random.Below(Truth::kKinds);
      work.work_s = 60 + this->random.Exponential(240);
      work.request = {.job = this->next_job++,
                      .row = KindName(work.kind),
                      .reservation = {std::int64_t{1000} * (1 + this->random.Below(4)), 2000, 0},
                      .run_time_s = work.work_s * (0.5 + this->random.Unit()),
                      .checkpointable = this->random.Chance(0.7)};
      this->scheduler.Submit(this->now, work.request);
      this->pending.emplace(work.request.job, work);
    }
  }

  // What runs beside `job` (0: beside the service) on a target.
  std::vector<Neighbour> NeighboursOf(std::size_t target, JobId job) const {
    std::vector<Neighbour> neighbours;
    for (const JobId other : this->tasks_of.at(target)) {
      if (other == job) continue;
      const RunningTask& task = this->running.at(other);
      neighbours.push_back({task.kind, this->ShareOf(task)});
    }
    return neighbours;
  }

  double LoadOf(std::size_t target) const {
    double load = 0;
    for (const JobId job : this->tasks_of.at(target)) load += this->ShareOf(this->running.at(job));
    return load;
  }

  double Noise() {
    if (this->random.Chance(0.01)) return 5;
    return 0.92 + 0.16 * this->random.Unit();
  }

  void Execute() {
    for (std::size_t target = 0; target < this->settings.targets; ++target) {
      const double load = this->LoadOf(target);
      LateReport report{.taken_at = this->now, .target = target};
      const double p99_ms =
          this->truth.QuietMs() *
          this->truth.Slowdown(Truth::kService, this->NeighboursOf(target, 0), load);
      if (this->IsMeasured()) this->latencies.push_back(p99_ms);
      report.p99_ms = p99_ms * this->Noise();
      const std::vector<JobId> present = this->tasks_of.at(target);
      for (const JobId job : present) {
        RunningTask& task = this->running.at(job);
        task.slowdown = this->truth.Slowdown(task.kind, this->NeighboursOf(target, job), load);
        if (!task.throttled) report.slowdowns.emplace_back(job, task.slowdown * this->Noise());
        this->Advance(job, task);
      }
      this->late.push_back(std::move(report));
    }
  }

  void Advance(JobId job, RunningTask& task) {
    const double done = (task.throttled ? kThrottled : 1) / task.slowdown;
    task.done_s += done;
    task.checkpoint_in = std::max(-1, task.checkpoint_in - 1);
    if (task.checkpoint_in == 0) {
      task.saved_s = task.done_s;
      this->scheduler.OnTaskProgress(this->now, job,
                                     {task.done_s / task.work_s, ++task.checkpoint});
    }
    if (task.done_s < task.work_s) return;
    if (this->IsMeasured()) {
      this->sums.throughput += task.work_s * this->CoresOf(task);
      this->sums.finished += 1;
    }
    this->Remove(job, placement::TaskEnd::kSucceeded);
  }

  void Remove(JobId job, placement::TaskEnd end) {
    const RunningTask& task = this->running.at(job);
    this->model.OnTaskEnded(this->now, TargetName(task.target), job);
    std::erase(this->tasks_of.at(task.target), job);
    this->running.erase(job);
    this->scheduler.OnTaskEnded(this->now, job, end);
  }

  // Reports arrive 1 to 3 s late.
  void Deliver() {
    const auto lag = std::chrono::seconds(1 + this->random.Below(3));
    while (!this->late.empty() && this->late.front().taken_at + lag <= this->now) {
      const LateReport report = std::move(this->late.front());
      this->late.pop_front();
      const std::string name = TargetName(report.target);
      this->model.ObserveService(report.taken_at, name, "service", report.p99_ms, 100);
      for (const auto& [job, slowdown] : report.slowdowns) {
        this->model.ObserveTask(report.taken_at, name, job, slowdown);
      }
      this->scheduler.OnServiceLatency(this->now, name, report.p99_ms / Truth::kBoundMs);
    }
  }

  void Decide() {
    const placement::Decisions decisions = this->scheduler.Schedule(this->now, 1000);
    for (const placement::ActionRequest& order : decisions.action_requests) this->Obey(order);
    for (const placement::Start& start : decisions.starts) {
      const PendingWork work = this->pending.extract(start.job).mapped();
      const auto target = static_cast<std::size_t>(std::stoul(start.target.substr(1)));
      RunningTask task{.request = work.request, .kind = work.kind, .target = target};
      task.work_s = work.work_s;
      task.done_s = work.saved_s;
      task.saved_s = work.saved_s;
      this->scheduler.OnTaskStarted(start.job, start.job);
      this->model.OnTaskStarted(this->now, start.target, start.job, KindName(work.kind),
                                this->ShareOf(task));
      this->tasks_of.at(target).push_back(start.job);
      this->running.emplace(start.job, std::move(task));
    }
  }

  void Obey(const placement::ActionRequest& order) {
    const auto found = this->running.find(order.job);
    if (found == this->running.end()) return;
    RunningTask& task = found->second;
    switch (order.action) {
      case jobs::TaskAction::kThrottle:
      case jobs::TaskAction::kUnthrottle:
        task.throttled = order.action == jobs::TaskAction::kThrottle;
        this->model.OnTaskStarted(this->now, TargetName(task.target), order.job,
                                  KindName(task.kind), this->ShareOf(task));
        break;
      case jobs::TaskAction::kCheckpoint:
        task.checkpoint_in = kCheckpointSeconds;
        break;
      case jobs::TaskAction::kStop: {
        if (this->IsMeasured()) this->sums.evictions += 1;
        PendingWork again{task.request, task.kind, task.work_s, task.saved_s};
        ++again.request.evictions;
        ++again.request.attempt;
        this->Remove(order.job, placement::TaskEnd::kEvicted);
        this->scheduler.Submit(this->now, again.request);
        this->pending.emplace(order.job, again);
        break;
      }
    }
  }

  WorldSettings settings;
  Truth truth;
  base::Random random;
  interference::InterferenceEstimator model;
  placement::Scheduler scheduler;
  TimePoint now = kStart;
  int second = 0;
  JobId next_job = 1;
  std::map<JobId, PendingWork> pending;
  std::map<JobId, RunningTask> running;
  std::vector<std::vector<JobId>> tasks_of;
  std::deque<LateReport> late;
  std::vector<double> latencies;
  SharingResult sums;
};

}  // namespace

Truth::Truth(std::uint64_t seed) {
  base::Random random(seed);
  // Two kinds are noisy, the others mostly harmless; the service is hurt by the noisy ones.
  for (KindId kind = 0; kind <= kKinds; ++kind) {
    std::vector<double> row;
    for (KindId by = 0; by < kKinds; ++by) {
      const bool noisy = by < 2;
      row.push_back((noisy ? 1.5 : 0.1) + (noisy ? 1.5 : 0.5) * random.Unit());
    }
    this->pairs.push_back(row);
  }
}

double Truth::Slowdown(KindId kind, std::span<const Neighbour> neighbours, double load) const {
  double slowdown = 1;
  const double steepness = 0.5 + 0.9 * load * load;
  for (const Neighbour& neighbour : neighbours) {
    slowdown += this->pairs.at(kind).at(neighbour.kind) * neighbour.share * steepness;
  }
  return slowdown;
}

void Truth::Shift() {
  this->quiet_ms *= 1.15;
  for (auto& row : this->pairs) row.at(2) *= 2.5;
}

SharingResult RunWorld(const WorldSettings& settings, PolicyMaker make_policy) {
  return World(settings, make_policy).Run();
}

}  // namespace mangoroad::bench
