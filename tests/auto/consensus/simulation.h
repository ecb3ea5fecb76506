// Simulated replicas with fake disks and a fake network in virtual time, with safety checks.
#pragma once

#include <cstdint>
#include <deque>
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
#include "consensus/replica.h"
#include "storage/fake_disk.h"
#include "storage/wal.h"

namespace mangoroad::consensus::test {

using base::Duration;
using base::TimePoint;

struct NetworkOptions {
  Duration delay_min = std::chrono::milliseconds(4);
  Duration delay_max = std::chrono::milliseconds(5);
  double loss = 0.0;
  double duplicate = 0.0;
  /// Fraction of the messages that are delayed up to ten times longer, and so are reordered.
  double slow = 0.0;
};

struct SimulationOptions {
  std::uint64_t seed = 1;
  NetworkOptions network;
  /// Bounds of the time of a sync.
  Duration sync_min = std::chrono::microseconds(200);
  Duration sync_max = std::chrono::milliseconds(2);
  /// Applied entries after which a replica takes a snapshot.
  Index compact_every = 50;
  std::uint64_t segment_bytes = 16U << 10U;
  /// Largest deviation of a clock's rate.
  double drift = 0.004;
  Limits limits{.snapshot_chunk_bytes = 256, .retained_entries = 20};
};

enum class OperationKind { kRead, kWrite, kCompareAndSet };

/// An operation on one register as its client saw it. Without an end its outcome is unknown.
struct Operation {
  OperationKind kind = OperationKind::kRead;
  std::string key;
  std::string expected;
  std::string value;
  /// The value read, or "ok" or "failed" of a compare-and-set.
  std::string result;
  TimePoint start;
  std::optional<TimePoint> end;
  /// The replica reported that the command is lost.
  bool lost = false;
};

struct Node {
  std::string name;
  bool durable = true;
  storage::FakeDisk disk;
  std::unique_ptr<storage::Wal> wal;
  std::unique_ptr<Replica> replica;
  /// Why the node didn't start; empty when it did.
  std::string open_error;
  bool disk_failed = false;
  /// Added to the time of each sync.
  Duration extra_sync_time{0};
  std::uint64_t generation = 0;
  TimePoint paused_until;
  Duration clock_offset{0};
  double clock_rate = 1.0;
  std::deque<Output> unsynced;
  std::map<std::string, std::string> registers;
  std::map<Index, std::string> results;
  Index applied = 0;
  Index compacted = 0;
  std::map<std::pair<Term, Index>, std::size_t> proposed;
  std::map<RequestNumber, std::size_t> requests;
  std::uint64_t sent_bytes = 0;
  std::uint64_t sent_messages = 0;

  bool IsUp() const { return this->replica != nullptr; }
};

class Simulation {
 public:
  Simulation(SimulationOptions given, Configuration first);

  /// Adds a node and starts it.
  Node& AddNode(const std::string& name, bool durable = true);
  void Start(const std::string& name);
  /// Power loss; unsynced data is lost in part.
  void Crash(const std::string& name);
  /// Tries a failed disk again, as LogService does; false when it still fails.
  bool RecoverDisk(const std::string& name);
  void Pause(const std::string& name, Duration length);
  /// Moves a node's clock forward.
  void JumpClock(const std::string& name, Duration by);
  /// Drops messages from `from` to `to`, one way.
  void Cut(const std::string& from, const std::string& to);
  void CutBothWays(const std::string& a, const std::string& b);
  /// Cuts a node off from all others.
  void Isolate(const std::string& name);
  void Heal();
  void RunFor(Duration length);
  /// Runs until `done` or the time is over; returns the last value of `done`.
  bool RunUntil(Duration limit, const std::function<bool()>& done);

  /// Starts an operation at a node and returns its position in `operations`; nothing when the node
  /// refused it, so that it has certainly not been executed.
  std::optional<std::size_t> Begin(const std::string& name, Operation operation);
  /// Calls `action` with the replica and handles its output.
  void Act(const std::string& name, const std::function<void(Replica&, TimePoint)>& action);

  /// The leader with the highest term among the nodes that are up; null when there is none.
  Node* Leader();
  Node& At(const std::string& name) { return *this->nodes.at(name); }
  TimePoint LocalTime(const Node& node) const;
  bool AllAgree();
  void Trace(std::string line);
  void Fail(const std::string& what);

  SimulationOptions options;
  Configuration first_configuration;
  base::Random random;
  TimePoint now;
  std::map<std::string, std::unique_ptr<Node>> nodes;
  std::vector<Operation> operations;
  std::vector<std::string> trace;
  std::vector<std::string> violations;
  std::function<void(const Node&, const LogEntry&)> on_apply;
  std::function<void(const Node&)> on_leader;

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::pair(this->at, this->order) > std::pair(other.at, other.order);
    }
  };

  void Schedule(Duration delay, std::function<void()> run);
  void ScheduleFor(Node& node, Duration delay, std::function<void()> run);
  void Flush(Node& node);
  void Transmit(Node& from, const Message& message);
  void Store(Node& node);
  void Apply(Node& node, const LogEntry& entry);
  void Compact(Node& node);
  void Resolve(Node& node, const Output& output);
  void CheckLeader(const Node& node);
  void CheckEntry(const LogEntry& entry);
  void FailDisk(Node& node, const storage::StorageError& error);

  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t next_order = 0;
  std::set<std::pair<std::string, std::string>> cuts;
  std::map<Term, std::string> leaders;
  std::map<Index, std::pair<Term, std::string>> committed;
  std::map<std::pair<Index, Term>, std::string> written;
};

}  // namespace mangoroad::consensus::test
