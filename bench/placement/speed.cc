#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "placement/scheduler.h"
#include "report.h"

namespace mangoroad::bench {
namespace {

using base::Random;
using base::TimePoint;
using jobs::JobId;
using jobs::Resources;
using placement::PendingJob;

constexpr int kTeams = 110;
constexpr std::size_t kDomains = 9;
// Tasks that end between two calls of the scheduler in a full cluster.
constexpr std::size_t kChurn = 32;
constexpr double kMeasuredSeconds = 0.7;
constexpr Resources kTarget{16000, 60000, 0};

std::string RowName(std::uint32_t row) { return fmt::format("row{}", row); }

PendingJob RandomJob(Random& random, JobId id) {
  PendingJob job{.job = id};
  job.row = RowName(random.Below(2 * kTeams));
  job.reservation = {std::int64_t{500} * (1 + random.Below(8)),
                     std::int64_t{1000} * (1 + random.Below(12)), 0};
  job.run_time_s = 1 + random.Exponential(300);
  return job;
}

/// Something that places jobs; the cluster is kept full and the queue at its length.
class Placer {
 public:
  virtual ~Placer() = default;
  virtual void Submit(TimePoint now, const PendingJob& job) = 0;
  virtual void End(TimePoint now, JobId job) = 0;
  /// Places what fits and appends the placed jobs.
  virtual void Place(TimePoint now, std::vector<JobId>& placed) = 0;
};

class SchedulerPlacer : public Placer {
 public:
  explicit SchedulerPlacer(std::size_t targets) : scheduler(placement::MakeUnrestrictedSharing()) {
    std::vector<placement::RowSpec> rows;
    std::vector<placement::TeamSpec> teams;
    for (std::uint32_t team = 0; team < kTeams; ++team) {
      const std::string name = fmt::format("team{}", team);
      teams.push_back({name, static_cast<std::int64_t>(targets) * kTarget.millicores / kTeams});
      for (std::uint32_t row = 0; row < 2; ++row) {
        rows.push_back({.name = RowName(2 * team + row), .team = name, .weight = 1 + row});
      }
    }
    this->scheduler.SetRows({}, rows, teams);
    for (std::size_t i = 0; i < targets; ++i) {
      this->scheduler.OnTargetChanged({}, {.name = fmt::format("t{}", i),
                                           .failure_domain = fmt::format("d{}", i % kDomains),
                                           .rack = fmt::format("r{}", i / 8),
                                           .capacity = kTarget});
    }
  }
  void Submit(TimePoint now, const PendingJob& job) override { this->scheduler.Submit(now, job); }
  void End(TimePoint now, JobId job) override {
    this->scheduler.OnTaskEnded(now, job, placement::TaskEnd::kSucceeded);
  }
  void Place(TimePoint now, std::vector<JobId>& placed) override {
    const placement::Decisions decisions = this->scheduler.Schedule(now, 100'000'000);
    for (const placement::Start& start : decisions.starts) {
      this->scheduler.OnTaskStarted(start.job, start.job);
      placed.push_back(start.job);
    }
  }
  void Cancel(TimePoint now, JobId job) { this->scheduler.Cancel(now, job); }

 private:
  placement::Scheduler scheduler;
};

// The baselines have one queue without shares and look past jobs that don't fit, up to a depth.
class ScanPlacer : public Placer {
 public:
  ScanPlacer(std::size_t targets, bool random_fit, std::uint64_t seed)
      : free(targets, kTarget), random(seed), by_chance(random_fit) {}

  void Submit(TimePoint /*now*/, const PendingJob& job) override { this->queue.push_back(job); }
  void End(TimePoint /*now*/, JobId job) override {
    const auto task = this->tasks.find(job);
    this->free.at(task->second.first) += task->second.second;
    this->tasks.erase(task);
  }
  void Place(TimePoint /*now*/, std::vector<JobId>& placed) override {
    std::size_t misses = 0;
    for (std::size_t at = 0; at < this->queue.size() && misses < kDepth;) {
      const PendingJob& job = this->queue.at(at);
      const auto target =
          this->by_chance ? this->ByChance(job.reservation) : this->First(job.reservation);
      if (!target) {
        ++misses;
        ++at;
        continue;
      }
      this->free.at(*target) -= job.reservation;
      this->tasks.emplace(job.job, std::pair(*target, job.reservation));
      placed.push_back(job.job);
      this->queue.erase(this->queue.begin() + static_cast<std::ptrdiff_t>(at));
    }
  }

 private:
  static constexpr std::size_t kDepth = 16;

  std::optional<std::size_t> First(const Resources& need) const {
    const auto fit = std::ranges::find_if(
        this->free, [&](const Resources& amounts) { return need.FitsIn(amounts); });
    if (fit == this->free.end()) return std::nullopt;
    return static_cast<std::size_t>(fit - this->free.begin());
  }
  std::optional<std::size_t> ByChance(const Resources& need) {
    for (std::size_t tries = 0; tries < this->free.size(); ++tries) {
      const std::size_t target = this->random.Below(static_cast<std::uint32_t>(this->free.size()));
      if (need.FitsIn(this->free.at(target))) return target;
    }
    return std::nullopt;
  }

  std::vector<Resources> free;
  std::deque<PendingJob> queue;
  std::unordered_map<JobId, std::pair<std::size_t, Resources>> tasks;
  Random random;
  bool by_chance;
};

double SecondsSince(std::chrono::steady_clock::time_point begin) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

struct Speed {
  double a_second = 0;
  double filling_a_second = 0;
};

// Fills an empty cluster, then measures placements in the full one while tasks end at random.
Speed Measure(Placer& placer, std::size_t queued, std::uint64_t seed) {
  Random random(seed);
  TimePoint now{std::chrono::seconds(1000)};
  JobId next = 1;
  for (; next <= queued; ++next) placer.Submit(now, RandomJob(random, next));
  std::vector<JobId> running;
  auto begin = std::chrono::steady_clock::now();
  placer.Place(now, running);
  const std::size_t filled = running.size();
  Speed speed;
  speed.filling_a_second = static_cast<double>(filled) / SecondsSince(begin);
  // Jobs that fitted at once are replaced, until the cluster is nearly full.
  constexpr int kMostRounds = 30;
  std::size_t last = filled;
  for (int round = 0; round < kMostRounds && last > kChurn; ++round) {
    for (std::size_t i = 0; i < last; ++i) placer.Submit(now, RandomJob(random, next++));
    const std::size_t before = running.size();
    placer.Place(now, running);
    last = running.size() - before;
  }
  double measured = 0;
  std::size_t placements = 0;
  while (measured < kMeasuredSeconds) {
    now += std::chrono::milliseconds(5);
    std::vector<PendingJob> fresh;
    std::vector<JobId> ended;
    for (std::size_t i = 0; i < kChurn && !running.empty(); ++i) {
      std::swap(running.at(random.Below(static_cast<std::uint32_t>(running.size()))),
                running.back());
      ended.push_back(running.back());
      running.pop_back();
      fresh.push_back(RandomJob(random, next++));
    }
    begin = std::chrono::steady_clock::now();
    for (const JobId job : ended) placer.End(now, job);
    for (const PendingJob& job : fresh) placer.Submit(now, job);
    const std::size_t before = running.size();
    placer.Place(now, running);
    measured += SecondsSince(begin);
    placements += running.size() - before;
  }
  speed.a_second = static_cast<double>(placements) / measured;
  return speed;
}

double Growth(double slow_rate, double fast_rate, double factor) {
  return std::log(fast_rate / slow_rate) / std::log(factor);
}

void MeasureWaves(std::uint64_t seed, Figures& figures) {
  std::map<std::size_t, double> cost_us;
  for (const std::size_t wave : {1'000U, 10'000U, 100'000U}) {
    SchedulerPlacer placer(66);
    Random random(seed);
    const TimePoint now{std::chrono::seconds(1000)};
    for (JobId job = 1; job <= 200'000; ++job) placer.Submit(now, RandomJob(random, job));
    const auto begin = std::chrono::steady_clock::now();
    for (JobId job = 1; job <= wave; ++job) placer.Cancel(now, 2 * job);
    cost_us[wave] = SecondsSince(begin) * 1e6 / static_cast<double>(wave);
    figures.push_back({"cancellation waves among 200,000 queued jobs", fmt::format("{} jobs", wave),
                       "us a cancellation", cost_us[wave]});
  }
  figures.push_back({"cancellation waves among 200,000 queued jobs", "growth from 1,000 to 100,000",
                     "exponent of the whole wave",
                     1 + (std::log(cost_us[100'000] / cost_us[1'000]) / std::log(100.0))});
}

}  // namespace

Figures MeasureSpeed(std::uint64_t seed) {
  Figures figures;
  std::map<std::pair<std::size_t, std::size_t>, double> scheduler_rate;
  std::map<std::pair<std::size_t, std::size_t>, double> scan_rate;
  for (const std::size_t queued : {1'000U, 100'000U}) {
    for (const std::size_t targets : {48U, 66U, 1'000U, 15'000U}) {
      const std::string subject = fmt::format("{} targets, {} queued", targets, queued);
      SchedulerPlacer scheduler(targets);
      ScanPlacer first(targets, false, seed);
      ScanPlacer chance(targets, true, seed);
      const Speed speed = Measure(scheduler, queued, seed);
      const Speed scan = Measure(first, queued, seed);
      const Speed random_fit = Measure(chance, queued, seed);
      scheduler_rate[{targets, queued}] = speed.a_second;
      scan_rate[{targets, queued}] = scan.a_second;
      const char* section = "placements a second on one core, full cluster";
      figures.push_back({section, subject, "scheduler", speed.a_second});
      figures.push_back({section, subject, "first fit scan", scan.a_second});
      figures.push_back({section, subject, "random fit", random_fit.a_second});
      figures.push_back({section, subject, "ratio to scan", speed.a_second / scan.a_second});
      figures.push_back({section, subject, "scheduler while filling", speed.filling_a_second});
    }
    const char* section = "growth exponents of the time for a placement, 1,000 to 15,000 targets";
    const std::string subject = fmt::format("{} queued", queued);
    figures.push_back(
        {section, subject, "scheduler",
         Growth(scheduler_rate[{15'000, queued}], scheduler_rate[{1'000, queued}], 15)});
    figures.push_back({section, subject, "first fit scan",
                       Growth(scan_rate[{15'000, queued}], scan_rate[{1'000, queued}], 15)});
  }
  MeasureWaves(seed, figures);
  return figures;
}

}  // namespace mangoroad::bench
