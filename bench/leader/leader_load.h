// The load of a leader: many targets that report and are polled, and a mix of jobs with short,
// best-effort and lasting tasks, all in proportion to the number of targets.
#pragma once

#include <cstddef>

#include "base/time.h"

namespace mangoroad::bench {

struct LeaderLoadSettings {
  std::size_t targets = 490;
  /// Share of a core that the leader has.
  double core_share = 0.4;
  /// Processor time of one exchange with a target or caller for sockets, HTTP and JSON, which the
  /// simulation doesn't run.
  base::Duration exchange_cost{};
  /// Time that the loop stands still for each commit.
  base::Duration sync_on_loop{};
  base::Duration duration = std::chrono::seconds(20);
};

struct LeaderLoadReport {
  double starts_per_s = 0;
  double polls_per_s = 0;
  double plans_per_s = 0;
  /// Processor time in microseconds: planning, logging, applying and sending for a start, finding,
  /// sending and evaluating for a poll, evaluating for a report.
  double us_per_start = 0;
  double us_per_poll = 0;
  double us_per_report = 0;
  /// Share of the time in which the loop was occupied.
  double occupied = 0;
  double loop_delay_p50_ms = 0;
  double loop_delay_p99_ms = 0;
  /// From the submission of a job of short tasks to its first start request.
  double first_start_p50_ms = 0;
  double first_start_p95_ms = 0;
};

LeaderLoadReport MeasureLeaderLoad(const LeaderLoadSettings& settings);

}  // namespace mangoroad::bench
