// A worker takes its leave, and the answer to its DELETE is lost. It ends some seconds later.
#include "lab.h"

namespace {

using lab::Event;

const lab::Route kRoute{"r-work", "work.example", "/work/", "fleet"};
constexpr std::int64_t kWorkMs = 20'000;
/// How long the worker goes on after its draining was acknowledged: `drain-ms` and a little longer.
constexpr std::int64_t kServeMs = 2'500;
/// A worker without an acknowledgement "ends anyway, some seconds later".
constexpr std::int64_t kEndAfterMs = 2'500;
/// Longest cut of workers in the site file.
constexpr std::int64_t kCutMs = 5'500;

/// How long two runs of one task went on at the same time.
std::int64_t OverlapMs(const std::vector<Event>& events, const std::string& task) {
  std::int64_t overlap = 0;
  int running = 0;
  std::int64_t since = 0;
  for (const Event& event : events) {
    if (event.task != task || event.kind == Event::Kind::kReject) continue;
    if (running >= 2) overlap += event.at_ms - since;
    since = event.at_ms;
    running += event.kind == Event::Kind::kStart ? 1 : -1;
  }
  return overlap;
}

int Run() {
  lab::Deployment deployment("11");
  lab::Ledger ledger;
  if (!deployment.Start()) return lab::kCannotRun;
  if (!deployment.Configure(lab::ConfigOf(1, {kRoute}, {kRoute.service}, true), 20'000) ||
      !deployment.WaitUntilReady(20'000)) {
    return lab::kCannotRun;
  }
  const auto workers = lab::StartWorkers(deployment, ledger, kRoute.service, 3);
  if (workers.empty()) return lab::kCannotRun;

  const std::string job = lab::RandomId();
  const std::string task = job + ".0.0.0";
  const lab::json content = lab::OneTask({kWorkMs, 2'000, 1'000});
  if (lab::Submit(deployment.Front(0), kRoute, job, content).status != 200 ||
      !lab::WaitFor(10'000, [&] { return !ledger.StartsOf(job).empty(); })) {
    return lab::kCannotRun;
  }
  lab::Worker* leaving = lab::FindWorker(workers, ledger.StartsOf(job).front().worker);
  const std::string id = leaving->Options().id;
  lab::SleepMs(1'000);
  leaving->SetDraining();
  if (!lab::WaitFor(5'000, [&] { return leaving->IsAcknowledged(true); })) return lab::kCannotRun;
  lab::SleepMs(kServeMs);

  const std::string path = "/api/instances/" + id;
  const lab::Address to = leaving->BeatAddress();
  if (to.port == 0) return lab::kCannotRun;
  const std::string body = lab::json{{"born", leaving->Born()}}.dump();
  lab::Say("worker " + id + " sends DELETE to " + to.Text());
  if (lab::HasTrouble()) {
    const int socket_id = lab::SendOnly(to, "DELETE", path, body);
    if (socket_id < 0) return lab::kCannotRun;
    // The request has arrived; its answer and all that follows are lost.
    lab::SleepMs(40);
    leaving->SetCut(true);
    lab::SleepMs(kEndAfterMs);
    leaving->End("some seconds after its DELETE, without an acknowledgement");
  } else {
    const lab::Answer answer = lab::Call(to, "DELETE", path, {}, body, 1'000);
    lab::Say("worker " + id + " gets " + std::to_string(answer.status) + " for its DELETE");
    if (answer.status != 200) return lab::kCannotRun;
    leaving->End("its DELETE was acknowledged");
  }
  lab::SleepMs(kCutMs);
  const std::int64_t overlap = OverlapMs(ledger.All(), task);
  const std::size_t starts = ledger.StartsOf(job).size();
  lab::Say("task " + task + " was started " + std::to_string(starts) +
           " times; two runs at once for " + std::to_string(overlap) + " ms");
  if (starts < 2) return lab::kCannotRun;
  return overlap > 0 ? lab::kBroken : lab::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return lab::RunCase(argc, argv, Run); }
