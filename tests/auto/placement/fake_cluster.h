// Simulation of a leader, a log and targets in virtual time, with a seeded network and seeded
// faults.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "jobs/job_store.h"
#include "jobs/lease_manager.h"
#include "jobs/target_tasks.h"
#include "placement/scheduler.h"

namespace mangoroad::placement {

/// Descriptions of violated invariants; empty for a correct run.
using Violations = std::vector<std::string>;

class FakeCluster;

/// The current leader. It drives the scheduler and the leases like the daemon does.
class FakeLeader {
 public:
  FakeLeader(FakeCluster& fake_cluster, base::TimePoint now);
  void OnTick(base::TimePoint now);
  void OnReport(base::TimePoint now, const jobs::TargetReport& report);
  void OnApplied(base::TimePoint now, const jobs::Change& change, const jobs::ChangeResult& answer);

 private:
  void Queue(base::TimePoint now, const jobs::Job& job);
  void SendStart(const jobs::Job& job);
  void End(base::TimePoint now, const jobs::Job& job, TaskEnd end);

  FakeCluster& cluster;
  jobs::LeaseManager lease_manager;
  std::unique_ptr<Scheduler> scheduler;
  std::map<std::string, std::uint64_t> incarnations;
};

/// A target with its own clock, and processes that make progress while they run.
struct FakeTarget {
  std::string name;
  std::uint64_t incarnation = 1;
  /// Rate of this clock relative to true time, within the permitted drift.
  double rate = 1;
  base::TimePoint frozen_until{};
  base::TimePoint partitioned_until{};
  base::TimePoint next_report{};
  std::unique_ptr<jobs::TargetTasks> tasks{};
  struct Process {
    jobs::Token token = 0;
    double work_s = 0;
    std::uint64_t checkpoint = 0;
  };
  std::map<JobId, Process> processes{};

  base::TimePoint Clock(base::TimePoint now) const;
  bool IsFrozen(base::TimePoint now) const { return now < this->frozen_until; }
};

class FakeCluster {
 public:
  explicit FakeCluster(std::uint64_t seed);
  /// Runs with faults, then without them until all jobs have ended or the time limit is reached.
  Violations Run();

 private:
  friend class FakeLeader;
  struct Event {
    base::TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return std::pair(this->at, this->order) > std::pair(other.at, other.order);
    }
  };

  void Expect(bool condition, const std::string& text);
  void At(base::TimePoint at, std::function<void()> action);
  /// Delivers a message with a delay; sometimes it is lost, duplicated or very late.
  void Send(const FakeTarget& target, const std::function<void()>& deliver);
  void Propose(std::vector<jobs::Change> changes);
  /// Counts a step of the leader. The leader crashes at a step that the seed chooses.
  void LeaderStep();
  void LoseLeader();
  void StartOn(FakeTarget& target, const jobs::StartTaskRequest& start);
  void Replied(FakeTarget& target, const jobs::ReportResponse& reply);
  void StepTarget(FakeTarget& target);
  void Execute(FakeTarget& target);
  void Restart(FakeTarget& target);
  void InjectFaults();
  void CheckRunningTargets();
  void CheckEnd();
  bool AllEnded() const;

  base::Random random;
  base::TimePoint now;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t event_count = 0;
  jobs::JobStore job_store;
  std::uint64_t log_index = 0;
  std::unique_ptr<FakeLeader> leader;
  /// Increases with each leader, so that proposals of an earlier leader can be told apart.
  std::uint64_t term = 0;
  bool leader_lease = false;
  std::uint64_t steps_left = 0;
  std::vector<FakeTarget> targets;
  std::map<JobId, double> work_s;
  std::set<JobId> cancelled;
  std::map<JobId, std::set<jobs::Token>> finished;
  std::set<std::pair<JobId, jobs::Token>> started;
  bool injecting_faults = true;
  Violations violations;
};

}  // namespace mangoroad::placement
