#include <algorithm>
#include <optional>

#include "cases.h"
#include "worker.h"

namespace lab2 {

namespace {

constexpr const char* kPath = "/q1/00000000000000e1";
constexpr int kTaskMs = 1'500;
/// From the first order to the crash of the worker, to its next incarnation, and to the late
/// execution of the order; `fleetbench kinds` gives 2 to 12 s for the latter.
constexpr int kCrashMs = 4'000;
constexpr int kRestartMs = 6'000;
constexpr int kLateMs = 6'100;

}  // namespace

int RunDone(Record& record, bool has_trouble) {
  Deployment deployment(record);
  deployment.StartAll();
  if (!deployment.Configure(Configuration(1), 20'000)) return kCouldNotRun;
  Worker worker(record, {.id = "w-1",
                         .zone = "zone-a",
                         .rack = "r1-1",
                         .address = {deployment.NextIp(), deployment.Port(30)},
                         .control = deployment.Controls(),
                         .first_beat_ms = 300});
  std::mutex mutex;
  std::optional<Request> late;
  std::int64_t begin = 0;
  worker.SetHook([&](const Request& request, const nlohmann::json&) {
    const std::lock_guard lock(mutex);
    if (request.path != "/api/run-start" || begin != 0) return Fate::kAnswer;
    begin = record.Now();
    if (!has_trouble) return Fate::kAnswer;
    late = request;
    return Fate::kCarryOutLate;
  });
  worker.Up();
  const std::int64_t until = record.Now() + 15'000;
  while (!worker.IsAcknowledged() && record.Now() < until) SleepMs(50);
  SleepMs(1'000);
  const nlohmann::json job{
      {"spec", "ms=" + std::to_string(kTaskMs)},
      {"steps", {{{"count", 1}, {"cpu", 1'000}, {"mem-mb", 256}, {"est-ms", kTaskMs}}}}};
  if (deployment.Call(deployment.Edge(0), "POST", kPath, job.dump(), 3'000).status != 200) {
    return kCouldNotRun;
  }
  const auto first_order = [&] {
    const std::lock_guard lock(mutex);
    return begin;
  };
  while (first_order() == 0 && record.Now() < until) SleepMs(10);
  const std::int64_t start = first_order();
  if (start == 0) return kCouldNotRun;
  record.WaitUntil(start + kCrashMs);
  const std::string state = deployment.StateOf(kPath);
  const bool is_noted = worker.AllEndsAcknowledged();
  worker.Crash();
  record.WaitUntil(start + kRestartMs);
  worker.Up();
  record.WaitUntil(start + kLateMs);
  if (late) worker.CarryOut(*late);
  record.WaitUntil(start + 9'000);
  const std::vector<Run> runs = worker.Runs();
  const auto done = std::ranges::find_if(runs, [](const Run& run) { return run.how == "done"; });
  const bool was_done = done != runs.end() && is_noted && state == "complete";
  const bool is_broken = was_done && std::ranges::any_of(done + 1, runs.end(), [](const Run& run) {
                           return run.incarnation == 2;
                         });
  record.Result("TWICE " + std::string(is_broken ? "broken" : "held") + ": the job was " + state +
                ", its end " + (is_noted ? "" : "not ") + "taken note of; " +
                std::to_string(runs.size()) + " runs of its task");
  if (is_broken) return kBroken;
  return was_done ? kHeld : kCouldNotRun;
}

}  // namespace lab2
