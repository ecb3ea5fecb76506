// Real core and edge processes with stand-in targets that restart without a reset of their
// connections, then are cut off while the leader fails. Exit status: 0 the rule TWICE held, 1 it
// was broken, 2 the run doesn't count.
#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "lab/check.h"
#include "lab/deployment.h"
#include "target.h"

namespace {

using nlohmann::json;

constexpr int kDomains = 3;
constexpr int kTargetsPerDomain = 4;
constexpr int kClients = 4;
constexpr int kJobIntervalMs = 250;
constexpr int kMaxTasks = 4;
constexpr int kShortestTaskMs = 200;
constexpr int kLongestTaskMs = 14'000;
constexpr int kSubmitTimeoutMs = 12'000;
constexpr int kFirstRoundMs = 4'000;
constexpr const char* kLaunch = "--launch";

struct Options {
  std::string program;
  std::uint64_t seed = 1;
  std::int64_t seconds = 80;
  int late_percent = 6;
  std::string record = "/dev/null";
  std::string log_levels = "info";
  bool reports_open_fault = false;
};

/// The lab's deployment starts this program for each machine: it puts the limit of leases into the
/// settings and becomes the program under test.
int Launch(char** words) {
  const char* path = std::getenv("MANGOROAD_BOOT");
  if (path == nullptr) return lab::kCouldNotRun;
  json settings;
  std::ifstream(path) >> settings;
  settings["bounds"]["hold-max-ms"] = soak::kHoldMaxMs;
  std::ofstream(path) << settings.dump(1);
  execv(words[0], words);
  return lab::kCouldNotRun;
}

/// The lab's deployment reads the commands of its processes from the current folder.
std::filesystem::path EnterWorkFolder(const Options& options) {
  std::string pattern = std::filesystem::temp_directory_path() / "mangoroad-soak-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
  std::filesystem::current_path(pattern);
  std::filesystem::create_directory("deploy");
  std::ofstream file("deploy/system.toml");
  const std::string launcher = std::filesystem::read_symlink("/proc/self/exe");
  for (const char* role : {"edge", "core"}) {
    file << fmt::format("[roles.{}]\nrun = \"{} {} {} {} --log-levels {}\"\n", role, launcher,
                        kLaunch, options.program, role, options.log_levels);
  }
  file << fmt::format("env = {{ MANGOROAD_PEER_KEY = \"{}\" }}\n", std::string(64, 'a'));
  return pattern;
}

class Soak {
 public:
  Soak(lab::Record& run_record, const Options& run_options)
      : record(run_record), options(run_options), deployment(run_record), random(run_options.seed) {
    this->PlanRounds();
  }

  int Run() {
    this->deployment.StartAll();
    if (!this->deployment.Configure(lab::Configuration(1), 15'000)) return lab::kCouldNotRun;
    this->StartTargets();
    const std::int64_t begin = this->record.Now();
    this->end = begin + this->options.seconds * 1'000;
    std::vector<std::thread> clients;
    clients.reserve(kClients);
    for (int client = 0; client < kClients; ++client) {
      clients.emplace_back([this, client, begin] { this->SubmitJobs(client, begin); });
    }
    for (const Event& event : this->events) {
      const std::int64_t wait = begin + event.at - this->record.Now();
      if (wait > 0) lab::Sleep(static_cast<int>(wait));
      event.act();
    }
    const std::int64_t rest = this->end - this->record.Now();
    if (rest > 0) lab::Sleep(static_cast<int>(rest));
    for (std::thread& client : clients) client.join();
    return this->Judge();
  }

 private:
  struct Event {
    std::int64_t at = 0;
    std::function<void()> act;
  };

  int Draw(int low, int high) {
    return low + static_cast<int>(this->random() % static_cast<std::uint64_t>(high - low + 1));
  }

  void At(std::int64_t at, std::function<void()> act) {
    this->events.push_back({at, std::move(act)});
  }

  void PlanRounds() {
    const std::int64_t last = this->options.seconds * 1'000;
    for (std::int64_t at = kFirstRoundMs; (at = this->PlanRound(at)) <= last; ++this->rounds) {
      at += this->Draw(500, 2'500);
    }
    std::erase_if(this->events, [last](const Event& event) { return event.at > last; });
    std::ranges::sort(this->events, {}, &Event::at);
  }

  /// Returns when the round ends.
  std::int64_t PlanRound(std::int64_t begin) {
    const int domain = this->Draw(0, kDomains - 1);
    const int spared = this->Draw(0, 1) == 0 ? this->Draw(0, kTargetsPerDomain - 1) : -1;
    std::vector<std::size_t> members;
    for (int i = 0; i < kTargetsPerDomain; ++i) {
      if (i != spared) members.push_back(static_cast<std::size_t>(domain * kTargetsPerDomain + i));
    }
    const auto restart = [&](std::int64_t from) {
      std::int64_t last = from;
      for (const std::size_t member : members) {
        const std::int64_t back = from + this->Draw(50, 900);
        this->At(from, [this, member] { this->targets[member]->Down(); });
        this->At(back, [this, member] { this->targets[member]->Up(); });
        last = std::max(last, back);
      }
      return last;
    };
    const std::int64_t cut = restart(begin) + this->Draw(200, 1'600);
    const std::int64_t cut_end = cut + this->Draw(3'000, 12'000);
    for (const std::size_t member : members) {
      this->At(cut, [this, member] { this->targets[member]->Cut(true); });
      this->At(cut_end, [this, member] { this->targets[member]->Cut(false); });
    }
    if (this->Draw(0, 1) == 0) restart(cut + this->Draw(300, 1'800));
    // From before the restart to after the cut, so that any of the calls between may be open.
    const std::int64_t fault = begin + this->Draw(0, static_cast<int>(cut - begin) + 800);
    const int kind = this->Draw(0, 2);
    const std::int64_t fault_end =
        fault + (kind == 0 ? this->Draw(2'500, 6'000) : this->Draw(300, 3'000));
    this->At(fault, [this, kind] { this->StopLeader(kind == 2); });
    this->At(fault_end, [this] { this->RestoreLeader(); });
    return std::max(cut_end, fault_end);
  }

  void StopLeader(bool pause) {
    this->victim = this->deployment.Leader();
    if (this->victim == nullptr) return;
    this->is_paused = pause;
    if (pause) {
      this->deployment.Signal(*this->victim, SIGSTOP);
    } else {
      this->deployment.Kill(*this->victim);
    }
  }

  void RestoreLeader() {
    if (this->victim == nullptr) return;
    if (this->is_paused) {
      this->deployment.Signal(*this->victim, SIGCONT);
    } else {
      this->deployment.Start(*this->victim, false);
    }
    this->victim = nullptr;
  }

  void StartTargets() {
    std::vector<lab::Address> control;
    for (const lab::Machine* core : this->deployment.Role("core")) {
      control.push_back(this->deployment.Control(*core));
    }
    for (int domain = 0; domain < kDomains; ++domain) {
      for (int i = 0; i < kTargetsPerDomain; ++i) {
        soak::TargetSettings settings;
        settings.domain = lab::Deployment::ZoneName(domain);
        settings.id = settings.domain + std::to_string(i);
        settings.service = lab::kService;
        settings.address = this->deployment.WorkerAddress(domain, i);
        settings.control = control;
        settings.late_percent = this->options.late_percent;
        settings.seed = this->options.seed * 100 + this->targets.size();
        this->targets.push_back(std::make_unique<soak::Target>(this->record, settings));
        this->targets.back()->Up();
      }
    }
  }

  /// Each client sends every kClients-th job.
  void SubmitJobs(int client, std::int64_t begin) {
    std::mt19937_64 draws(this->options.seed * 1'000 + static_cast<std::uint64_t>(client));
    for (int number = client;; number += kClients) {
      const std::int64_t due = begin + std::int64_t{number} * kJobIntervalMs;
      if (due >= this->end) return;
      const std::int64_t wait = due - this->record.Now();
      if (wait > 0) lab::Sleep(static_cast<int>(wait));
      const auto work =
          kShortestTaskMs + static_cast<int>(draws() % (kLongestTaskMs - kShortestTaskMs));
      json step{{"count", 1 + draws() % kMaxTasks}};
      step.update({{"cpu", 1'000}, {"mem-mb", 256}, {"est-ms", work}});
      const json job{{"spec", "ms=" + std::to_string(work)}, {"steps", json::array({step})}};
      const std::string id = fmt::format("{:016x}", number + 1);
      ++this->sent;
      if (lab::Submit(this->record, this->deployment, id, job.dump(), kSubmitTimeoutMs)) {
        ++this->accepted;
      }
    }
  }

  int Judge() {
    std::vector<soak::RunRecord> runs;
    for (const auto& target : this->targets) {
      std::ranges::move(target->Runs(), std::back_inserter(runs));
    }
    const auto done = std::ranges::count(runs, "done", &soak::RunRecord::how);
    std::vector<soak::DoubleRun> cases = soak::FindDoubleRuns(runs, this->record.Now());
    for (const soak::DoubleRun& found : cases) this->record.Result(found.text);
    if (this->options.reports_open_fault) {
      std::erase_if(cases, [](const soak::DoubleRun& found) { return !found.is_overlap; });
    }
    const auto late = std::ranges::count_if(runs, [](const soak::RunRecord& run) {
      return run.order.is_late && run.order.incarnation != run.incarnation;
    });
    this->record.Result(fmt::format(
        "seed {}, {} s, {}% late, {} whole rounds: {} of {} jobs accepted, {} runs, {} done, {} "
        "started by a late call to an earlier incarnation; TWICE {} ({} cases)",
        this->options.seed, this->options.seconds, this->options.late_percent, this->rounds,
        this->accepted.load(), this->sent.load(), runs.size(), done, late,
        cases.empty() ? "held" : "broken", cases.size()));
    if (!cases.empty()) return lab::kBroken;
    // A run in which little was carried out shows nothing.
    const bool is_meaningful =
        this->rounds > 0 && this->accepted * 2 > this->sent && done * 5 > this->accepted;
    return is_meaningful ? lab::kHeld : lab::kCouldNotRun;
  }

  lab::Record& record;
  const Options& options;
  lab::Deployment deployment;
  std::mt19937_64 random;
  std::vector<Event> events;
  int rounds = 0;
  std::vector<std::unique_ptr<soak::Target>> targets;
  std::int64_t end = 0;
  lab::Machine* victim = nullptr;
  bool is_paused = false;
  std::atomic<int> sent = 0;
  std::atomic<int> accepted = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc > 2 && std::string(argv[1]) == kLaunch) return Launch(argv + 2);
  Options options;
  CLI::App app("Looks for tasks that run twice while targets restart and are cut off");
  app.add_option("program", options.program, "the mangoroad program")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--seed", options.seed, "of the plan of faults and jobs");
  app.add_option("--seconds", options.seconds);
  app.add_option("--late-percent", options.late_percent, "share of calls carried out late");
  app.add_option("--record", options.record, "file for all calls and faults");
  app.add_flag(
      "--report-open-fault", options.reports_open_fault,
      "a start after an acknowledged end, see late_ends in KNOWN-RED.txt, is printed only");
  app.add_option("--log-levels", options.log_levels, "of the processes, e.g. jobs=debug,info");
  CLI11_PARSE(app, argc, argv);
  options.program = std::filesystem::absolute(options.program);
  options.record = std::filesystem::absolute(options.record);
  lab::Record record(options.record);
  int status = lab::kCouldNotRun;
  std::filesystem::path folder;
  try {
    folder = EnterWorkFolder(options);
    status = Soak(record, options).Run();
  } catch (const std::exception& error) {
    record.Result(std::string("could not run: ") + error.what());
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
  return status;
}
