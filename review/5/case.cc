// A scheduled job has a gang. A worker is cut off as it has taken the start of a member; the gang
// ends "done", which completes the occurrence, while the leader still waits for that worker's
// answer.
#include <algorithm>
#include <chrono>
#include <exception>
#include <map>
#include <nlohmann/json.hpp>

#include "../lab/check.h"

namespace {

using nlohmann::json;

constexpr int kWorkersPerZone = 2;
constexpr int kMembers = 6;
constexpr int kWorkerCpu = 2'000;
constexpr int kTaskCpu = 2'000;
constexpr int kWorkMs = 400;
constexpr int kOccurrences = 2;
constexpr int kIntervalMs = 600'000;
constexpr int kCutMs = 1'500;
constexpr int kRestartDelayMs = 300;
constexpr int kTotalMs = 95'000;
/// The rule Fault: ends of one machine's processes, on half of the core (two of three machines).
constexpr int kEndsPerMachine = 3;
constexpr int kMachines = 2;

std::string Job(std::int64_t first_ms) {
  return json{{"spec", "ms=" + std::to_string(kWorkMs) + " gang=" + std::to_string(kMembers)},
              {"times", kOccurrences},
              {"first-ms", first_ms},
              {"interval-ms", kIntervalMs},
              {"steps",
               {{{"count", kMembers},
                 {"cpu", kTaskCpu},
                 {"mem-mb", 256},
                 {"est-ms", kWorkMs},
                 {"gang", true}}}}}
      .dump();
}

class Case {
 public:
  explicit Case(lab::Record& case_record) : record(case_record), deployment(case_record) {}

  int Run() {
    this->deployment.StartAll();
    if (!this->deployment.Configure(lab::Configuration(1), 15'000)) return lab::kCouldNotRun;
    if (!this->StartWorkers()) return lab::kCouldNotRun;
    int rounds = 0;
    while (this->record.Now() < kTotalMs && this->MachinesOverLimit() < kMachines) {
      ++rounds;
      if (!this->Round(rounds)) return lab::kCouldNotRun;
      // Without the disruption a few rounds are enough to see that it holds.
      if (!lab::HasTrouble() && rounds == 10) break;
    }
    for (const auto& [name, count] : this->ends) {
      this->record.Result(name + ": " + std::to_string(count) + " ends of its own in " +
                          std::to_string(rounds) + " rounds");
    }
    const bool is_broken = this->MachinesOverLimit() >= kMachines;
    this->record.Result(is_broken ? "broken: Fault" : "Fault held");
    return is_broken ? lab::kBroken : lab::kHeld;
  }

 private:
  bool StartWorkers() {
    std::vector<lab::Address> control;
    for (const lab::Machine* core : this->deployment.Role("core")) {
      control.push_back(this->deployment.Control(*core));
    }
    for (int zone = 0; zone < 3; ++zone) {
      for (int i = 0; i < kWorkersPerZone; ++i) {
        lab::WorkerSettings settings;
        settings.id = "i-" + lab::Deployment::ZoneName(zone) + std::to_string(i);
        settings.service = lab::kService;
        settings.zone = lab::Deployment::ZoneName(zone);
        settings.rack = "r" + std::to_string(zone) + "-1";
        settings.address = this->deployment.WorkerAddress(zone, i);
        settings.cpu = kWorkerCpu;
        settings.task_cpu = kTaskCpu;
        settings.control = control;
        settings.gangs = &this->gangs;
        this->workers.push_back(std::make_unique<lab::Worker>(this->record, settings));
        this->workers.back()->Start();
      }
    }
    const auto all_announced = [&] {
      return std::ranges::all_of(this->workers,
                                 [](const auto& worker) { return worker->IsAnnounced(); });
    };
    return lab::WaitUntil(all_announced, 10'000);
  }

  int MachinesOverLimit() const {
    return static_cast<int>(std::ranges::count_if(
        this->ends, [](const auto& entry) { return entry.second >= kEndsPerMachine; }));
  }

  /// Counts processes that ended by themselves and starts them again, as the platform does.
  void Watch(int milliseconds) {
    for (int waited = 0; waited < milliseconds; waited += 10) {
      for (const char* role : {"core", "edge"}) {
        for (lab::Machine* machine : this->deployment.Role(role)) {
          if (!this->deployment.HasEnded(*machine)) continue;
          this->ends[machine->name] += 1;
          lab::Sleep(kRestartDelayMs);
          this->deployment.Start(*machine, false);
        }
      }
      lab::Sleep(10);
    }
  }

  /// One scheduled job; one worker is cut off as it has taken a start.
  bool Round(int number) {
    lab::Worker& victim = *this->workers.front();
    if (lab::HasTrouble()) victim.CutAfterNextStart();
    const std::int64_t now = std::chrono::duration_cast<std::chrono::milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count();
    std::string id = "00000000000000a0";
    id[14] = static_cast<char>('a' + number / 10);
    id[15] = static_cast<char>('0' + number % 10);
    if (!lab::Submit(this->record, this->deployment, id, Job(now + 200), 10'000)) return false;
    for (int waited = 0; waited < 3'000 && lab::HasTrouble() && !victim.IsCut(); waited += 10) {
      this->Watch(10);
    }
    this->Watch(kCutMs);
    if (victim.IsCut()) victim.Cut(false);
    this->Watch(2'000);
    return true;
  }

  lab::Record& record;
  lab::Deployment deployment;
  lab::Gangs gangs;
  std::vector<std::unique_ptr<lab::Worker>> workers;
  std::map<std::string, int> ends;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return lab::kCouldNotRun;
  lab::Record record(argv[1]);
  try {
    return Case(record).Run();
  } catch (const std::exception& error) {
    record.Result(std::string("could not run: ") + error.what());
    return lab::kCouldNotRun;
  }
}
