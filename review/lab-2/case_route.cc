#include <optional>

#include "cases.h"
#include "worker.h"

namespace lab2 {

namespace {

constexpr const char* kPath = "/q1/00000000000000b1";
constexpr int kTaskMs = 1'500;

}  // namespace

int RunRoute(Record& record, bool has_trouble) {
  Deployment deployment(record);
  for (int zone = 0; zone < kZones; ++zone) deployment.Start(deployment.Core(zone));
  if (!deployment.Configure(Configuration(1), 20'000)) return kCouldNotRun;
  Worker worker(record, {.id = "w-1",
                         .zone = "zone-a",
                         .rack = "r1-1",
                         .address = {deployment.NextIp(), deployment.Port(30)},
                         .control = deployment.Controls()});
  worker.Up();
  const Machine* leader = deployment.Leader();
  if (leader == nullptr) return kCouldNotRun;
  // The edge's connections to the leader go through a relay. Once, after a submission has been
  // accepted, the connection falls silent: the answer never comes.
  const Address relay{deployment.NextIp(), deployment.Relay(*leader).port};
  std::mutex mutex;
  bool is_armed = false;
  std::int64_t silent_since = -1;
  Server proxy(relay, [&](const Request& request) -> Response {
    Request passed = request;
    passed.headers.erase("host");
    passed.headers.erase("content-length");
    passed.headers.erase("content-type");
    Response response = Send(deployment.Relay(*leader), passed, 3'000);
    const bool is_submission = request.body.find(kPath) != std::string::npos;
    {
      const std::lock_guard lock(mutex);
      if (!is_armed || !is_submission) return response;
      is_armed = false;
      silent_since = record.Now();
    }
    record.Write("relay: the answer to the submission is lost");
    SleepMs(3'000);
    return {};
  });
  Machine& edge = deployment.Edge(0);
  edge.seeds = {{relay.ip, deployment.Control(*leader).port}};
  deployment.Start(edge);
  SleepMs(2'000);
  {
    const std::lock_guard lock(mutex);
    is_armed = has_trouble;
  }
  Response answer;
  const nlohmann::json job{
      {"spec", "ms=" + std::to_string(kTaskMs)},
      {"steps", {{{"count", 1}, {"cpu", 1'000}, {"mem-mb", 256}, {"est-ms", kTaskMs}}}}};
  std::thread client([&] { answer = deployment.Call(edge, "POST", kPath, job.dump(), 3'000); });
  if (has_trouble) {
    const std::int64_t until = record.Now() + 5'000;
    const auto since = [&] {
      const std::lock_guard lock(mutex);
      return silent_since;
    };
    while (since() < 0 && record.Now() < until) SleepMs(5);
  } else {
    client.join();
  }
  // The operator removes the route.
  const bool is_changed = deployment.Configure(Configuration(2, false), 3'000);
  if (client.joinable()) client.join();
  SleepMs(4'000);
  const std::vector<Run> runs = worker.Runs();
  const bool is_rejected =
      answer.status == 404 || answer.status == 429 || answer.status == 503 || answer.status == 400;
  const bool is_broken = is_rejected && !runs.empty();
  record.Result("REFUSED " + std::string(is_broken ? "broken" : "held") + ": the client was told " +
                std::to_string(answer.status) + ", its job had " + std::to_string(runs.size()) +
                " runs");
  if (is_broken) return kBroken;
  return is_changed && !runs.empty() ? kHeld : kCouldNotRun;
}

}  // namespace lab2
