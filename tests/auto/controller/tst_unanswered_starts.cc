// Starts of long-running tasks that get no response and are carried out late by the incarnation
// that has received them.
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "run_simulation.h"

namespace mangoroad::controller {
namespace {

const workload::JobId kJob = "0000000000000001";

workload::JobSpec LongRunningJob(std::uint32_t count) {
  workload::JobSpec spec;
  workload::StepSpec& step = spec.steps.emplace_back();
  step.count = count;
  step.resources = {1'000, 100, 0};
  step.long_running = true;
  return spec;
}

/// Two long-running tasks that are placed on t0, the only target within reach at first. t0 leaves
/// starts and polls unanswered for some time, and carries them out `late_ms` later.
class LateDay {
 public:
  LateDay(std::int64_t starts_ms, std::int64_t polls_ms, std::int64_t late_ms)
      : simulation(1, 2, {}), targets(simulation.targets) {
    this->simulation.RunFor(3'100);
    this->targets.SetIsolated("t1", true);
    this->simulation.RunFor(4'000);
    this->targets.specs[kJob] = LongRunningJob(2);
    this->simulation.SubmitSpec(kJob, this->targets.specs[kJob]);
    this->targets.late_by = [this, starts_ms, polls_ms, late_ms](
                                RequestKind kind,
                                const std::string& id) -> std::optional<std::int64_t> {
      if (id != "t0") return std::nullopt;
      if (!this->began_ms && kind != RequestKind::kStart) return std::nullopt;
      if (!this->began_ms) this->began_ms = this->simulation.time.NowMs();
      const std::int64_t passed_ms = this->simulation.time.NowMs() - *this->began_ms;
      const bool is_late = (kind == RequestKind::kStart && passed_ms < starts_ms) ||
                           (kind == RequestKind::kPoll && passed_ms < polls_ms);
      return is_late ? std::optional(late_ms) : std::nullopt;
    };
    this->simulation.RunFor(500);
    this->targets.SetIsolated("t1", false);
  }

  [[nodiscard]] std::size_t Running() const {
    std::size_t running = 0;
    for (const auto& [id, target] : this->targets.All()) running += target.running.size();
    return running;
  }

  Simulation simulation;
  FakeTargets& targets;
  std::optional<std::int64_t> began_ms;
};

// Guards against a task that starts elsewhere while the incarnation that received its unanswered
// start may still carry it out (review/8, TWICE).
TEST_CASE("a long-running task isn't started elsewhere while its unanswered start may begin") {
  for (std::int64_t starts_ms = 200; starts_ms <= 8'000; starts_ms += 1'300) {
    for (std::int64_t polls_ms = 0; polls_ms <= 4'500; polls_ms += 750) {
      for (std::int64_t late_ms = 800; late_ms <= 14'000; late_ms += 450) {
        INFO("starts " << starts_ms << " ms, polls " << polls_ms << " ms, late " << late_ms
                       << " ms");
        LateDay day(starts_ms, polls_ms, late_ms);
        REQUIRE(day.Running() == 0);
        day.simulation.RunFor(16'000);
        for (const std::string& violation : day.targets.violations) FAIL_CHECK(violation);
        CHECK(day.Running() == 2);
      }
    }
  }
}

// Guards against tasks that wait for a start that no response will ever settle: rule LOST gives a
// long-running task 6 s until it runs again.
TEST_CASE("a long-running task runs within 6 s although its target leaves starts unanswered") {
  for (std::int64_t polls_ms = 0; polls_ms <= 2'000; polls_ms += 250) {
    INFO("polls unanswered for " << polls_ms << " ms");
    LateDay day(60'000, polls_ms, 60'000);
    day.simulation.RunFor(5'500);
    for (const std::string& violation : day.targets.violations) FAIL_CHECK(violation);
    CHECK(day.Running() == 2);
  }
}

// Guards against a long-running task that waits until the deadline of its unanswered start is over,
// and against a late start that begins after its task was freed: the next poll rules it out.
TEST_CASE("the poll after an unanswered start of a long-running task raises the fence") {
  LateDay day(200, 0, 60'000);
  const Fence of_start = day.targets.All().at("t0").fence;
  CHECK(day.Running() == 0);
  // The start has timed out, and the poll after it was answered.
  day.simulation.RunFor(300);
  CHECK(day.targets.All().at("t0").fence > of_start);
  // t1 announces itself each 1.5 s.
  day.simulation.RunFor(1'700);
  CHECK(day.Running() == 2);
}

}  // namespace
}  // namespace mangoroad::controller
