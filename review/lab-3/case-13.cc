// The connection over which an edge has handed a job in goes silent before the answer. Meanwhile a
// configuration drops the route.
#include <algorithm>

#include "lab.h"

namespace {

const lab::Route kRoute{"r-work", "work.example", "/work/", "fleet"};
const lab::Route kOther{"r-other", "work.example", "/other/", "fleet"};
/// The edges call the core through proxies, which stand on the same addresses and these ports.
constexpr int kProxyShift = 16;

int Run() {
  lab::Deployment deployment("13");
  lab::Ledger ledger;
  if (!deployment.Start(kProxyShift)) return lab::kCannotRun;
  std::vector<std::unique_ptr<lab::Proxy>> proxies;
  for (std::size_t core = 0; core < 3; ++core) {
    const std::string ip = deployment.CoreIp(core);
    // Callers' requests go to the second port of `port-range`.
    proxies.push_back(std::make_unique<lab::Proxy>());
    if (!proxies.back()->Start({ip, deployment.FirstPort() + kProxyShift + 1},
                               {ip, deployment.FirstPort() + 1})) {
      return lab::kCannotRun;
    }
  }
  if (!deployment.Configure(lab::ConfigOf(1, {kRoute, kOther}, {kRoute.service}, true), 20'000) ||
      !deployment.WaitUntilReady(20'000)) {
    return lab::kCannotRun;
  }
  const auto workers = lab::StartWorkers(deployment, ledger, kRoute.service, 2);
  if (workers.empty()) return lab::kCannotRun;
  lab::SleepMs(1'000);

  const std::string job = lab::RandomId();
  const lab::json content = lab::OneTask({1'000, 2'000, 1'000});
  const std::string next_config = lab::ConfigOf(2, {kOther}, {kRoute.service}, true);
  lab::Answer answer;
  bool is_acknowledged = false;
  if (lab::HasTrouble()) {
    for (const auto& proxy : proxies) proxy->Arm(job);
    std::thread client([&] { answer = lab::Submit(deployment.Front(0), kRoute, job, content); });
    const bool swallowed = lab::WaitFor(2'000, [&] {
      return std::ranges::any_of(proxies, [](const auto& proxy) { return proxy->HasSwallowed(); });
    });
    // One connection only: the edge's next attempt gets through.
    for (const auto& proxy : proxies) proxy->Arm("");
    is_acknowledged = swallowed && deployment.Configure(next_config, 2'000);
    client.join();
  } else {
    answer = lab::Submit(deployment.Front(0), kRoute, job, content);
    is_acknowledged = deployment.Configure(next_config, 2'000);
  }
  if (!is_acknowledged) return lab::kCannotRun;
  lab::SleepMs(4'000);
  lab::Read(deployment.Front(1), kRoute, job);
  const std::size_t starts = ledger.StartsOf(job).size();
  const bool is_rejected = answer.status == 404 || answer.status == 429 || answer.status == 503;
  lab::Say("the only attempt to hand the job in was answered " + std::to_string(answer.status) +
           "; its task was started " + std::to_string(starts) + " times");
  return is_rejected && starts > 0 ? lab::kBroken : lab::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return lab::RunCase(argc, argv, Run); }
