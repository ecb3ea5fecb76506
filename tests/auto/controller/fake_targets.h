// Targets under virtual time that behave as the protocol says: fences, run numbers, leases on a
// slow clock, ends listed until they are noted, orders that are carried out late.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/random.h"
#include "controller/target_calls.h"

namespace mangoroad::controller {

/// Virtual time: actions in the order of their moments.
class VirtualTime {
 public:
  [[nodiscard]] base::TimePoint Now() const { return this->now; }
  [[nodiscard]] std::int64_t NowMs() const;
  void After(std::int64_t ms, std::function<void()> action);
  void RunUntil(std::int64_t ms);

 private:
  struct Entry {
    base::TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Entry& other) const {
      return std::tie(other.at, other.number) < std::tie(this->at, this->number);
    }
  };
  base::TimePoint now{std::chrono::seconds(1'000)};
  std::uint64_t next_number = 0;
  std::priority_queue<Entry> entries;
};

struct FakeRun {
  std::uint32_t run = 0;
  base::TimePoint begun_at;
};

struct FakeTarget {
  workload::TargetIncarnation life;
  std::string address;
  bool is_up = true;
  bool is_cut = false;
  /// Nothing that runs there makes progress or ends by itself.
  bool stands_still = false;
  base::TimePoint born_at;
  Fence fence = 0;
  dispatch::TargetMilliseconds lease_until = 0;
  std::uint64_t lease_generation = 0;
  std::map<workload::TaskRef, FakeRun> running;
  std::map<workload::TaskRef, std::uint32_t> highest_over;
  std::vector<dispatch::EndRow> ends;
  std::uint64_t next_end = 1;
};

/// All targets of a test, and the check that no task runs twice at once or after its end.
class FakeTargets : public TargetCalls {
 public:
  FakeTargets(VirtualTime& virtual_time, std::uint64_t seed) : time(virtual_time), random(seed) {}

  void Add(const std::string& id);
  /// The target dies and another life of it starts at the same address after `ms`.
  void Reboot(const std::string& id, std::int64_t ms);
  void SetCut(const std::string& id, bool is_cut) { this->targets.at(id).is_cut = is_cut; }
  void SetStill(const std::string& id, bool still) { this->targets.at(id).stands_still = still; }
  [[nodiscard]] const std::map<std::string, FakeTarget>& All() const { return this->targets; }

  void Start(const Destination& to, const StartOrder& order, OnOrder answered) override;
  void Stop(const Destination& to, const StopOrder& order, OnOrder answered) override;
  void Pace(const Destination& to, const PaceOrder& order, OnOrder answered) override;
  void Look(const Destination& to, const LookOrder& order, OnLook answered) override;

  /// Probability that an order gets no answer and is carried out 2 to 12 s later.
  double late_share = 0;
  /// Length of a run in ms, and the part of runs that fail.
  std::int64_t work_ms = 400;
  double failing_share = 0;
  /// What broke the rule, one line each.
  std::vector<std::string> violations;
  std::set<workload::TaskRef> done;
  int starts = 0;

 private:
  using Act = std::function<OrderAnswer(FakeTarget&)>;
  void Deliver(const Destination& to, const Act& act, const OnOrder& answered);
  [[nodiscard]] std::int32_t ProgressOf(const FakeTarget& target, const FakeRun& run) const;
  FakeTarget* Reach(const Destination& to);
  [[nodiscard]] dispatch::TargetMilliseconds ClockOf(const FakeTarget& target) const;
  void Extend(FakeTarget& target, dispatch::TargetMilliseconds deadline);
  void EndRun(FakeTarget& target, const workload::TaskRef& task, workload::RunEnd how);
  OrderAnswer BeginRun(FakeTarget& target, const StartOrder& order);
  void CheckStart(const FakeTarget& target, const workload::TaskRef& task);

  VirtualTime& time;
  base::Random random;
  std::map<std::string, FakeTarget> targets;
};

}  // namespace mangoroad::controller
