// History of the work on a target, to attribute measurements that arrive late.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "interference/slowdown_model.h"
#include "jobs/job.h"

namespace mangoroad::interference {

/// Tasks that ran on one target lately.
class MixHistory {
 public:
  /// Work beside one task, averaged over a time window.
  struct Mix {
    std::vector<Neighbour> neighbours;
    /// Reserved fraction of the target's processors, including the task itself, 0 to 1.
    double load = 0;
  };

  /// A task reserves `share`, 0 to 1, of the target's processors from `at` on.
  void Begin(base::TimePoint at, jobs::JobId job, KindId kind, double share);
  void End(base::TimePoint at, jobs::JobId job);

  /// What ran beside `job` (0 for a service) during `window` before `at`. Nothing when `job` didn't
  /// run for the whole window, since such a measurement also covers time without the job.
  std::optional<Mix> MixBefore(base::TimePoint at, base::Duration window, jobs::JobId job) const;

  /// Kind of a job; nothing when the job isn't in the history.
  std::optional<KindId> KindOf(jobs::JobId job) const;

  void RemoveEndedBefore(base::TimePoint at);

 private:
  struct RunInterval {
    jobs::JobId job = 0;
    KindId kind = 0;
    double share = 0;
    base::TimePoint begin;
    std::optional<base::TimePoint> end;
  };
  std::deque<RunInterval> intervals;
};

}  // namespace mangoroad::interference
