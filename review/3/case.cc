// A worker starts again under its id. Its first heartbeat goes to a core machine that stands still,
// so the system still knows the former life when it starts a task there.
#include <algorithm>
#include <csignal>
#include <exception>
#include <nlohmann/json.hpp>

#include "../lab/check.h"

namespace {

constexpr int kWorkersPerZone = 3;
/// The worker that starts again has room for one task, the others for three.
constexpr int kVictimCpu = 1'000;
constexpr int kOtherCpu = 3'000;
constexpr int kTaskCpu = 1'000;
/// Two tasks for each of the other workers, which leaves as much room there as on the victim.
constexpr int kShortTasks = 16;
constexpr int kShortWorkMs = 1'000;
constexpr int kLongWorkMs = 3'000;

std::string Job(int count, int work_ms) {
  return nlohmann::json{
      {"spec", "ms=" + std::to_string(work_ms)},
      {"steps", {{{"count", count}, {"cpu", kTaskCpu}, {"mem-mb", 256}, {"est-ms", work_ms}}}}}
      .dump();
}

int Run(lab::Record& record) {
  lab::Deployment deployment(record);
  deployment.StartAll();
  if (!deployment.Configure(lab::Configuration(1), 15'000)) return lab::kCouldNotRun;

  lab::Machine* leader = nullptr;
  if (!lab::WaitUntil([&] { return (leader = deployment.Leader()) != nullptr; }, 5'000)) {
    return lab::kCouldNotRun;
  }
  lab::Machine* frozen = nullptr;
  std::vector<lab::Address> control;
  for (lab::Machine* core : deployment.Role("core")) {
    if (core != leader && frozen == nullptr) {
      frozen = core;
      control.insert(control.begin(), deployment.Control(*core));
    } else {
      control.push_back(deployment.Control(*core));
    }
  }
  std::vector<std::unique_ptr<lab::Worker>> workers;
  for (int zone = 0; zone < 3; ++zone) {
    for (int i = 0; i < kWorkersPerZone; ++i) {
      lab::WorkerSettings settings;
      settings.id =
          (workers.empty() ? "i-0-" : "i-1-") + lab::Deployment::ZoneName(zone) + std::to_string(i);
      settings.service = lab::kService;
      settings.zone = lab::Deployment::ZoneName(zone);
      settings.rack = "r" + std::to_string(zone) + "-1";
      settings.address = deployment.WorkerAddress(zone, i);
      settings.cpu = workers.empty() ? kVictimCpu : kOtherCpu;
      settings.task_cpu = kTaskCpu;
      settings.control = control;
      workers.push_back(std::make_unique<lab::Worker>(record, settings));
      workers.back()->Start();
    }
  }
  const auto all_announced = [&] {
    return std::ranges::all_of(workers, [](const auto& worker) { return worker->IsAnnounced(); });
  };
  if (!lab::WaitUntil(all_announced, 10'000)) return lab::kCouldNotRun;

  // A first job shows that the deployment works.
  if (!lab::Submit(record, deployment, "00000000000000a1", Job(kShortTasks, kShortWorkMs),
                   10'000)) {
    return lab::kCouldNotRun;
  }
  const auto complete = [&](const std::string& id) {
    return lab::WaitUntil(
        [&] {
          lab::Sleep(300);
          return lab::StateOf(record, deployment, id) == "complete";
        },
        20'000);
  };
  if (!complete("00000000000000a1")) return lab::kCouldNotRun;
  lab::Sleep(3'000);

  lab::Worker& victim = *workers.front();
  if (!lab::Submit(record, deployment, "00000000000000a2", Job(kShortTasks, kShortWorkMs), 3'000)) {
    return lab::kCouldNotRun;
  }
  lab::Sleep(200);
  if (lab::HasTrouble()) {
    deployment.Signal(*frozen, SIGSTOP);
    victim.Crash();
    lab::Sleep(100);
    victim.Start();
  } else {
    lab::Sleep(100);
  }
  lab::Sleep(200);
  const bool accepted =
      lab::Submit(record, deployment, "00000000000000a3", Job(1, kLongWorkMs), 3'000);
  lab::Sleep(2'800);
  if (lab::HasTrouble()) deployment.Signal(*frozen, SIGCONT);
  if (!accepted) return lab::kCouldNotRun;
  if (!complete("00000000000000a3")) record.Result("the last job is not complete");
  lab::Sleep(1'000);
  const int overlaps = lab::CountOverlaps(record, workers);
  record.Result(overlaps > 0 ? "broken: TWICE " + std::to_string(overlaps) : "TWICE held");
  return overlaps > 0 ? lab::kBroken : lab::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return lab::kCouldNotRun;
  lab::Record record(argv[1]);
  try {
    return Run(record);
  } catch (const std::exception& error) {
    record.Result(std::string("could not run: ") + error.what());
    return lab::kCouldNotRun;
  }
}
