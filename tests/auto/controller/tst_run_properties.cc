// Random mixes of jobs (gangs, schedules, long-running and best-effort steps) under random series
// of faults, cancellations and new leaders, checked against the rules that targets can observe.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iterator>
#include <string>
#include <vector>

#include "run_simulation.h"

namespace mangoroad::controller {
namespace {

using workload::JobId;
using workload::JobSpec;
using workload::JobState;
using workload::RunEnd;
using workload::StepSpec;

constexpr std::uint32_t kTargets = 6;
constexpr std::int64_t kFaultsMs = 30'000;
/// Without faults; the longest lease and the longest run are over several times.
constexpr std::int64_t kQuietMs = 90'000;
constexpr int kAttempts = 4;
/// A deposed leader notices that it no longer leads within this time.
constexpr std::uint32_t kNoticeMs = 50;

/// Seeds are counted from 1. MANGOROAD_SEEDS: "FIRST COUNT" for longer runs by hand.
std::pair<std::uint64_t, std::uint64_t> Seeds() {
  const char* text = std::getenv("MANGOROAD_SEEDS");  // NOLINT(concurrency-mt-unsafe)
  if (text == nullptr) return {1, 60};
  char* rest = nullptr;
  const std::uint64_t first = std::strtoull(text, &rest, 10);
  return {first, std::strtoull(rest, nullptr, 10)};
}

StepSpec RandomStep(base::Random& random) {
  StepSpec step;
  step.count = 1 + random.Below(6);
  step.resources = {1'000 + 1'000 * static_cast<std::int64_t>(random.Below(4)), 100, 0};
  step.checkpoints = random.Chance(0.5);
  step.gang = random.Chance(0.5);
  if (step.gang) step.same_rack = random.Chance(0.2);
  if (!step.gang && random.Chance(0.2)) step.max_per_target = 2;
  if (!step.gang && random.Chance(0.2)) {
    step.best_effort = true;
    step.image = "image" + std::to_string(random.Below(2));
  }
  return step;
}

JobSpec RandomJob(base::Random& random, std::int64_t now_ms) {
  JobSpec spec;
  const std::uint32_t steps = 1 + random.Below(3);
  std::generate_n(std::back_inserter(spec.steps), steps, [&] { return RandomStep(random); });
  for (std::uint32_t i = 1; i < steps; ++i) {
    if (random.Chance(0.7)) spec.steps[i].after = {random.Below(i)};
  }
  if (random.Chance(0.4)) {
    spec.occurrences = 1 + random.Below(4);
    spec.first_ms = now_ms + random.Below(2'000);
    spec.interval_ms = 200 + random.Below(6'000);
  }
  return spec;
}

/// Tasks that run until the job is cancelled.
JobSpec RandomLongRunningJob(base::Random& random) {
  JobSpec spec;
  StepSpec& step = spec.steps.emplace_back();
  step.count = 1 + random.Below(4);
  step.resources = {2'000, 100, 0};
  step.long_running = true;
  step.checkpoints = true;
  return spec;
}

class RandomDay {
 public:
  explicit RandomDay(std::uint64_t seed)
      : random(seed), simulation(seed, kTargets, {}), targets(simulation.targets) {
    workload::Declaration declaration = this->simulation.log.state.CurrentDeclaration();
    declaration.version += 1;
    for (workload::Queue& queue : declaration.queues) queue.attempts = kAttempts;
    this->simulation.log.ProposeRepeatedly(workload::Declare{declaration});
    this->simulation.RunFor(100);
  }

  void Run() {
    this->targets.in_doubt_probability = this->random.Chance(0.5) ? 0.1 : 0;
    this->targets.run_ms = 200 + this->random.Below(4'000);
    this->targets.failure_probability = this->random.Chance(0.5) ? 0.05 : 0;
    this->targets.stop_ms = this->random.Chance(0.5) ? 0 : 600;
    this->simulation.log.commit_delay_ms = this->random.Chance(0.3) ? 300 : kCommitDelayMs;
    for (int i = 0; i < 14; ++i) this->PlanJob(i);
    const std::uint32_t faults = 6 + this->random.Below(20);
    for (std::uint32_t i = 0; i < faults; ++i) {
      this->After(this->random.Below(kFaultsMs), [this] { this->InjectFault(); });
    }
    this->simulation.RunFor(kFaultsMs);
    this->targets.in_doubt_probability = 0;
    this->simulation.log.commit_delay_ms = kCommitDelayMs;
    for (const auto& [id, target] : this->targets.All()) {
      this->targets.SetIsolated(id, false);
      this->targets.SetStalled(id, false);
      this->targets.SetMute(id, false);
    }
    this->simulation.leaders.back()->has_lost_lease = false;
    this->simulation.RunFor(kQuietMs / 2);
    for (const JobId& id : this->endless) this->Cancel(id);
    this->simulation.RunFor(kQuietMs / 2);
  }

  /// Empty, or one line for each broken rule.
  std::vector<std::string> Faults() const {
    std::vector<std::string> faults = this->targets.violations;
    for (const auto& [id, spec] : this->targets.specs) this->CheckJob(id, spec, faults);
    for (const auto& [id, target] : this->targets.All()) {
      for (const auto& [task, run] : target.running) {
        faults.push_back(workload::ToText(task) + " is left on " + id);
      }
    }
    if (!this->simulation.log.state.RunningOn().empty()) faults.emplace_back("runs are left");
    return faults;
  }

  base::Random random;
  Simulation simulation;
  FakeTargets& targets;

 private:
  void After(std::int64_t ms, std::function<void()> action) {
    this->simulation.time.After(ms, std::move(action));
  }

  void PlanJob(int number) {
    const JobId id = "00000000000000" + std::to_string(10 + number);
    const bool is_endless = this->random.Chance(0.15);
    this->After(this->random.Below(kFaultsMs * 2 / 3), [this, id, is_endless] {
      const std::int64_t now_ms = this->simulation.time.NowMs();
      const JobSpec spec =
          is_endless ? RandomLongRunningJob(this->random) : RandomJob(this->random, now_ms);
      this->targets.specs[id] = spec;
      if (is_endless) this->endless.push_back(id);
      this->simulation.log.ProposeRepeatedly(workload::Submit{id, "q", spec, now_ms});
      if (this->random.Chance(0.2)) {
        this->After(this->random.Below(8'000), [this, id] { this->Cancel(id); });
      }
    });
  }
  void Cancel(const JobId& id) {
    this->cancelled.insert(id);
    this->simulation.log.ProposeRepeatedly(workload::Cancel{id, this->simulation.time.NowMs()});
  }

  /// A target that is up and at work, or nothing.
  std::string AnyTarget() {
    std::vector<std::string> ids;
    for (const auto& [id, target] : this->targets.All()) {
      if (target.is_up && !target.is_draining) ids.push_back(id);
    }
    return ids.empty() ? std::string() : ids[this->random.Below(ids.size())];
  }
  std::string NewId() { return "n" + std::to_string(this->added++); }

  void InjectFault() {
    const std::string target = this->AnyTarget();
    if (target.empty()) return;
    const std::int64_t length = 20 + this->random.Below(8'000);
    switch (this->random.Below(10)) {
      case 0:
      case 1:
        this->targets.SetIsolated(target, true);
        return this->After(length, [this, target] { this->targets.SetIsolated(target, false); });
      case 2:
        return this->targets.Reboot(target, length);
      case 3:
        return this->targets.Replace(target, this->NewId());
      case 4:
        this->targets.SetStalled(target, true);
        return this->After(length, [this, target] { this->targets.SetStalled(target, false); });
      case 5:
        this->targets.SetMute(target, true);
        return this->After(length, [this, target] { this->targets.SetMute(target, false); });
      case 6:
        return this->Drain(target);
      case 7:
        return this->LoseLeaderLease(length);
      default:
        this->Depose();
    }
  }

  /// A target announces that it leaves, and later does so. Another one takes its place.
  void Drain(const std::string& target) {
    this->targets.SetDraining(target);
    this->After(2'000 + this->random.Below(4'000), [this, target] {
      if (!this->targets.All().at(target).is_up) return;
      this->simulation.leaders.back()->run_manager.Leave(
          this->simulation.time.Now(), target, this->targets.All().at(target).identity.number,
          [](bool) {});
      this->targets.Remove(target);
      this->targets.Add(this->NewId());
    });
  }

  void LoseLeaderLease(std::int64_t length) {
    Leader* leader = this->simulation.leaders.back().get();
    leader->has_lost_lease = true;
    this->After(length, [leader] { leader->has_lost_lease = false; });
  }

  /// Another replica leads. The former leader applies what it commits and may receive a snapshot
  /// before it notices that its own term is over.
  void Depose() {
    Leader* former = this->simulation.leaders.back().get();
    this->simulation.ElectLeader();
    if (this->random.Chance(0.3)) {
      this->After(this->random.Below(kNoticeMs), [former] { former->RestoreState(); });
    }
    this->After(this->random.Below(kNoticeMs),
                [this, former] { former->run_manager.Advance(this->simulation.time.Now()); });
    this->After(kNoticeMs, [former] { former->run_manager.EndTerm(); });
  }

  void CheckJob(const JobId& id, const JobSpec& spec, std::vector<std::string>& faults) const {
    const workload::Job* job = this->simulation.log.state.FindJob(id);
    if (job == nullptr) return faults.push_back(id + " is unknown");
    if (!workload::IsFinal(job->state)) return faults.push_back(id + " hasn't ended");
    if (job->state == JobState::kCancelled && !this->cancelled.contains(id)) {
      faults.push_back(id + " was cancelled by nobody");
    }
    const auto has_failed = [&](const auto& entry) {
      return entry.first.job == id && entry.second >= kAttempts;
    };
    const bool may_fail = std::ranges::any_of(this->targets.failures, has_failed);
    if (job->state == JobState::kFailed && !may_fail) faults.push_back(id + " failed for no cause");
    if (job->state != JobState::kComplete) return;
    for (std::uint32_t number = 0; number < std::max(1U, spec.occurrences); ++number) {
      for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        const bool is_done = std::ranges::any_of(this->targets.done, [&](const auto& task) {
          return task.job == id && task.occurrence == number && task.step == step;
        });
        if (!is_done) faults.push_back(id + " is complete and wasn't done");
      }
    }
  }

  std::set<JobId> cancelled;
  std::vector<JobId> endless;
  int added = 0;
};

// Guards against runs that outlive their task, tasks that run twice or too early, gangs whose
// members disagree, and jobs that never end (review/5 and its related paths).
TEST_CASE("random jobs keep all rules under faults, cancellations and new leaders") {
  const auto [first, count] = Seeds();
  std::map<RunEnd, int> ends;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    INFO("seed " << seed);
    RandomDay day(seed);
    day.Run();
    for (const std::string& fault : day.Faults()) FAIL_CHECK(fault);
    for (const auto& [how, number] : day.targets.ends_by_kind) ends[how] += number;
  }
  // Otherwise the days don't reach what they are meant to reach.
  for (const RunEnd how : {RunEnd::kDone, RunEnd::kFailed, RunEnd::kStopped, RunEnd::kLeaseExpired,
                           RunEnd::kGangMemberEnded, RunEnd::kGangIncomplete}) {
    CHECK(ends[how] > 0);
  }
}

}  // namespace
}  // namespace mangoroad::controller
