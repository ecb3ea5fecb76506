// One of three core machines is away and misses changes. When it is back, the processes of the
// other two are killed, and a worker with a task that lasts is lost for good at the same time.
#include "lab.h"

namespace {

const lab::Route kRoute{"r-work", "work.example", "/work/", "fleet"};
/// `hold-max-ms` of the site pfcad-mangoroad.
constexpr std::int64_t kHoldMaxMs = 10'000;
constexpr std::int64_t kAwayMs = 4'200;
constexpr std::int64_t kRestartMs = 500;
/// From the rule: a task that lasts runs again within this time after its last run, ...
constexpr std::int64_t kAgainMs = 6'000;
/// ... where the last 3 s and the 4 s before them are calm; a machine is in touch `contact-ms`
/// after the last disruption.
constexpr std::int64_t kCalmMs = 3'000 + 7'000;
constexpr std::int64_t kWaitMs = 40'000;

int Run() {
  lab::Deployment deployment("15", kHoldMaxMs);
  lab::Ledger ledger;
  if (!deployment.Start()) return lab::kCannotRun;
  if (!deployment.Configure(lab::ConfigOf(1, {kRoute}, {kRoute.service}, true), 20'000) ||
      !deployment.WaitUntilReady(20'000)) {
    return lab::kCannotRun;
  }
  const auto workers = lab::StartWorkers(
      deployment, ledger, kRoute.service, 4,
      [](int /*i*/, lab::WorkerOptions& options) { options.hold_max_ms = kHoldMaxMs; });
  if (workers.empty()) return lab::kCannotRun;

  const std::string job = lab::RandomId();
  const lab::json content = lab::OneLastingTask({1'000'000, 2'000, 1'000});
  if (lab::Submit(deployment.Front(0), kRoute, job, content).status != 200 ||
      !lab::WaitFor(10'000, [&] { return !ledger.StartsOf(job).empty(); })) {
    return lab::kCannotRun;
  }
  lab::SleepMs(8'000);
  lab::Worker* lost = lab::FindWorker(workers, ledger.StartsOf(job).front().worker);
  // Heartbeats go to the leader.
  std::size_t leader = 0;
  while (leader < 3 && deployment.CoreIp(leader) != lost->BeatAddress().ip) ++leader;
  if (leader == 3) return lab::kCannotRun;
  const std::size_t second = (leader + 1) % 3;
  const std::size_t away = (leader + 2) % 3;
  if (lab::HasTrouble()) deployment.FreezeCore(away, true);
  for (std::int64_t passed = 0; passed < kAwayMs; passed += 200) {
    const lab::json change = lab::OneTask({100, 100, 100});
    lab::Submit(deployment.Front(0), kRoute, lab::RandomId(), change);
    lab::SleepMs(200);
  }

  lost->End("lost for good");
  const std::int64_t ended_at = lab::NowMs();
  std::int64_t disrupted_at = ended_at;
  if (lab::HasTrouble()) {
    deployment.KillCore(leader);
    deployment.KillCore(second);
    deployment.FreezeCore(away, false);
    lab::SleepMs(kRestartMs);
    if (!deployment.RestartCore(leader) || !deployment.RestartCore(second)) return lab::kCannotRun;
    disrupted_at = lab::NowMs();
  }
  const bool runs_again = lab::WaitFor(kWaitMs, [&] { return ledger.StartsOf(job).size() > 1; });
  const std::int64_t again_at = lab::NowMs();
  lab::Say("the task ran again " + std::string(runs_again ? "" : "not within ") +
           std::to_string(again_at - ended_at) + " ms after its last run, " +
           std::to_string(again_at - disrupted_at) + " ms after the last disruption");
  const bool is_late = again_at - ended_at > kAgainMs && again_at - disrupted_at > kCalmMs;
  return is_late ? lab::kBroken : lab::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return lab::RunCase(argc, argv, Run); }
