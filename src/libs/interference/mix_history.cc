#include "interference/mix_history.h"

#include <algorithm>
#include <ranges>

namespace mangoroad::interference {

using base::Duration;
using base::TimePoint;

void MixHistory::Begin(TimePoint at, jobs::JobId job, KindId kind, double share) {
  this->End(at, job);
  this->intervals.push_back({job, kind, share, at, std::nullopt});
}

void MixHistory::End(TimePoint at, jobs::JobId job) {
  const auto interval = std::ranges::find_if(this->intervals, [&](const RunInterval& candidate) {
    return candidate.job == job && !candidate.end;
  });
  if (interval != this->intervals.end()) interval->end = std::max(at, interval->begin);
}

std::optional<MixHistory::Mix> MixHistory::MixBefore(TimePoint at, Duration window,
                                                     jobs::JobId job) const {
  const TimePoint from = at - window;
  const double length = std::max(1.0, static_cast<double>(window.count()));
  Mix mix;
  bool covers_window = job == 0;
  for (const RunInterval& interval : this->intervals) {
    const TimePoint begin = std::max(interval.begin, from);
    const TimePoint end = std::min(interval.end.value_or(at), at);
    if (end <= begin) continue;
    const double fraction = static_cast<double>((end - begin).count()) / length;
    mix.load += interval.share * fraction;
    if (job != 0 && interval.job == job) {
      covers_window = covers_window || (begin == from && end == at);
      continue;
    }
    const auto known = std::ranges::find(mix.neighbours, interval.kind, &Neighbour::kind);
    if (known == mix.neighbours.end()) {
      mix.neighbours.push_back({interval.kind, interval.share * fraction});
    } else {
      known->share += interval.share * fraction;
    }
  }
  if (!covers_window) return std::nullopt;
  return mix;
}

std::optional<KindId> MixHistory::KindOf(jobs::JobId job) const {
  const auto interval = std::ranges::find(this->intervals, job, &RunInterval::job);
  if (interval == this->intervals.end()) return std::nullopt;
  return interval->kind;
}

void MixHistory::RemoveEndedBefore(TimePoint at) {
  std::erase_if(this->intervals,
                [&](const RunInterval& interval) { return interval.end && *interval.end < at; });
}

}  // namespace mangoroad::interference
