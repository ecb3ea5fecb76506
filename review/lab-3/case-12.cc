// Another writer sends one heartbeat under the id of each worker of a kind: its `labels` are
// missing, and its `seq` is its own.
#include "lab.h"

namespace {

const lab::Route kRoute{"r-work", "work.example", "/work/", "fleet"};
constexpr const char* kKind = "b";
/// `finish_s`: jobs are asked for this long after the end of the traffic.
constexpr std::int64_t kFinishMs = 14'000;
/// The span of the rule in which the job has nothing running.
constexpr std::int64_t kIdleMs = 3'000;

int Run() {
  lab::Deployment deployment("12");
  lab::Ledger ledger;
  if (!deployment.Start()) return lab::kCannotRun;
  if (!deployment.Configure(lab::ConfigOf(1, {kRoute}, {kRoute.service}, true), 20'000) ||
      !deployment.WaitUntilReady(20'000)) {
    return lab::kCannotRun;
  }
  // Two workers of each kind.
  const auto workers = lab::StartWorkers(
      deployment, ledger, kRoute.service, 4,
      [](int i, lab::WorkerOptions& options) { options.labels[0] = i < 2 ? "a" : kKind; });
  if (workers.empty()) return lab::kCannotRun;
  lab::SleepMs(2'000);

  const lab::json content = lab::OneTask({500, 2'000, 1'000}, kKind);
  const std::string before = lab::RandomId();
  if (lab::Submit(deployment.Front(0), kRoute, before, content).status != 200 ||
      !lab::WaitFor(5'000, [&] { return ledger.HasEnded(before + ".0.0.0", 1); })) {
    return lab::kCannotRun;
  }
  if (lab::HasTrouble()) {
    for (std::size_t i = 2; i < workers.size(); ++i) {
      lab::json beat = workers[i]->MakeBeat();
      beat.erase("labels");
      // This writer counts in milliseconds.
      beat["seq"] = lab::UnixMs();
      const lab::Answer answer =
          lab::Call(workers[i]->BeatAddress(), "PUT", "/api/instances/" + workers[i]->Options().id,
                    {}, beat.dump(), 1'000);
      lab::Say("another writer sends " + beat.dump() + ": " + std::to_string(answer.status));
    }
  }
  const std::size_t beats = workers[2]->BeatsAnswered() + workers[3]->BeatsAnswered();
  lab::SleepMs(4'000);
  lab::Say("since then " +
           std::to_string(workers[2]->BeatsAnswered() + workers[3]->BeatsAnswered() - beats) +
           " heartbeats of the two workers were acknowledged, with all their labels");

  const std::string job = lab::RandomId();
  const std::string other = lab::RandomId();
  if (lab::Submit(deployment.Front(0), kRoute, job, content).status != 200 ||
      lab::Submit(deployment.Front(1), kRoute, other, lab::OneTask({500, 2'000, 1'000})).status !=
          200) {
    return lab::kCannotRun;
  }
  lab::SleepMs(kFinishMs);
  const std::string task = job + ".0.0.0";
  const std::int64_t used = workers[2]->UsedCpu() + workers[3]->UsedCpu();
  lab::Read(deployment.Front(0), kRoute, job);
  lab::Read(deployment.Front(1), kRoute, other);
  if (!ledger.HasEnded(other + ".0.0.0", 1)) return lab::kCannotRun;
  lab::SleepMs(kIdleMs);
  lab::Read(deployment.Front(0), kRoute, job);
  const bool has_begun = !ledger.StartsOf(job).empty();
  lab::Say("task " + task + (has_begun ? " has begun" : " has never begun") +
           "; the workers of kind " + kKind + " use " + std::to_string(used) + " of 32000");
  return has_begun ? lab::kHeld : lab::kBroken;
}

}  // namespace

int main(int argc, char** argv) { return lab::RunCase(argc, argv, Run); }
