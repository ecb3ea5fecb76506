// Targets that restart under their ids and are cut off soon after, while requests get no response
// and are carried out seconds later.
#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>
#include <vector>

#include "run_simulation.h"

namespace mangoroad::controller {

inline constexpr std::uint32_t kTargets = 6;
inline constexpr std::int64_t kRoundMs = 10'000;
inline constexpr int kRounds = 6;
inline constexpr int kJobs = 100;
inline constexpr std::int64_t kSubmitMs = 500;

/// Targets restart under their ids and are cut off soon after, once or twice more behind the cut,
/// while the leader changes and tasks run for seconds.
class RestartDay {
 public:
  RestartDay(std::uint64_t seed, double late_share)
      : random(seed), simulation(seed, kTargets, {}), targets(simulation.targets) {
    this->targets.run_ms = 500 + this->random.Below(2'500);
    this->targets.stop_ms = this->random.Chance(0.5) ? 900 : 0;
    this->targets.failure_probability = this->random.Chance(0.3) ? 0.05 : 0;
    this->simulation.RunFor(2'000);
    this->targets.in_doubt_probability = late_share;
    this->targets.late_requests_outlast_targets = true;
  }

  void Run() {
    for (int i = 0; i < kJobs; ++i) {
      const std::string id = "0000000000000" + std::to_string(100 + i);
      this->simulation.jobs.push_back(id);
      this->simulation.time.After(
          kSubmitMs * i, [this, id] { this->simulation.Submit(id, 1 + this->random.Below(6)); });
    }
    for (int round = 0; round < kRounds; ++round) this->PlanRound(round * kRoundMs);
    this->simulation.RunFor(kRounds * kRoundMs);
    this->targets.in_doubt_probability = 0;
    for (const auto& [id, target] : this->targets.All()) this->targets.SetIsolated(id, false);
    this->simulation.RunFor(60'000);
  }

  /// Broken rules: two runs of a task at once.
  std::vector<std::string> Overlaps() const {
    std::vector<std::string> lines;
    std::ranges::copy_if(this->targets.violations, std::back_inserter(lines), IsOverlap);
    return lines;
  }
  /// Broken rules: a task was started after its end had been acknowledged, or that end was
  /// acknowledged later.
  std::vector<std::string> Repeats() const {
    std::vector<std::string> lines;
    std::ranges::remove_copy_if(this->targets.violations, std::back_inserter(lines), IsOverlap);
    return lines;
  }
  /// One line for each job that isn't complete.
  std::vector<std::string> Unfinished() const {
    std::vector<std::string> lines;
    for (const std::string& id : this->simulation.jobs) {
      const workload::Job* job = this->simulation.log.state.FindJob(id);
      if (job == nullptr) {
        lines.push_back(id + " is unknown");
      } else if (job->state != workload::JobState::kComplete) {
        lines.push_back(id + " is " +
                        std::string(base::NameOf(workload::kJobStateNames, job->state)));
      }
    }
    return lines;
  }

  base::Random random;
  Simulation simulation;
  FakeTargets& targets;

 private:
  static bool IsOverlap(const std::string& violation) {
    return violation.find(" and starts on ") != std::string::npos;
  }
  void PlanRound(std::int64_t at_ms) {
    for (int i = 0; i < 2; ++i) {
      const std::string id = "t" + std::to_string(this->random.Below(kTargets));
      this->Reboot(at_ms + this->random.Below(1'000), id);
      const std::int64_t cut_ms = at_ms + 1'200 + this->random.Below(2'000);
      this->simulation.time.After(cut_ms, [this, id] { this->targets.SetIsolated(id, true); });
      if (this->random.Chance(0.6)) this->Reboot(cut_ms + this->random.Below(4'000), id);
      const std::int64_t end_ms = cut_ms + 1'000 + this->random.Below(6'000);
      this->simulation.time.After(end_ms, [this, id] { this->targets.SetIsolated(id, false); });
    }
    if (this->random.Chance(0.5)) {
      this->simulation.time.After(at_ms + this->random.Below(kRoundMs), [this] {
        Leader* former = this->simulation.leaders.back().get();
        this->simulation.ElectLeader();
        former->run_manager.EndTerm();
      });
    }
  }
  void Reboot(std::int64_t at_ms, const std::string& id) {
    this->simulation.time.After(at_ms, [this, id] {
      if (this->targets.All().at(id).is_up) {
        this->targets.Reboot(id, 20 + this->random.Below(900));
      }
    });
  }
};

}  // namespace mangoroad::controller
