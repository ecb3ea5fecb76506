// Which work ran on a target at past moments, for measurements that arrive late.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "interference/slowdown_model.h"
#include "jobs/job.h"

namespace mangoroad::interference {

/// Work on one target over the last minutes.
class MixHistory {
 public:
  /// Work beside one task, averaged over a time span.
  struct Mix {
    std::vector<Neighbour> neighbours;
    /// Reserved part of the target's processors with the task itself, 0 to 1.
    double load = 0;
  };

  /// A task occupies `share` of the target's processors from `at` on.
  void Begin(base::TimePoint at, jobs::JobId job, KindId kind, double share);
  void End(base::TimePoint at, jobs::JobId job);

  /// What ran beside `job` (0 for a service) during `window` before `at`. Nothing when `job` didn't
  /// run for the whole window, since the measurement then mixes two situations.
  std::optional<Mix> MixBefore(base::TimePoint at, base::Duration window, jobs::JobId job) const;

  /// Kind of a job that runs or ran lately.
  std::optional<KindId> KindOf(jobs::JobId job) const;

  /// Drops what ended before `at`.
  void RemoveEndedBefore(base::TimePoint at);

 private:
  struct Span {
    jobs::JobId job = 0;
    KindId kind = 0;
    double share = 0;
    base::TimePoint begin;
    std::optional<base::TimePoint> end;
  };
  std::deque<Span> spans;
};

}  // namespace mangoroad::interference
