// Runs the scripts in tests/scenarios/state. Each line is a command of the table below; '#' starts
// a comment. Durations are a number with ms or s.
#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include "simulation.h"

namespace mangoroad::consensus::test {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using Words = std::vector<std::string>;

Duration ReadDuration(const std::string& text) {
  std::size_t digits = 0;
  const std::int64_t number = std::stoll(text, &digits);
  if (text.substr(digits) == "ms") return Duration(number * 1000);
  if (text.substr(digits) == "s") return Duration(number * 1000000);
  throw std::invalid_argument("no duration: " + text);
}

class Interpreter {
 public:
  /// Returns an empty string if the script passes, otherwise the line and the failure.
  std::string Run(const std::filesystem::path& script) {
    std::ifstream file(script);
    std::string line;
    for (int number = 1; std::getline(file, line); ++number) {
      std::istringstream stream(line.substr(0, line.find('#')));
      Words words;
      for (std::string word; stream >> word;) words.push_back(word);
      if (words.empty()) continue;
      const std::string fault = this->RunLine(words);
      if (!fault.empty()) {
        return fmt::format("{}:{}: {}: {}", script.filename().string(), number, line, fault);
      }
      if (!this->simulation->violations.empty()) {
        return fmt::format("{}:{}: {}", script.filename().string(), number,
                           this->simulation->violations.front());
      }
    }
    return {};
  }

  std::vector<std::string> Trace() const { return this->simulation->trace; }

 private:
  using Handler = std::string (Interpreter::*)(const Words&);
  struct Command {
    Handler handler;
    std::size_t arguments;
  };

  static const std::map<std::string, Command>& Commands() {
    static const std::map<std::string, Command> commands{
        {"voters", {&Interpreter::Voters, 1}},             // voters a b c
        {"node", {&Interpreter::AddNode, 1}},              // node d [diskless]
        {"run", {&Interpreter::RunFor, 1}},                // run 3600s
        {"cut", {&Interpreter::Cut, 2}},                   // cut a b
        {"cut-to", {&Interpreter::CutTo, 2}},              // cut-to a b: from a to b only
        {"isolate", {&Interpreter::Isolate, 1}},           // isolate a
        {"heal", {&Interpreter::Heal, 0}},                 // heal
        {"crash", {&Interpreter::Crash, 1}},               // crash a
        {"start", {&Interpreter::Start, 1}},               // start a
        {"pause", {&Interpreter::Pause, 2}},               // pause a 5s
        {"jump", {&Interpreter::Jump, 2}},                 // jump a 5s
        {"propose", {&Interpreter::Propose, 2}},           // propose a x [expect-refusal]
        {"propose-many", {&Interpreter::ProposeMany, 2}},  // propose-many a 500
        {"compact", {&Interpreter::CompactEvery, 1}},      // compact 100
        {"change", {&Interpreter::Change, 3}},       // change a add|promote|remove d [expect KIND]
        {"transfer", {&Interpreter::Transfer, 2}},   // transfer a b
        {"full-disk", {&Interpreter::FullDisk, 1}},  // full-disk a
        {"free-disk", {&Interpreter::FreeDisk, 1}},  // free-disk a
        {"fail-sync", {&Interpreter::FailSync, 1}},  // fail-sync a
        {"recover-disk", {&Interpreter::RecoverDisk, 1}},  // recover-disk a
        {"flip", {&Interpreter::Flip, 3}},                 // flip a FILE OFFSET
        {"tear", {&Interpreter::Tear, 3}},                 // tear a FILE BYTES
        {"expect", {&Interpreter::Expect, 1}},             // see the table of expectations
    };
    return commands;
  }

  std::string RunLine(const Words& words) {
    const auto command = Commands().find(words.front());
    if (command == Commands().end()) return "unknown command";
    if (words.size() <= command->second.arguments) return "too few arguments";
    try {
      return (this->*command->second.handler)(words);
    } catch (const std::logic_error& error) {
      return fmt::format("no such name or number ({})", error.what());
    }
  }

  Simulation& S() { return *this->simulation; }
  /// "leader" names the current leader.
  std::string NameOf(const std::string& word) {
    if (word != "leader") return word;
    const Node* leader = this->S().Leader();
    return leader == nullptr ? std::string() : leader->name;
  }
  Node& At(const std::string& word) { return this->S().At(this->NameOf(word)); }

  std::string Voters(const Words& words) {
    SimulationOptions options;
    options.compact_every = 1000000;
    options.segment_bytes = 4096;
    this->simulation =
        std::make_unique<Simulation>(options, Configuration{{words.begin() + 1, words.end()}, {}});
    for (const std::string& name : this->S().first_configuration.voters) this->S().AddNode(name);
    return {};
  }
  std::string AddNode(const Words& words) {
    this->S().AddNode(words[1], words.size() < 3 || words[2] != "diskless");
    return {};
  }
  std::string RunFor(const Words& words) {
    this->S().RunFor(ReadDuration(words[1]));
    return {};
  }
  std::string Cut(const Words& words) {
    this->S().CutBothWays(words[1], words[2]);
    return {};
  }
  std::string CutTo(const Words& words) {
    this->S().Cut(words[1], words[2]);
    return {};
  }
  std::string Isolate(const Words& words) {
    this->marked = this->NameOf(words[1]);
    this->S().Isolate(this->marked);
    return {};
  }
  std::string Heal(const Words& /*words*/) {
    this->S().Heal();
    return {};
  }
  std::string Crash(const Words& words) {
    this->marked = this->NameOf(words[1]);
    this->S().Crash(this->marked);
    return {};
  }
  std::string Start(const Words& words) {
    this->S().Start(words[1] == "crashed" ? this->marked : words[1]);
    return {};
  }
  std::string Pause(const Words& words) {
    this->marked = this->NameOf(words[1]);
    this->S().Pause(this->marked, ReadDuration(words[2]));
    return {};
  }
  std::string Jump(const Words& words) {
    this->S().JumpClock(this->NameOf(words[1]), ReadDuration(words[2]));
    return {};
  }
  std::string Propose(const Words& words) {
    Operation operation;
    operation.kind = OperationKind::kWrite;
    operation.key = words[2];
    operation.value = std::string(1, '1');
    const std::string name = words[1] == "isolated" ? this->marked : this->NameOf(words[1]);
    const auto position = this->S().Begin(name, operation);
    const bool refusal_expected = words.size() > 3 && words[3] == "expect-refusal";
    if (position) this->proposed[words[2]] = *position;
    return position.has_value() == refusal_expected ? "accepted is not as expected" : "";
  }
  std::string ProposeMany(const Words& words) {
    for (int i = 0; i < std::stoi(words[2]); ++i) {
      const std::string fault = this->Propose({"propose", words[1], fmt::format("k{}", i)});
      if (!fault.empty()) return fault;
      this->S().RunFor(5ms);
    }
    return {};
  }
  std::string CompactEvery(const Words& words) {
    this->S().options.compact_every = static_cast<Index>(std::stoull(words[1]));
    return {};
  }
  std::string Change(const Words& words) {
    std::string fault;
    const std::string_view expected = words.size() > 5 ? std::string_view(words[5]) : "ok";
    const std::string target = this->NameOf(words[3]);
    this->S().Act(this->NameOf(words[1]), [&](Replica& replica, TimePoint now) {
      const auto result = words[2] == "add"       ? replica.AddLearner(now, target)
                          : words[2] == "promote" ? replica.Promote(now, target)
                                                  : replica.Remove(now, target);
      const std::string found(
          base::Ok(result) ? "ok" : base::NameOf(kProposeErrorNames, base::ErrorOf(result).kind));
      if (found != expected) fault = fmt::format("gives {}", found);
    });
    return fault;
  }
  std::string Transfer(const Words& words) {
    if (this->NameOf(words[1]) == words[2]) return {};
    std::string fault;
    this->S().Act(this->NameOf(words[1]), [&](Replica& replica, TimePoint now) {
      const auto result = replica.TransferLeadership(now, words[2]);
      if (!base::Ok(result)) fault = base::ErrorOf(result).message;
    });
    return fault;
  }
  std::string FullDisk(const Words& words) {
    this->marked = this->NameOf(words[1]);
    this->At(this->marked).disk.SetCapacity(this->At(this->marked).disk.UsedBytes() + 20);
    return {};
  }
  std::string FreeDisk(const Words& words) {
    const std::string name = words[1] == "marked" ? this->marked : words[1];
    this->At(name).disk.SetCapacity(1U << 30U);
    return {};
  }
  std::string FailSync(const Words& words) {
    this->marked = this->NameOf(words[1]);
    this->At(this->marked).disk.FailSyncAfter(0);
    return {};
  }
  std::string RecoverDisk(const Words& words) {
    return this->S().RecoverDisk(words[1] == "marked" ? this->marked : words[1]) ? "" : "not so";
  }
  std::string Flip(const Words& words) {
    const bool done =
        this->At(words[1]).disk.FlipBit(fmt::format("data/{}", words[2]), std::stoull(words[3]), 3);
    return done ? "" : "no such byte";
  }
  std::string Tear(const Words& words) {
    storage::FakeDisk& disk = this->At(words[1]).disk;
    const auto bytes = disk.Read(fmt::format("data/{}", words[2]));
    if (!base::Ok(bytes)) return "no such file";
    disk.CutFile(fmt::format("data/{}", words[2]),
                 base::ValueOf(bytes).size() - std::stoull(words[3]));
    return {};
  }

  std::string Expect(const Words& words) {
    using Check = std::function<bool(const Words&)>;
    const auto outcome = [this](const std::string& key) -> const Operation& {
      return this->S().operations[this->proposed.at(key)];
    };
    const std::map<std::string, Check> checks{
        {"committed", [&](auto& w) { return outcome(w[2]).end && !outcome(w[2]).lost; }},
        {"lost", [&](auto& w) { return outcome(w[2]).end && outcome(w[2]).lost; }},
        {"open", [&](auto& w) { return !outcome(w[2]).end; }},
        {"leader", [&](auto& w) { return this->NameOf("leader") == w[2]; }},
        {"not-leader",
         [&](auto& w) {
           const std::string leader = this->NameOf("leader");
           return !leader.empty() && leader != w[2];
         }},
        {"some-leader", [&](auto&) { return this->S().Leader() != nullptr; }},
        {"no-leader", [&](auto&) { return this->S().Leader() == nullptr; }},
        {"other-leader", [&](auto&) { return this->IsOtherLeader(); }},
        {"agreement", [&](auto&) { return this->S().AllAgree(); }},
        {"applied", [&](auto& w) { return this->At(w[2]).registers.contains(w[3]); }},
        {"not-applied", [&](auto& w) { return !this->At(w[2]).registers.contains(w[3]); }},
        {"no-lease", [&](auto& w) { return !this->HasLease(w[2]); }},
        {"lease", [&](auto& w) { return this->HasLease(w[2]); }},
        {"stopped", [&](auto& w) { return this->IsStoppedFor(w[2], w[3]); }},
        {"disk-failed", [&](auto&) { return this->At(this->marked).disk_failed; }},
        {"voter", [&](auto& w) { return this->Members().HasVoter(w[2]); }},
        {"no-replica", [&](auto& w) { return !this->Members().Has(w[2]); }},
    };
    const auto check = checks.find(words[1]);
    if (check == checks.end()) return "unknown expectation";
    return check->second(words) ? "" : "not so";
  }
  bool IsOtherLeader() {
    const std::string leader = this->NameOf("leader");
    return !leader.empty() && leader != this->marked;
  }
  bool HasLease(const std::string& word) {
    const Node& node = this->At(word == "marked" ? this->marked : word);
    return node.replica->HasLeaderLease(this->S().LocalTime(node));
  }
  bool IsStoppedFor(const std::string& name, const std::string& text) {
    const Node& node = this->At(name);
    return node.open_error.find(text) != std::string::npos;
  }
  Configuration Members() { return this->At("leader").replica->GetStatus().configuration; }

  std::unique_ptr<Simulation> simulation;
  std::map<std::string, std::size_t> proposed;
  /// The node of the last fault.
  std::string marked;
};

// Guards against the failure that each script describes in its first line.
TEST_CASE("scripted scenarios", "[scenarios]") {
  const std::filesystem::path folder =
      std::filesystem::path(MANGOROAD_SOURCE_DIR) / "tests/scenarios/state";
  std::vector<std::filesystem::path> scripts;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    scripts.push_back(entry.path());
  }
  std::ranges::sort(scripts);
  REQUIRE(scripts.size() >= 10);
  for (const auto& script : scripts) {
    Interpreter interpreter;
    const std::string fault = interpreter.Run(script);
    INFO(fmt::format("{}", fmt::join(interpreter.Trace(), "\n")));
    CHECK(fault.empty());
    if (!fault.empty()) WARN(fault);
  }
}

}  // namespace
}  // namespace mangoroad::consensus::test
