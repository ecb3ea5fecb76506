// Another writer sends heartbeats with a service that the configuration doesn't name, an id of its
// own, and the address of a worker that is at work.
#include <algorithm>
#include <chrono>
#include <exception>
#include <nlohmann/json.hpp>

#include "../lab/check.h"

namespace {

using nlohmann::json;

constexpr int kWorkersPerZone = 2;
constexpr int kTasks = 12;
constexpr int kWorkMs = 8'000;
constexpr int kWorkerCpu = 4'000;
constexpr int kTaskCpu = 1'000;
constexpr int kForeignHeartbeats = 6;
constexpr int kForeignIntervalMs = 1'300;

std::string ForeignHeartbeat(const lab::Worker& worker, int sequence, std::int64_t born) {
  return json{{"service", "not-named-here"},
              {"addr", ToText(worker.Settings().address)},
              {"zone", worker.Settings().zone},
              {"version", "v1"},
              {"slots", 8},
              {"state", "ready"},
              {"cold-left-ms", 0},
              {"room", {{"cpu", kWorkerCpu}, {"mem-mb", 64'000}, {"gpu", 0}}},
              {"labels", {"a", worker.Settings().rack}},
              {"time-ms", 1'000 + sequence * kForeignIntervalMs},
              {"born", born},
              {"seq", sequence}}
      .dump();
}

void SendForeignHeartbeats(lab::Record& record, const std::vector<lab::Address>& control,
                           const lab::Worker& worker) {
  const std::int64_t born = std::chrono::duration_cast<std::chrono::milliseconds>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count();
  for (int sequence = 1; sequence <= kForeignHeartbeats; ++sequence) {
    const std::string body = ForeignHeartbeat(worker, sequence, born);
    for (const lab::Address& node : control) {
      const int status =
          lab::Send(node, {"PUT", "/api/instances/i-foreign", {}, body}, 1'000).status;
      record.Write("other writer: heartbeat " + std::to_string(sequence) +
                   " of i-foreign, service not-named-here, addr of " + worker.Settings().id +
                   ", to " + ToText(node) + ": " + std::to_string(status));
      if (status >= 200 && status < 300) break;
    }
    lab::Sleep(kForeignIntervalMs);
  }
}

int Run(lab::Record& record) {
  lab::Deployment deployment(record);
  deployment.StartAll();
  if (!deployment.Configure(lab::Configuration(1), 15'000)) return lab::kCouldNotRun;
  std::vector<lab::Address> control;
  for (const lab::Machine* core : deployment.Role("core")) {
    control.push_back(deployment.Control(*core));
  }
  std::vector<std::unique_ptr<lab::Worker>> workers;
  for (int zone = 0; zone < 3; ++zone) {
    for (int i = 0; i < kWorkersPerZone; ++i) {
      lab::WorkerSettings settings;
      settings.id = "i-" + lab::Deployment::ZoneName(zone) + std::to_string(i);
      settings.service = lab::kService;
      settings.zone = lab::Deployment::ZoneName(zone);
      settings.rack = "r" + std::to_string(zone) + "-1";
      settings.address = deployment.WorkerAddress(zone, i);
      settings.cpu = kWorkerCpu;
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
  lab::Sleep(500);
  const std::string id = "00000000000000a1";
  const json job{
      {"spec", "ms=" + std::to_string(kWorkMs)},
      {"steps", {{{"count", kTasks}, {"cpu", kTaskCpu}, {"mem-mb", 256}, {"est-ms", kWorkMs}}}}};
  if (!lab::Submit(record, deployment, id, job.dump(), 10'000)) return lab::kCouldNotRun;
  lab::Sleep(1'000);
  if (lab::HasTrouble()) SendForeignHeartbeats(record, control, *workers.front());
  const bool complete = lab::WaitUntil(
      [&] {
        lab::Sleep(500);
        return lab::StateOf(record, deployment, id) == "complete";
      },
      40'000);
  if (!complete) record.Result("the job is not complete");
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
