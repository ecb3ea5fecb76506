// Runs of replicas under random faults, one for each seed.
#include <fmt/format.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>

#include "base/soft_assert.h"
#include "history_checker.h"
#include "simulation.h"

namespace mangoroad::consensus::test {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr std::uint64_t kSeeds = 1000;

enum class DiskFaults : bool { kNone, kRandom };

/// One run: client operations, faults and membership changes for 8 s, then recovery.
class SeedRun {
 public:
  explicit SeedRun(std::uint64_t seed, DiskFaults disk_faults)
      : random(seed * 2 + 1),
        simulation(OptionsFor(seed), FirstConfiguration(seed)),
        has_disk_faults(disk_faults == DiskFaults::kRandom) {
    for (const std::string& voter : this->simulation.first_configuration.voters) {
      this->simulation.AddNode(voter);
    }
    this->simulation.AddNode("l1", false);
    this->simulation.AddNode("l2");
  }

  void Run() {
    const TimePoint end = this->simulation.now + 8s;
    while (this->simulation.now < end) {
      this->simulation.RunFor(this->random.Between(5ms, 60ms));
      this->StartOperations();
      if (this->random.Chance(0.15)) this->InjectFault();
      if (this->random.Chance(0.05)) this->ChangeReplicas();
      if (this->has_disk_faults && this->random.Chance(0.3)) this->DisturbDisk();
    }
    this->Recover();
    if (const auto key = FindNonLinearizableKey(this->simulation.operations)) {
      this->TraceHistory(*key);
      this->simulation.Fail("the history of " + *key + " isn't linearizable");
    }
  }

  std::size_t Acknowledged() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        this->simulation.operations, [](const auto& item) { return item.end && !item.lost; }));
  }

  base::Random random;
  Simulation simulation;

 private:
  bool has_disk_faults;

  static Configuration FirstConfiguration(std::uint64_t seed) {
    if (seed % 2 == 0) return {{"a", "b", "c"}, {}};
    return {{"a", "b", "c", "d", "e"}, {}};
  }

  static SimulationOptions OptionsFor(std::uint64_t seed) {
    SimulationOptions options;
    options.seed = seed;
    options.network = {4ms, 5ms, 0.02, 0.02, 0.05};
    // Every third run has small snapshots and messages, so that transfers take many steps.
    options.compact_every = seed % 3 == 0 ? 8 : 30;
    options.segment_bytes = 2048;
    options.limits = {.batch_bytes = 300,
                      .inflight_bytes = 2000,
                      .snapshot_chunk_bytes = 24,
                      .retained_entries = 5};
    return options;
  }

  Node& Pick() {
    auto node = this->simulation.nodes.begin();
    std::advance(node,
                 this->random.Below(static_cast<std::uint32_t>(this->simulation.nodes.size())));
    return *node->second;
  }

  void StartOperations() {
    constexpr std::size_t kOperations = 120;
    const std::array<std::string, 3> keys{"x", "y", "z"};
    if (this->simulation.operations.size() >= kOperations) return;
    for (std::uint32_t i = this->random.Below(4); i > 0; --i) {
      Operation operation;
      operation.kind = static_cast<OperationKind>(this->random.Below(3));
      operation.key = keys[this->random.Below(3)];
      operation.expected = fmt::format("v{}", this->random.Below(4));
      operation.value = fmt::format("v{}", this->random.Below(4));
      this->simulation.Begin(this->Pick().name, operation);
    }
  }

  void InjectFault() {
    Node& node = this->Pick();
    Node& other = this->Pick();
    switch (this->random.Below(9)) {
      case 0:
      case 1:
        this->simulation.Crash(node.name);
        break;
      case 2:
      case 3:
        if (!node.IsUp()) this->simulation.Start(node.name);
        break;
      case 4:
        this->simulation.Cut(node.name, other.name);
        break;
      case 5:
        this->simulation.Isolate(node.name);
        break;
      case 6:
        this->simulation.Pause(node.name, this->random.Between(20ms, 1500ms));
        break;
      case 7:
        this->simulation.JumpClock(node.name, this->random.Between(60ms, 2s));
        break;
      default:
        this->simulation.Heal();
    }
  }

  /// A disk refuses a sync or is full, or works again. Disks that have failed are tried again most
  /// of the time, so that several fail in turn and some at once.
  void DisturbDisk() {
    Node& node = this->Pick();
    switch (this->random.Below(5)) {
      case 0:
        node.disk.FailSyncAfter(this->random.Below(3));
        break;
      case 1:
        node.disk.SetCapacity(node.disk.UsedBytes() + this->random.Below(200));
        break;
      default:
        node.disk.ClearFaults();
        this->simulation.RecoverDisk(node.name);
    }
  }

  void ChangeReplicas() {
    Node* leader = this->simulation.Leader();
    if (leader == nullptr || this->simulation.now < leader->paused_until) return;
    const std::string target = this->Pick().name;
    const std::uint32_t choice = this->random.Below(4);
    this->simulation.Act(leader->name, [&](Replica& replica, TimePoint now) {
      if (choice == 0) replica.AddLearner(now, target);
      if (choice == 1) replica.Promote(now, target);
      if (choice == 2 && replica.GetStatus().configuration.voters.size() > 2) {
        replica.Remove(now, target);
      }
      if (choice == 3) replica.TransferLeadership(now, {});
    });
    this->simulation.Trace(fmt::format("{} handles change {} of {}", leader->name, choice, target));
  }

  void TraceHistory(const std::string& key) {
    const auto seconds = [](TimePoint time) {
      return std::chrono::duration<double>(time - TimePoint(1h)).count();
    };
    for (const Operation& operation : this->simulation.operations) {
      if (operation.key != key || operation.lost) continue;
      this->simulation.Trace(fmt::format(
          "{:.4f} to {:.4f}: operation {} expects '{}' sets '{}' gives '{}'",
          seconds(operation.start), operation.end ? seconds(*operation.end) : 0.0,
          static_cast<int>(operation.kind), operation.expected, operation.value, operation.result));
    }
  }

  void FailWithStates() {
    std::string states;
    for (const auto& [name, node] : this->simulation.nodes) {
      const Status status = node->replica->GetStatus();
      states += fmt::format(" {}: {} in term {}, last {}, commit {}, voters {};", name,
                            base::NameOf(kRoleNames, status.role), status.term, status.last_index,
                            status.commit_index, fmt::join(status.configuration.voters, " "));
    }
    this->simulation.Fail("no agreement 15 s after the faults:" + states);
  }

  /// With all links and replicas back, a leader is elected and all replicas reach one state.
  void Recover() {
    this->simulation.Heal();
    this->simulation.options.network = {4ms, 5ms, 0, 0, 0};
    for (auto& [name, node] : this->simulation.nodes) node->disk.ClearFaults();
    for (auto& [name, node] : this->simulation.nodes) {
      if (!node->IsUp()) this->simulation.Start(name);
    }
    for (auto& [name, node] : this->simulation.nodes) {
      if (!node->open_error.empty()) this->simulation.Fail("opening failed: " + node->open_error);
    }
    const auto agree = [&] { return this->simulation.AllAgree(); };
    this->simulation.RunFor(5s);
    for (auto& [name, node] : this->simulation.nodes) this->simulation.RecoverDisk(name);
    if (!this->simulation.RunUntil(10s, agree)) this->FailWithStates();
  }
};

/// MANGOROAD_SEED=N runs and prints one seed, MANGOROAD_SEED_COUNT=N runs more seeds.
void RunSeeds(DiskFaults disk_faults) {
  const char* chosen = std::getenv("MANGOROAD_SEED");
  const std::uint64_t first = chosen != nullptr ? std::strtoull(chosen, nullptr, 10) : 1;
  const char* count = std::getenv("MANGOROAD_SEED_COUNT");
  const std::uint64_t seeds = count != nullptr ? std::strtoull(count, nullptr, 10) : kSeeds;
  const std::uint64_t last = chosen != nullptr ? first : seeds;
  std::size_t acknowledged = 0;
  std::string fault;
  const auto previous = base::SetSoftAssertHandler(
      [&](const base::AssertFailure& failure) { fault = failure.condition; });
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    SeedRun run(seed, disk_faults);
    run.Run();
    acknowledged += run.Acknowledged();
    if (!fault.empty()) run.simulation.Fail("soft assert: " + fault);
    if (run.simulation.violations.empty() && chosen == nullptr) continue;
    std::string text = fmt::format("seed {}; replay with MANGOROAD_SEED={}\n", seed, seed);
    for (const std::string& line : run.simulation.trace) text += line + "\n";
    WARN(text);
    REQUIRE(run.simulation.violations.empty());
  }
  base::SetSoftAssertHandler(previous);
  // Guards against runs that pass because hardly any operation was acknowledged.
  CHECK(acknowledged > (last - first + 1) * 30);
}

// Guards against two leaders in a term, diverging logs, lost or reverted acknowledged commands,
// reads of old values, overlapping leases, damage by torn writes, and a cluster that doesn't
// recover.
TEST_CASE("safety and recovery under random faults", "[seeds]") { RunSeeds(DiskFaults::kNone); }

// Guards against the same where disks fail for a while: a replica that counts again although its
// disk lacks what it acknowledged or voted, and a cluster that stands still for good.
TEST_CASE("safety and recovery under random faults of disks", "[seeds]") {
  RunSeeds(DiskFaults::kRandom);
}

}  // namespace
}  // namespace mangoroad::consensus::test
