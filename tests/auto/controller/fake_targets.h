// Simulated targets under virtual time that implement the protocol: fences, run numbers, leases on
// a slow clock, ends listed until they are acknowledged, and requests that take effect late.
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

/// Virtual clock with a queue of scheduled actions, executed in order of time.
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
  base::TimePoint started_at;
};

struct FakeTarget {
  workload::TargetIncarnation identity;
  std::string address;
  bool is_up = true;
  bool isolated = false;
  /// No run on the target makes progress or ends by itself.
  bool is_stalled = false;
  /// The target responds and doesn't announce itself.
  bool is_mute = false;
  base::TimePoint started_at;
  Fence fence = 0;
  dispatch::TargetMilliseconds lease_until = 0;
  std::uint64_t lease_generation = 0;
  std::map<workload::TaskRef, FakeRun> running;
  std::map<workload::TaskRef, std::uint32_t> highest_ended_run;
  std::vector<dispatch::EndRow> ends;
  std::uint64_t next_end = 1;
};

/// All targets of a test. Checks that no task is started while it runs on another target.
class FakeTargets : public TargetCalls {
 public:
  FakeTargets(VirtualTime& virtual_time, std::uint64_t seed) : time(virtual_time), random(seed) {}

  void Add(const std::string& id);
  /// The target stops, and another incarnation of it starts at the same address after `ms`.
  void Reboot(const std::string& id, std::int64_t ms);
  /// The target ends, and another one with a new id starts at its address.
  void Replace(const std::string& id, const std::string& next_id);
  void SetIsolated(const std::string& id, bool isolated) {
    this->targets.at(id).isolated = isolated;
  }
  void SetStalled(const std::string& id, bool stalled) {
    this->targets.at(id).is_stalled = stalled;
  }
  void SetMute(const std::string& id, bool mute) { this->targets.at(id).is_mute = mute; }
  [[nodiscard]] const std::map<std::string, FakeTarget>& All() const { return this->targets; }

  void Start(const TargetEndpoint& to, const StartRequest& request,
             OnResponse on_response) override;
  void Stop(const TargetEndpoint& to, const StopRequest& request, OnResponse on_response) override;
  void Throttle(const TargetEndpoint& to, const ThrottleRequest& request,
                OnResponse on_response) override;
  void Poll(const TargetEndpoint& to, const PollRequest& request,
            OnPollResponse on_response) override;

  /// Probability that a request gets no response and takes effect 2 to 12 s later.
  double in_doubt_probability = 0;
  /// Duration of a run in ms, and the probability that a run fails.
  std::int64_t run_ms = 400;
  double failure_probability = 0;
  /// Time that a run takes to stop, in ms.
  std::int64_t stop_ms = 0;
  bool refuses_stops = false;
  /// One line for each start of a task that was still running elsewhere.
  std::vector<std::string> violations;
  std::set<workload::TaskRef> done;
  int starts = 0;
  std::uint64_t polls = 0;

 private:
  using Handler = std::function<CallResponse(FakeTarget&)>;
  void Deliver(const TargetEndpoint& to, const Handler& handler, const OnResponse& on_response);
  [[nodiscard]] std::int32_t ProgressOf(const FakeTarget& target, const FakeRun& run) const;
  FakeTarget* FindReachable(const TargetEndpoint& to);
  [[nodiscard]] dispatch::TargetMilliseconds ClockOf(const FakeTarget& target) const;
  void Extend(FakeTarget& target, dispatch::TargetMilliseconds deadline);
  void End(FakeTarget& target, const workload::TaskRef& task, workload::RunEnd how);
  /// Ends a run that is asked to stop.
  void EndLater(FakeTarget& target, const workload::TaskRef& task, std::uint32_t run);
  CallResponse BeginRun(FakeTarget& target, const StartRequest& request);
  void CheckStart(const FakeTarget& target, const workload::TaskRef& task);

  VirtualTime& time;
  base::Random random;
  std::map<std::string, FakeTarget> targets;
};

}  // namespace mangoroad::controller
