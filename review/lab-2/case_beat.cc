#include <memory>

#include "cases.h"
#include "worker.h"

namespace lab2 {

namespace {

constexpr int kWorkers = 3;
constexpr int kTaskMs = 1'000;

}  // namespace

int RunBeat(Record& record, bool has_trouble) {
  Deployment deployment(record);
  deployment.StartAll();
  if (!deployment.Configure(Configuration(1), 20'000)) return kCouldNotRun;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<WorkerSettings> settings;
  for (int i = 0; i < kWorkers; ++i) {
    settings.push_back({.id = "w-" + std::to_string(i),
                        .zone = i == 0   ? "zone-a"
                                : i == 1 ? "zone-b"
                                         : "zone-c",
                        .rack = "r1-" + std::to_string(i),
                        .address = {deployment.NextIp(), deployment.Port(30)},
                        .control = deployment.Controls()});
    workers.push_back(std::make_unique<Worker>(record, settings.back()));
    workers.back()->Up();
  }
  SleepMs(3'000);
  // Another writer: a text where `slots` is a number, and its own count of calls.
  for (int i = 0; has_trouble && i < kWorkers; ++i) {
    nlohmann::json beat = workers[static_cast<std::size_t>(i)]->HeartbeatBody();
    beat["slots"] = "8";
    beat["seq"] = 1'000'000;
    const Response response = SendAndFollow(
        deployment.Controls().front(),
        {"PUT", "/api/instances/" + settings[static_cast<std::size_t>(i)].id, {}, beat.dump()},
        1'000);
    record.Write("heartbeat of another writer for " + settings[static_cast<std::size_t>(i)].id +
                 ": " + std::to_string(response.status));
  }
  SleepMs(8'000);
  const nlohmann::json job{
      {"spec", "ms=" + std::to_string(kTaskMs)},
      {"steps", {{{"count", 1}, {"cpu", 1'000}, {"mem-mb", 256}, {"est-ms", kTaskMs}}}}};
  const std::string path = "/q1/00000000000000c1";
  const Response answer = deployment.Call(deployment.Edge(0), "POST", path, job.dump(), 3'000);
  if (answer.status != 200) return kCouldNotRun;
  SleepMs(20'000);
  std::size_t runs = 0;
  for (const auto& worker : workers) runs += worker->Runs().size();
  const std::string state = deployment.StateOf(path);
  record.Result("LOST " + std::string(runs == 0 ? "broken" : "held") + ": after 20 s the job is " +
                state + " and had " + std::to_string(runs) + " runs, with all workers idle");
  if (runs == 0) return kBroken;
  return state == "complete" ? kHeld : kCouldNotRun;
}

}  // namespace lab2
