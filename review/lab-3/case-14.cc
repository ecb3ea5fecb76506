// A worker is cut off and finishes a task meanwhile. When it is back, the second run of that task
// is stopped on another worker, which doesn't guard its room.
#include <algorithm>

#include "lab.h"

namespace {

const lab::Route kRoute{"r-work", "work.example", "/work/", "fleet"};
/// Room of a worker; each task takes all of it.
constexpr std::int64_t kRoom = 8'000;
constexpr std::int64_t kWorkMs = 3'000;
constexpr std::int64_t kBacklogWorkMs = 30'000;
/// The site file has cuts of workers of up to 5.5 s.
constexpr std::int64_t kCutMs = 4'500;
constexpr int kBacklog = 6;

int Run() {
  lab::Deployment deployment("14");
  lab::Ledger ledger;
  if (!deployment.Start()) return lab::kCannotRun;
  if (!deployment.Configure(lab::ConfigOf(1, {kRoute}, {kRoute.service}, false), 20'000) ||
      !deployment.WaitUntilReady(20'000)) {
    return lab::kCannotRun;
  }
  const auto workers = lab::StartWorkers(deployment, ledger, kRoute.service, 3,
                                         [](int /*i*/, lab::WorkerOptions& options) {
                                           options.cpu = kRoom;
                                           options.strict_admission = false;
                                           options.stop_ms = 700;
                                         });
  if (workers.empty()) return lab::kCannotRun;

  const std::string job = lab::RandomId();
  const lab::Address front = deployment.Front(0);
  if (lab::Submit(front, kRoute, job, lab::OneTask({kWorkMs, kRoom, 1'000})).status != 200 ||
      !lab::WaitFor(10'000, [&] { return !ledger.StartsOf(job).empty(); })) {
    return lab::kCannotRun;
  }
  lab::Worker* cut = lab::FindWorker(workers, ledger.StartsOf(job).front().worker);
  lab::SleepMs(300);
  if (lab::HasTrouble()) cut->SetCut(true);
  const std::int64_t cut_at = lab::NowMs();
  // The second run, on a worker that can be reached.
  lab::WaitFor(kCutMs, [&] { return ledger.StartsOf(job).size() > 1; });
  // More work than there is room for, from now on.
  for (int i = 0; i < kBacklog; ++i) {
    lab::Submit(front, kRoute, lab::RandomId(), lab::OneTask({kBacklogWorkMs, kRoom, 1'000}));
  }
  lab::SleepMs(cut_at + kCutMs - lab::NowMs());
  if (lab::HasTrouble()) cut->SetCut(false);
  lab::SleepMs(6'000);

  std::int64_t most = 0;
  for (const lab::Event& event : ledger.All()) {
    if (event.kind == lab::Event::Kind::kStart) most = std::max(most, event.cpu_used);
  }
  const std::size_t runs = ledger.StartsOf(job).size();
  lab::Say("the task of the first job was started " + std::to_string(runs) +
           " times; the most that a start brought a worker to is " + std::to_string(most) + " of " +
           std::to_string(kRoom));
  return most > kRoom ? lab::kBroken : lab::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return lab::RunCase(argc, argv, Run); }
