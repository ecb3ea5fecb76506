#include "interference/mix_history.h"

#include <algorithm>
#include <ranges>

namespace mangoroad::interference {

using base::Duration;
using base::TimePoint;

void MixHistory::Begin(TimePoint at, jobs::JobId job, KindId kind, double share) {
  this->End(at, job);
  this->spans.push_back({job, kind, share, at, std::nullopt});
}

void MixHistory::End(TimePoint at, jobs::JobId job) {
  const auto span = std::ranges::find_if(
      this->spans, [&](const Span& candidate) { return candidate.job == job && !candidate.end; });
  if (span != this->spans.end()) span->end = std::max(at, span->begin);
}

std::optional<MixHistory::Mix> MixHistory::MixBefore(TimePoint at, Duration window,
                                                     jobs::JobId job) const {
  const TimePoint from = at - window;
  const double length = std::max(1.0, static_cast<double>(window.count()));
  Mix mix;
  bool whole = job == 0;
  for (const Span& span : this->spans) {
    const TimePoint begin = std::max(span.begin, from);
    const TimePoint end = std::min(span.end.value_or(at), at);
    if (end <= begin) continue;
    const double part = static_cast<double>((end - begin).count()) / length;
    mix.load += span.share * part;
    if (job != 0 && span.job == job) {
      whole = whole || (begin == from && end == at);
      continue;
    }
    const auto known = std::ranges::find(mix.neighbours, span.kind, &Neighbour::kind);
    if (known == mix.neighbours.end()) {
      mix.neighbours.push_back({span.kind, span.share * part});
    } else {
      known->share += span.share * part;
    }
  }
  if (!whole) return std::nullopt;
  return mix;
}

std::optional<KindId> MixHistory::KindOf(jobs::JobId job) const {
  const auto span = std::ranges::find(this->spans, job, &Span::job);
  if (span == this->spans.end()) return std::nullopt;
  return span->kind;
}

void MixHistory::RemoveEndedBefore(TimePoint at) {
  std::erase_if(this->spans, [&](const Span& span) { return span.end && *span.end < at; });
}

}  // namespace mangoroad::interference
