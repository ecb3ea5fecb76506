#include <memory>
#include <optional>

#include "cases.h"
#include "worker.h"

namespace lab2 {

namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr int kTaskMs = 9'000;
/// From the order to the start of the next incarnation, and to the order's late execution; BENCH
/// gives 2 to 12 s for the latter.
constexpr int kRestartMs = 6'500;
constexpr int kLateMs = 6'600;
constexpr int kDrainMs = 2'000;

}  // namespace

int RunLeave(Record& record, bool has_trouble) {
  Deployment deployment(record);
  deployment.StartAll();
  if (!deployment.Configure(Configuration(1), 20'000)) return kCouldNotRun;
  Worker leaving(record, {.id = "w-1",
                          .zone = "zone-a",
                          .rack = "r1-1",
                          .address = {deployment.NextIp(), deployment.Port(30)},
                          .control = deployment.Controls(),
                          .first_beat_ms = 300});
  Worker other(record, {.id = "w-2",
                        .zone = "zone-b",
                        .rack = "r2-1",
                        .address = {deployment.NextIp(), deployment.Port(30)},
                        .control = deployment.Controls()});
  std::mutex mutex;
  std::optional<Request> late;
  std::int64_t sent_at = 0;
  leaving.SetHook([&](const Request& request, const nlohmann::json&) {
    const std::lock_guard lock(mutex);
    if (request.path != "/api/run-start" || sent_at != 0) return Fate::kAnswer;
    sent_at = record.Now();
    if (!has_trouble) return Fate::kAnswer;
    late = request;
    return Fate::kCarryOutLate;
  });
  leaving.Up();
  const std::int64_t until = record.Now() + 15'000;
  while (!leaving.IsAcknowledged() && record.Now() < until) SleepMs(50);
  SleepMs(1'000);
  const nlohmann::json job{
      {"spec", "ms=" + std::to_string(kTaskMs)},
      {"steps", {{{"count", 1}, {"cpu", 1'000}, {"mem-mb", 256}, {"est-ms", kTaskMs}}}}};
  const std::string path = std::string("/q1/") + kJob;
  bool is_accepted = false;
  for (int i = 0; i < 5 && !is_accepted; ++i) {
    is_accepted =
        deployment.Call(deployment.Edge(i % kZones), "POST", path, job.dump(), 3'000).status == 200;
  }
  if (!is_accepted) return kCouldNotRun;
  const auto start_of_order = [&] {
    const std::lock_guard lock(mutex);
    return sent_at;
  };
  while (start_of_order() == 0 && record.Now() < until) SleepMs(10);
  const std::int64_t begin = start_of_order();
  if (begin == 0) return kCouldNotRun;
  other.Up();
  record.WaitUntil(begin + 1'500);
  leaving.Leave(kDrainMs);
  record.WaitUntil(begin + kRestartMs);
  leaving.Up();
  record.WaitUntil(begin + kLateMs);
  if (late) leaving.CarryOut(*late);
  record.WaitUntil(begin + 20'000);
  std::vector<Run> runs = leaving.Runs();
  for (const Run& run : other.Runs()) runs.push_back(run);
  const std::vector<std::string> overlaps = FindOverlaps(runs, record.Now());
  for (const std::string& overlap : overlaps) record.Result(overlap);
  const std::string state = deployment.StateOf(path);
  record.Result("TWICE " + std::string(overlaps.empty() ? "held" : "broken") + "; " +
                std::to_string(runs.size()) + " runs; the job is " + state);
  if (!overlaps.empty()) return kBroken;
  return runs.size() >= 2 && state == "complete" ? kHeld : kCouldNotRun;
}

}  // namespace lab2
