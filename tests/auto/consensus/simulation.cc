#include "simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

#include "consensus/consensus_codec.h"
#include "consensus/durable_log.h"

namespace mangoroad::consensus::test {

using storage::StorageErrorKind;
using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

namespace {

constexpr Duration kTick = 10ms;

std::string CommandOf(const Operation& operation) {
  const bool write = operation.kind == OperationKind::kWrite;
  return fmt::format("{} {} {} {}", write ? "write" : "set", operation.key,
                     operation.expected.empty() ? "-" : operation.expected, operation.value);
}

std::string Serialize(const std::map<std::string, std::string>& registers) {
  std::string text;
  for (const auto& [key, value] : registers) text += fmt::format("{} {}\n", key, value);
  return text;
}

std::string ValueOf(const Node& node, const std::string& key) {
  const auto found = node.registers.find(key);
  return found == node.registers.end() ? "" : found->second;
}

std::map<std::string, std::string> Parse(const std::string& text) {
  std::map<std::string, std::string> registers;
  std::istringstream lines(text);
  for (std::string key, value; lines >> key >> value;) registers[key] = value;
  return registers;
}

}  // namespace

Simulation::Simulation(SimulationOptions given, Configuration first)
    : options(given), first_configuration(std::move(first)), random(given.seed) {
  this->now = TimePoint(1h);
}

void Simulation::Trace(std::string line) {
  const auto since_start = std::chrono::duration<double>(this->now - TimePoint(1h)).count();
  this->trace.push_back(fmt::format("{:9.4f} {}", since_start, line));
}

void Simulation::Fail(const std::string& what) {
  this->Trace("VIOLATION " + what);
  this->violations.push_back(what);
}

Node& Simulation::AddNode(const std::string& name, bool durable) {
  auto node = std::make_unique<Node>();
  node->name = name;
  node->durable = durable;
  node->clock_offset = this->random.Between(0s, 1000s);
  node->clock_rate = 1.0 + this->options.drift * (2 * this->random.Unit() - 1);
  this->nodes[name] = std::move(node);
  this->Start(name);
  return this->At(name);
}

TimePoint Simulation::LocalTime(const Node& node) const {
  const auto elapsed = static_cast<double>((this->now - TimePoint(1h)).count());
  return TimePoint(node.clock_offset +
                   Duration(static_cast<std::int64_t>(elapsed * node.clock_rate)));
}

void Simulation::Start(const std::string& name) {
  Node& node = this->At(name);
  ++node.generation;
  RestoredState restored;
  node.open_error.clear();
  node.registers.clear();
  if (node.durable) {
    auto opened =
        storage::Wal::Open(node.disk, "data", {.segment_bytes = this->options.segment_bytes});
    if (!base::Ok(opened)) {
      node.open_error = base::ErrorOf(opened).message;
      this->Trace(fmt::format("{} doesn't start: {}", name, node.open_error));
      return;
    }
    node.wal = std::move(base::ValueOf(opened).wal);
    restored = TakeRestoredState(base::ValueOf(opened));
  }
  if (restored.snapshot) node.registers = Parse(restored.snapshot->data);
  node.applied = restored.snapshot ? restored.snapshot->index : 0;
  node.compacted = node.applied;
  Config config;
  config.self = name;
  config.first_configuration = this->first_configuration;
  config.incarnation = this->random.Bits() | 1U;
  config.seed = this->random.Bits();
  config.durable = node.durable;
  config.limits = this->options.limits;
  node.replica =
      std::make_unique<Replica>(std::move(config), std::move(restored), this->LocalTime(node));
  this->Trace(fmt::format("{} starts, log up to {}", name, node.replica->GetStatus().last_index));
  const auto tick = std::make_shared<std::function<void()>>();
  *tick = [this, &node, weak = std::weak_ptr(tick)] {
    node.replica->Tick(this->LocalTime(node));
    this->Flush(node);
    this->ScheduleFor(node, kTick, [again = weak.lock()] { (*again)(); });
  };
  this->ScheduleFor(node, this->random.Between(0ms, kTick), [tick] { (*tick)(); });
}

void Simulation::Crash(const std::string& name) {
  Node& node = this->At(name);
  if (!node.IsUp()) return;
  this->Trace(name + " crashes");
  // A write may be in progress: it is partially done and its sync never returned.
  if (node.wal && !node.unsynced.empty() && this->random.Chance(0.7)) {
    node.disk.FailSyncAfter(0);
    StoreOutput(*node.wal, node.unsynced.front());
  }
  node.replica.reset();
  node.wal.reset();
  node.unsynced.clear();
  node.results.clear();
  node.proposed.clear();
  node.requests.clear();
  node.disk_failed = false;
  node.disk.Crash(this->random);
}

void Simulation::Pause(const std::string& name, Duration length) {
  this->Trace(fmt::format("{} pauses for {} ms", name, length.count() / 1000));
  this->At(name).paused_until = this->now + length;
}

void Simulation::JumpClock(const std::string& name, Duration by) {
  this->Trace(fmt::format("clock of {} jumps by {} ms", name, by.count() / 1000));
  this->At(name).clock_offset += by;
}

void Simulation::Cut(const std::string& from, const std::string& to) {
  this->Trace(fmt::format("cut {} -> {}", from, to));
  this->cuts.emplace(from, to);
}

void Simulation::CutBothWays(const std::string& a, const std::string& b) {
  this->Cut(a, b);
  this->Cut(b, a);
}

void Simulation::Isolate(const std::string& name) {
  for (const auto& [other, node] : this->nodes) {
    if (other != name) this->CutBothWays(name, other);
  }
}

void Simulation::Heal() {
  this->Trace("all links healed");
  this->cuts.clear();
}

void Simulation::Schedule(Duration delay, std::function<void()> run) {
  this->events.push({this->now + delay, ++this->next_order, std::move(run)});
}

/// Runs on the node unless its process ends first; a paused process runs it when it resumes.
void Simulation::ScheduleFor(Node& node, Duration delay, std::function<void()> run) {
  this->Schedule(delay, [this, &node, generation = node.generation, run = std::move(run)] {
    if (!node.IsUp() || node.generation != generation) return;
    if (this->now < node.paused_until) {
      this->ScheduleFor(node, node.paused_until - this->now, run);
    } else {
      run();
    }
  });
}

void Simulation::RunFor(Duration length) {
  this->RunUntil(length, [] { return false; });
}

bool Simulation::RunUntil(Duration limit, const std::function<bool()>& done) {
  const TimePoint end = this->now + limit;
  while (!done()) {
    if (this->events.empty() || this->events.top().at > end) {
      this->now = end;
      return done();
    }
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.run();
  }
  return true;
}

void Simulation::Act(const std::string& name,
                     const std::function<void(Replica&, TimePoint)>& action) {
  Node& node = this->At(name);
  action(*node.replica, this->LocalTime(node));
  this->Flush(node);
}

void Simulation::Flush(Node& node) {
  Output output = node.replica->TakeOutput();
  this->CheckLeader(node);
  for (const Message& message : output.messages) this->Transmit(node, message);
  for (const LogEntry& entry : output.entries_to_sync) this->CheckEntry(entry);
  if (output.restore_snapshot) {
    node.registers = Parse(output.snapshot_to_sync->data);
    node.applied = output.snapshot_to_sync->index;
    node.compacted = node.applied;
  }
  for (const LogEntry& entry : output.committed) this->Apply(node, entry);
  this->Resolve(node, output);
  this->Compact(node);
  const bool to_store = output.sync_id != 0 || output.hard_state;
  if (!to_store || node.disk_failed || !node.durable) return;
  output.messages.clear();
  node.unsynced.push_back(std::move(output));
  const Duration time =
      this->random.Between(this->options.sync_min, this->options.sync_max) + node.extra_sync_time;
  if (node.unsynced.size() == 1) {
    this->ScheduleFor(node, time, [this, &node] { this->Store(node); });
  }
}

/// Stores the outputs queued while the disk was busy, as a writer thread would.
void Simulation::Store(Node& node) {
  std::uint64_t last_id = 0;
  for (const Output& output : node.unsynced) {
    const auto stored = StoreOutput(*node.wal, output);
    if (!base::Ok(stored)) {
      this->FailDisk(node, base::ErrorOf(stored));
      return;
    }
    last_id = std::max(last_id, output.sync_id);
  }
  node.unsynced.clear();
  node.replica->OnSynced(this->LocalTime(node), last_id);
  this->Flush(node);
}

void Simulation::FailDisk(Node& node, const storage::StorageError& error) {
  this->Trace(fmt::format("disk of {} fails: {}", node.name, error.message));
  node.disk_failed = true;
  node.unsynced.clear();
  node.replica->OnStorageFailed(this->LocalTime(node));
  this->Flush(node);
}

bool Simulation::RecoverDisk(const std::string& name) {
  Node& node = this->At(name);
  if (!node.IsUp() || !node.disk_failed || this->now < node.paused_until) return false;
  const auto recovered = node.wal->Recover();
  this->Trace(fmt::format("disk of {} {}", name,
                          base::Ok(recovered) ? "recovers" : base::ErrorOf(recovered).message));
  if (!base::Ok(recovered)) return false;
  node.disk_failed = false;
  node.replica->OnStorageRecovered(this->LocalTime(node));
  this->Flush(node);
  return true;
}

void Simulation::Transmit(Node& from, const Message& message) {
  auto bytes = std::make_shared<const std::string>(EncodeMessage(message));
  from.sent_bytes += bytes->size();
  ++from.sent_messages;
  const auto target = this->nodes.find(message.to);
  const NetworkOptions& network = this->options.network;
  if (target == this->nodes.end() || this->cuts.contains({message.from, message.to})) return;
  const int copies = this->random.Chance(network.duplicate) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (this->random.Chance(network.loss)) continue;
    Duration delay = this->random.Between(network.delay_min, network.delay_max);
    if (this->random.Chance(network.slow)) delay *= 1 + this->random.Below(10);
    Node& to = *target->second;
    this->Schedule(delay, [this, &to, sender = message.from, bytes] {
      if (!to.IsUp() || this->cuts.contains({sender, to.name})) return;
      this->ScheduleFor(to, 0us, [this, &to, bytes] {
        auto received = DecodeMessage(*bytes);
        if (!received) return this->Fail("a message can't be decoded");
        to.replica->Step(this->LocalTime(to), std::move(*received));
        this->Flush(to);
      });
    });
  }
}

void Simulation::Apply(Node& node, const LogEntry& entry) {
  if (entry.index != node.applied + 1) {
    this->Fail(fmt::format("{} applies {} after {}", node.name, entry.index, node.applied));
  }
  node.applied = entry.index;
  const auto [known, is_new] = this->committed.try_emplace(entry.index, entry.term, entry.data);
  if (!is_new && known->second != std::pair(entry.term, entry.data)) {
    this->Fail(fmt::format("{} applies another entry {} (term {}, before term {})", node.name,
                           entry.index, entry.term, known->second.first));
  }
  if (entry.kind == EntryKind::kCommand) {
    std::istringstream words(entry.data);
    std::string action;
    std::string key;
    std::string expected;
    std::string value;
    words >> action >> key >> expected >> value;
    const bool sets = action == "write" || ValueOf(node, key) == expected;
    if (sets) node.registers[key] = value;
    node.results[entry.index] = sets ? "ok" : "failed";
  }
  if (this->on_apply) this->on_apply(node, entry);
}

void Simulation::Compact(Node& node) {
  if (node.applied < node.compacted + this->options.compact_every) return;
  if (node.replica->CompactTo(node.applied, Serialize(node.registers))) {
    node.compacted = node.applied;
  }
}

void Simulation::Resolve(Node& node, const Output& output) {
  for (const ResolvedProposal& proposal : output.resolved) {
    auto known = proposal.forward ? node.requests.extract(*proposal.forward)
                                  : decltype(node.requests)::node_type();
    auto own = proposal.forward ? decltype(node.proposed)::node_type()
                                : node.proposed.extract({proposal.id.term, proposal.id.index});
    if (!known && !own) continue;
    Operation& operation = this->operations[known ? known.mapped() : own.mapped()];
    const bool committed_here = node.results.contains(proposal.id.index);
    // A command that came with a snapshot is committed, but its result isn't known here.
    if (proposal.outcome != ProposalOutcome::kLost && !committed_here) continue;
    operation.end = this->now;
    operation.lost = proposal.outcome == ProposalOutcome::kLost;
    if (!operation.lost) operation.result = node.results[proposal.id.index];
  }
  for (const ResolvedRead& read : output.reads) {
    const auto known = node.requests.extract(read.number);
    if (!known) continue;
    Operation& operation = this->operations[known.mapped()];
    operation.lost = !read.index || *read.index > node.applied;
    operation.end = this->now;
    operation.result = ValueOf(node, operation.key);
  }
  while (node.results.size() > 1000) node.results.erase(node.results.begin());
}

std::optional<std::size_t> Simulation::Begin(const std::string& name, Operation operation) {
  Node& node = this->At(name);
  if (!node.IsUp() || this->now < node.paused_until) return std::nullopt;
  operation.start = this->now;
  const std::size_t position = this->operations.size();
  const TimePoint local = this->LocalTime(node);
  if (operation.kind == OperationKind::kRead) {
    node.requests[node.replica->ReadIndex(local)] = position;
  } else if (node.replica->IsLeader()) {
    const auto proposed = node.replica->Propose(local, CommandOf(operation));
    if (!base::Ok(proposed)) return std::nullopt;
    const ProposalId id = base::ValueOf(proposed);
    node.proposed[{id.term, id.index}] = position;
  } else {
    const auto forwarded = node.replica->Forward(local, CommandOf(operation));
    if (!base::Ok(forwarded)) return std::nullopt;
    node.requests[base::ValueOf(forwarded)] = position;
  }
  this->operations.push_back(std::move(operation));
  this->Flush(node);
  return position;
}

/// Checks election safety, and that no lease of an earlier leader is valid when one is elected.
void Simulation::CheckLeader(const Node& node) {
  if (!node.replica->IsLeader()) return;
  const Term term = node.replica->GetStatus().term;
  const auto [known, is_new] = this->leaders.try_emplace(term, node.name);
  if (known->second != node.name) {
    this->Fail(fmt::format("{} and {} lead in term {}", known->second, node.name, term));
  }
  if (!is_new) return;
  this->Trace(fmt::format("{} leads in term {}", node.name, term));
  if (this->on_leader) this->on_leader(node);
  for (const auto& [name, other] : this->nodes) {
    if (name != node.name && other->IsUp() &&
        other->replica->HasLeaderLease(this->LocalTime(*other)) &&
        other->replica->GetStatus().term < term) {
      this->Fail(fmt::format("{} leads while {} holds a lease", node.name, name));
    }
  }
}

/// Checks log matching: index and term determine an entry.
void Simulation::CheckEntry(const LogEntry& entry) {
  const auto [known, is_new] = this->written.try_emplace({entry.index, entry.term}, entry.data);
  if (!is_new && known->second != entry.data) {
    this->Fail(fmt::format("two entries {} of term {}", entry.index, entry.term));
  }
}

Node* Simulation::Leader() {
  Node* leader = nullptr;
  Term term = 0;
  for (const auto& [name, node] : this->nodes) {
    if (!node->IsUp() || !node->replica->IsLeader()) continue;
    const Term own = node->replica->GetStatus().term;
    if (own > term) leader = node.get();
    term = std::max(term, own);
  }
  return leader;
}

bool Simulation::AllAgree() {
  const Node* leader = this->Leader();
  if (leader == nullptr) return false;
  const Configuration members = leader->replica->GetStatus().configuration;
  return std::ranges::all_of(this->nodes, [&](const auto& item) {
    const Node& node = *item.second;
    return !members.Has(node.name) || !node.IsUp() ||
           (node.applied == leader->applied && node.registers == leader->registers);
  });
}

}  // namespace mangoroad::consensus::test
