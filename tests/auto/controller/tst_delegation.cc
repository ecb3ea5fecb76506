// Delegated calls: single decisions of both sides, and simulated leaders whose delegates freeze,
// end, are cut off one way or both, and outlive a change of the leader.
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "fake_delegates.h"

namespace mangoroad::controller {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(std::int64_t ms) { return base::TimePoint(milliseconds(ms)); }

/// Counts requests and never responds.
struct CountingCalls : TargetCalls {
  void Start(const TargetEndpoint&, const StartRequest&, OnResponse) override { ++this->count; }
  void Stop(const TargetEndpoint&, const StopRequest&, OnResponse) override { ++this->count; }
  void Throttle(const TargetEndpoint&, const ThrottleRequest&, OnResponse) override {
    ++this->count;
  }
  void Poll(const TargetEndpoint&, const PollRequest&, OnPollResponse) override { ++this->count; }
  int count = 0;
};

struct RecordingLink : DelegationLink {
  bool SendCalls(const std::string& delegate, const CallBatch& batch) override {
    this->calls.emplace_back(delegate, batch);
    return this->is_connected;
  }
  bool SendResults(const std::string&, const ResultBatch& batch) override {
    this->results.push_back(batch);
    return this->is_connected;
  }
  void RequestFlush() override {}
  bool is_connected = true;
  std::vector<std::pair<std::string, CallBatch>> calls;
  std::vector<ResultBatch> results;
};

constexpr std::uint64_t kIncarnation = 7;
const KnownLeader kLeader{"leader", 3};

CallBatch BatchSentAt(std::int64_t ms) {
  CallBatch batch;
  batch.fence = kLeader.fence;
  batch.delegate_incarnation = kIncarnation;
  batch.delegate_clock_us = At(ms).time_since_epoch().count();
  batch.delegates = {{"z", "self"}};
  batch.calls.push_back({1, {"10.0.0.1:80", {"t", 1}, "z"}, StartRequest{}});
  return batch;
}

struct DelegateFixture {
  CountingCalls targets;
  RecordingLink link;
  workload::WorkloadState state;
  CallDelegate delegate{this->targets, this->link, this->state, "z", kIncarnation};
};

// Guards against a process that was suspended and then acts on a permission that has run out: the
// leader has given the call to another delegate meanwhile, or is no longer the leader.
TEST_CASE("a delegate refuses calls unless they are recent and from the leader it knows") {
  struct Row {
    const char* what;
    std::int64_t now_ms;
    const char* from;
    Fence fence;
    std::uint64_t incarnation;
    bool is_sent;
  };
  const std::vector<Row> rows{
      {"recent", 1'900, "leader", 3, kIncarnation, true},
      {"read after the process was suspended", 2'100, "leader", 3, kIncarnation, false},
      {"of a deposed leader", 1'100, "leader", 2, kIncarnation, false},
      {"of a leader not known yet", 1'100, "leader", 4, kIncarnation, false},
      {"of another replica", 1'100, "other", 3, kIncarnation, false},
      {"for an earlier process", 1'100, "leader", 3, kIncarnation + 1, false},
  };
  for (const Row& row : rows) {
    INFO(row.what);
    DelegateFixture fixture;
    CallBatch batch = BatchSentAt(1'000);
    batch.fence = row.fence;
    batch.delegate_incarnation = row.incarnation;
    fixture.delegate.Tick(At(900), kLeader);
    fixture.delegate.OnCalls(At(row.now_ms), row.from, batch, kLeader);
    CHECK(fixture.targets.count == (row.is_sent ? 1 : 0));
  }
}

// Guards against "not sent" without an answer: the leader would count the call as possibly run.
TEST_CASE("a refused call is reported as not carried") {
  DelegateFixture fixture;
  fixture.delegate.Tick(At(900), kLeader);
  fixture.delegate.OnCalls(At(2'100), "leader", BatchSentAt(1'000), kLeader);
  fixture.delegate.Flush(At(2'100));
  const ResultBatch& results = fixture.link.results.back();
  REQUIRE(results.results.size() == 1);
  CHECK(results.results[0].status == CallStatus::kNotCarried);
}

// Guards against a target whose announcements are confirmed by a replica that the leader doesn't
// hear: the leader would take the target for lost.
TEST_CASE("a delegate confirms announcements only while it hears the leader") {
  DelegateFixture fixture;
  Announcement announcement;
  announcement.target.incarnation = {"t", 1};
  announcement.target.address = "10.0.0.1:80";
  fixture.state.Apply(workload::RegisterTarget{announcement.target});
  std::vector<bool> verdicts;
  const auto announce = [&](std::int64_t ms) {
    fixture.delegate.Announce(At(ms), announcement,
                              [&](bool accepted) { verdicts.push_back(accepted); });
  };
  announce(1'000);
  CallBatch batch = BatchSentAt(1'000);
  batch.calls.clear();
  fixture.delegate.OnCalls(At(1'010), "leader", batch, kLeader);
  announce(1'100);
  announce(2'100);
  CHECK(verdicts == std::vector<bool>{false, true, false});
  // A change is confirmed only once the leader has it.
  fixture.delegate.OnCalls(At(1'010), "leader", batch, kLeader);
  announcement.target.draining = true;
  announce(1'200);
  CHECK(verdicts.size() == 3);
  batch.verdicts.push_back({1, true});
  fixture.delegate.OnCalls(At(1'300), "leader", batch, kLeader);
  REQUIRE(verdicts.size() == 4);
  CHECK(verdicts.back());
}

// Guards against targets that all announce themselves to one VM: after a change of the leader 562
// connections met at one of five on vp-kochi-fleet-large, trouble-2, and new ones had to wait.
TEST_CASE("targets are divided by failure domain, and the rest evenly") {
  const std::vector<DelegateAddress> delegates{{"a", "a1"}, {"b", "b1"}, {"c", "c1"}, {"c", "c2"}};
  CHECK(ChooseDelegate({}, "t", "a").empty());
  std::map<std::string, int> own;
  std::map<std::string, int> rest;
  for (int i = 0; i < 1'100; ++i) {
    const std::string id = "i-" + std::to_string(i);
    CHECK(ChooseDelegate(delegates, id, "a") == "a1");
    ++own[ChooseDelegate(delegates, id, "c")];
    const std::string chosen = ChooseDelegate(delegates, id, "leader's own");
    ++rest[chosen];
    // The loss of another delegate moves nothing.
    std::vector<DelegateAddress> fewer = delegates;
    std::erase_if(fewer, [](const auto& entry) { return entry.address == "b1"; });
    if (chosen != "b1") CHECK(ChooseDelegate(fewer, id, "leader's own") == chosen);
  }
  CHECK(own.size() == 2);
  CHECK(rest.size() == 4);
  for (const auto& [name, count] : rest) CHECK(count < 2 * 1'100 / 4);
}

// Guards against a malformed message of a replica that ends the process, or names an unknown
// status.
TEST_CASE("malformed batches are refused as a whole") {
  ResultBatch batch;
  batch.results.push_back({1, CallStatus::kDone, {}, {}});
  const std::string bytes = EncodeResultBatch(batch);
  CHECK(DecodeResultBatch(bytes));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeResultBatch(bytes.substr(0, size)));
  }
  batch.results[0].status = static_cast<CallStatus>(200);
  CHECK_FALSE(DecodeResultBatch(EncodeResultBatch(batch)));
  CHECK_FALSE(DecodeCallBatch("not msgpack"));
  base::Random random(1);
  for (int i = 0; i < 2'000; ++i) {
    std::string damaged = EncodeCallBatch(BatchSentAt(1'000));
    damaged[random.Below(static_cast<std::uint32_t>(damaged.size()))] =
        static_cast<char>(random.Below(256));
    (void)DecodeCallBatch(damaged);
  }
}

Simulation::MakePaths WithDelegates(int count) {
  return [count](Simulation& simulation) {
    return std::make_unique<FakeDelegates>(simulation, count);
  };
}

FakeDelegates& DelegatesOf(Simulation& simulation) {
  return static_cast<FakeDelegates&>(*simulation.paths);
}

// Guards against runs that are started again, or targets taken for lost, because the VM that
// carried their calls was lost, slow or cut off.
TEST_CASE("runs continue on their targets when a delegate is lost") {
  const std::string fault = GENERATE("freeze", "kill", "cut", "cut-to-leader", "cut-from-leader");
  INFO(fault);
  Simulation simulation(1, 6, {}, WithDelegates(2));
  FakeDelegates& delegates = DelegatesOf(simulation);
  simulation.targets.run_ms = 12'000;
  simulation.RunFor(2'000);
  REQUIRE(delegates.Delegator().DelegateCount() == 2);
  simulation.Submit("0000000000000001", 20);
  simulation.RunFor(1'000);
  REQUIRE(simulation.targets.starts == 20);
  if (fault == "freeze") delegates.Freeze("d0", 6'000);
  if (fault == "kill") delegates.Kill("d0", 6'000);
  if (fault == "cut") delegates.SetCut("d0", true, true);
  if (fault == "cut-to-leader") delegates.SetCut("d0", false, true);
  if (fault == "cut-from-leader") delegates.SetCut("d0", true, false);
  simulation.RunFor(9'000);
  delegates.SetCut("d0", false, false);
  simulation.RunFor(1'000);
  CHECK(simulation.targets.starts == 20);
  for (const auto& [id, view] : simulation.leaders.back()->run_manager.Targets().All()) {
    CHECK(view.unanswered_requests < 2);
  }
  simulation.jobs = {"0000000000000001"};
  simulation.RunFor(20'000);
  CHECK(simulation.AllComplete());
  CHECK(simulation.targets.starts == 40);
}

/// Random faults of delegates and targets, and changes of the leader, for 30 s.
void InjectFaults(Simulation& simulation, std::uint64_t seed) {
  base::Random random(seed);
  FakeDelegates& delegates = DelegatesOf(simulation);
  simulation.targets.in_doubt_probability = random.Chance(0.5) ? 0.1 : 0;
  simulation.targets.run_ms = 200 + random.Below(4'000);
  for (int i = 0; i < 12; ++i) {
    const std::string id = "00000000000000" + std::to_string(10 + i);
    simulation.jobs.push_back(id);
    simulation.time.After(random.Below(20'000), [&simulation, id, count = 1 + random.Below(8)] {
      simulation.Submit(id, count);
    });
  }
  for (int i = 0; i < 16; ++i) {
    const std::string name = "d" + std::to_string(random.Below(3));
    const std::string target = "t" + std::to_string(random.Below(6));
    const std::int64_t at = 1'000 + random.Below(28'000);
    const std::int64_t length = 300 + random.Below(6'000);
    const bool one_way = random.Chance(0.5);
    simulation.time.After(at, [&simulation, &delegates, name, target, length, one_way,
                               choice = random.Below(5)] {
      if (choice == 0) delegates.Freeze(name, length);
      if (choice == 1) delegates.Kill(name, length);
      if (choice == 2) {
        delegates.SetCut(name, true, !one_way);
        simulation.time.After(length, [&delegates, name] { delegates.SetCut(name, false, false); });
      }
      if (choice == 3) {
        simulation.targets.SetIsolated(target, true);
        simulation.time.After(
            length, [&simulation, target] { simulation.targets.SetIsolated(target, false); });
      }
      if (choice == 4) simulation.ElectLeader();
    });
  }
  simulation.RunFor(32'000);
  simulation.targets.in_doubt_probability = 0;
  simulation.RunFor(60'000);
}

// Guards against two delegates, or a delegate and a deposed leader, that act for the same run so
// that its task runs twice, and against tasks lost with a delegate.
TEST_CASE("no task runs twice while delegates and leaders change") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    Simulation simulation(seed, 6, {}, WithDelegates(3));
    InjectFaults(simulation, seed);
    for (const std::string& violation : simulation.targets.violations) FAIL_CHECK(violation);
    CHECK(simulation.AllComplete());
  }
}

// Guards against batches that heartbeats of a newer process, leader or permission have overtaken:
// their calls and results must not make a task run twice, or lose it.
TEST_CASE("no task runs twice while batches wait behind heartbeats") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    Simulation simulation(seed, 6, {}, WithDelegates(3));
    DelegatesOf(simulation).SetQueueing(seed % 2 == 0 ? 300 : 1'400, seed);
    simulation.time.After(32'000, [&] { DelegatesOf(simulation).SetQueueing(0, seed); });
    InjectFaults(simulation, seed);
    for (const std::string& violation : simulation.targets.violations) FAIL_CHECK(violation);
    CHECK(simulation.AllComplete());
  }
}

}  // namespace
}  // namespace mangoroad::controller
