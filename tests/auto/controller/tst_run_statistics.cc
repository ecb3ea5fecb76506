#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

#include "controller/run_statistics.h"
#include "log/log.h"
#include "support/temporary_folder.h"

namespace mangoroad::controller {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(std::int64_t ms) { return base::TimePoint(milliseconds(ms)); }

// Guards against a late class of jobs whose wait no log line shows, so that a leader without
// processor time looks like one that waits for commits, for targets or for nothing.
TEST_CASE("the log tells the wait of a step from the way of its start and the renewal of leases") {
  const support::TemporaryFolder folder;
  const std::string path = folder.Path() + "/log";
  REQUIRE(base::Ok(log::Configure({.file = path})));
  RunStatistics statistics;
  statistics.LogIfDue(At(10'000), {});
  const workload::StepRef step{"j", 0, 0};
  statistics.OnReady(At(10'100), step);
  statistics.OnReady(At(10'150), step);
  statistics.OnStartCommitted(At(10'180), step, TaskKind::kShort);
  statistics.OnStartCommitted(At(10'900), step, TaskKind::kShort);
  statistics.OnStartConfirmed(At(10'190), At(10'180), TaskKind::kShort);
  statistics.OnLeaseRenewed(milliseconds(1'200));
  statistics.OnLeaseRenewed(milliseconds(2'400));
  statistics.OnRunEnded(workload::RunEnd::kLeaseExpired);
  statistics.LogIfDue(At(10'999), {});
  statistics.LogIfDue(At(11'000), {});
  log::Flush();
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  REQUIRE(base::Ok(log::Configure({})));
  CHECK(text.find("event=\"start delays\" kind=short steps=1 mean_ready_to_commit_ms=80 "
                  "max_ready_to_commit_ms=80 starts=1 mean_commit_to_confirmed_ms=10") !=
        std::string::npos);
  CHECK(text.find("kind=best-effort") == std::string::npos);
  CHECK(text.find("lapsed=1 lost=0 refused=0 renewals=2 least_lease_left_ms=1200") !=
        std::string::npos);
}

}  // namespace
}  // namespace mangoroad::controller
