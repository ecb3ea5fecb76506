#include "check.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>

namespace lab {

using nlohmann::json;

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string Configuration(int version) {
  const json body{{"version", version},
                  {"routes",
                   {{{"name", "r-review"},
                     {"host", kHost},
                     {"prefix", kPrefix},
                     {"type", "non_idempotent"},
                     {"timeout-ms", 3000},
                     {"slo-ms", 1000},
                     {"prio", 0},
                     {"service", kService},
                     {"attempts", 4},
                     {"stretch", 2.0}}}},
                  {"services",
                   {{{"name", kService},
                     {"health-path", "/healthz"},
                     {"max-conns", 64},
                     {"protocol", "h1"},
                     {"tls", false},
                     {"strict-admission", true},
                     {"standby", false}}}},
                  {"limits",
                   {{"max-header-bytes", 16384},
                    {"max-body-bytes", 262144},
                    {"header-timeout-ms", 3000},
                    {"idle-timeout-ms", 15000}}}};
  return body.dump();
}

Response Call(Record& record, const Address& front, const std::string& method,
              const std::string& id, const std::string& body, int deadline_ms) {
  Response response = Send(front,
                           {method,
                            kPrefix + id,
                            {{"host", kHost}, {"X-Deadline-Ms", std::to_string(deadline_ms)}},
                            body},
                           deadline_ms);
  record.Write("client: " + method + " " + kPrefix + id + " to " + ToText(front) + ": " +
               (response.status == 0 ? "no answer" : std::to_string(response.status)) + " " +
               response.body.substr(0, 120));
  return response;
}

bool Submit(Record& record, Deployment& deployment, const std::string& id, const std::string& body,
            int timeout_ms) {
  const std::int64_t end = record.Now() + timeout_ms;
  const auto edges = deployment.Role("edge");
  for (std::size_t i = 0; record.Now() < end; ++i) {
    const int status =
        Call(record, deployment.Front(*edges[i % edges.size()]), "POST", id, body).status;
    if (status >= 200 && status < 300) return true;
    Sleep(300);
  }
  return false;
}

std::string StateOf(Record& record, Deployment& deployment, const std::string& id) {
  const Response response =
      Call(record, deployment.Front(*deployment.Role("edge")[0]), "GET", id, "");
  const json parsed = json::parse(response.body, nullptr, false);
  if (response.status == 200 && parsed.is_object()) return parsed.value("state", "");
  return std::to_string(response.status);
}

void Sleep(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool WaitUntil(const std::function<bool()>& done, int timeout_ms) {
  for (int waited = 0; waited < timeout_ms; waited += 10) {
    if (done()) return true;
    Sleep(10);
  }
  return done();
}

int CountOverlaps(Record& record, const std::vector<std::unique_ptr<Worker>>& workers) {
  std::vector<RunOnWorker> runs;
  for (const auto& worker : workers) {
    for (RunOnWorker run : worker->Runs()) {
      if (run.ended < 0) run.ended = record.Now();
      runs.push_back(std::move(run));
    }
  }
  int overlaps = 0;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    for (std::size_t j = i + 1; j < runs.size(); ++j) {
      const RunOnWorker& a = runs[i];
      const RunOnWorker& b = runs[j];
      const std::int64_t common = std::min(a.ended, b.ended) - std::max(a.began, b.began);
      if (a.task != b.task || common <= 0) continue;
      ++overlaps;
      const auto text = [](const RunOnWorker& run) {
        return "run " + std::to_string(run.run) + " on " + run.worker + " from " +
               std::to_string(run.began) + " to " + std::to_string(run.ended) + " ms (" + run.how +
               ")";
      };
      record.Result("TWICE: " + a.task + ": " + text(a) + " and " + text(b) + ", " +
                    std::to_string(common) + " ms at the same time");
    }
  }
  return overlaps;
}

}  // namespace lab
