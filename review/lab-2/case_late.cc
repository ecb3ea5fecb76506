#include <optional>
#include <vector>

#include "cases.h"
#include "worker.h"

namespace lab2 {

namespace {

constexpr const char* kPath = "/q1/00000000000000d1";
/// From the first order on, the first worker leaves polls and starts unanswered for this long.
constexpr int kPollsUnansweredMs = 1'900;
constexpr int kStartsUnansweredMs = 3'400;
/// They are carried out this late; `fleetbench kinds`: 2 to 12 s.
constexpr int kLateMs = 3'350;

}  // namespace

int RunLate(Record& record, bool has_trouble) {
  Deployment deployment(record);
  deployment.StartAll();
  if (!deployment.Configure(Configuration(1), 20'000)) return kCouldNotRun;
  const auto settings = [&](const std::string& id, const std::string& zone, std::int64_t cpu) {
    return WorkerSettings{.id = id,
                          .zone = zone,
                          .rack = "r-" + id,
                          .address = {deployment.NextIp(), deployment.Port(30)},
                          .control = deployment.Controls(),
                          .cpu = cpu};
  };
  Worker first(record, settings("w-1", "zone-a", 8'000));
  Worker second(record, settings("w-2", "zone-b", 16'000));
  struct LateCall {
    Request request;
    std::int64_t due = 0;
  };
  std::mutex mutex;
  std::vector<LateCall> late;
  bool is_armed = false;
  std::int64_t begin = 0;
  first.SetHook([&](const Request& request, const nlohmann::json&) {
    const std::lock_guard lock(mutex);
    const std::int64_t now = record.Now();
    if (!is_armed) return Fate::kAnswer;
    if (begin == 0) begin = now;
    const bool is_start = request.path == "/api/run-start";
    const bool is_poll = request.path == "/api/hold";
    const bool is_unanswered = (is_start && now < begin + kStartsUnansweredMs) ||
                               (is_poll && now < begin + kPollsUnansweredMs);
    if (!is_unanswered) return Fate::kAnswer;
    late.push_back({request, now + kLateMs});
    return Fate::kCarryOutLate;
  });
  first.Up();
  const std::int64_t until = record.Now() + 15'000;
  while (!first.IsAcknowledged() && record.Now() < until) SleepMs(50);
  SleepMs(1'000);
  const nlohmann::json step{{"count", 2},    {"cpu", 1'000},         {"mem-mb", 256},
                            {"est-ms", 500}, {"long-running", true}, {"image", "watch"}};
  const nlohmann::json job{{"spec", kLasts}, {"steps", nlohmann::json::array({step})}};
  {
    const std::lock_guard lock(mutex);
    is_armed = has_trouble;
  }
  const Response answer = deployment.Call(deployment.Edge(0), "POST", kPath, job.dump(), 3'000);
  if (answer.status != 200) return kCouldNotRun;
  second.Up();
  const std::int64_t end = record.Now() + 18'000;
  while (record.Now() < end) {
    std::optional<Request> due;
    {
      const std::lock_guard lock(mutex);
      if (!late.empty() && late.front().due <= record.Now()) {
        due = late.front().request;
        late.erase(late.begin());
      }
    }
    if (due) first.CarryOut(*due);
    SleepMs(10);
  }
  std::vector<Run> runs = first.Runs();
  for (const Run& run : second.Runs()) runs.push_back(run);
  const std::vector<std::string> overlaps = FindOverlaps(runs, record.Now());
  for (const std::string& overlap : overlaps) record.Result(overlap);
  record.Result("TWICE " + std::string(overlaps.empty() ? "held" : "broken") + "; " +
                std::to_string(runs.size()) + " runs");
  if (!overlaps.empty()) return kBroken;
  return runs.empty() ? kCouldNotRun : kHeld;
}

}  // namespace lab2
