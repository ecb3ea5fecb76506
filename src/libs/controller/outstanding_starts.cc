#include "controller/outstanding_starts.h"

#include <algorithm>
#include <iterator>

namespace mangoroad::controller {

base::TimePoint OutstandingStarts::Entry::Latest() const {
  return std::max(this->pending_until.value_or(base::TimePoint{}),
                  this->unanswered_until.value_or(base::TimePoint{}));
}

bool OutstandingStarts::Entry::IsRuledOutBy(const TargetEvidence& evidence) const {
  // A later incarnation responds only after this one has ended.
  const bool is_fenced_off =
      evidence.target.number >= this->target.number && evidence.fence > this->fence;
  const bool is_late = evidence.target == this->target && evidence.clock > this->deadline;
  return is_fenced_off || is_late;
}

void OutstandingStarts::Clear() {
  this->starts.clear();
  this->by_target.clear();
}

OutstandingStarts::Starts::iterator OutstandingStarts::Erase(Starts::iterator start) {
  const auto of_target = this->by_target.find(start->second.target.id);
  of_target->second.erase(start->first);
  if (of_target->second.empty()) this->by_target.erase(of_target);
  return this->starts.erase(start);
}

void OutstandingStarts::OnSent(const StartAttempt& attempt, const workload::TaskRef& task,
                               std::uint32_t run) {
  Entry& entry = this->starts[{task, run}];
  entry.target = attempt.target;
  entry.fence = std::max(entry.fence, attempt.fence);
  entry.deadline = std::max(entry.deadline, attempt.deadline);
  entry.is_ruled_out = false;
  entry.pending_until = attempt.latest;
  this->by_target[attempt.target.id].insert({task, run});
}

void OutstandingStarts::OnAnswered(const workload::TaskRef& task, std::uint32_t run) {
  const auto found = this->starts.find({task, run});
  if (found == this->starts.end()) return;
  found->second.pending_until.reset();
  if (!found->second.unanswered_until) this->Erase(found);
}

void OutstandingStarts::OnUnanswered(const workload::TaskRef& task, std::uint32_t run) {
  const auto found = this->starts.find({task, run});
  if (found == this->starts.end()) return;
  found->second.unanswered_until = found->second.Latest();
  found->second.pending_until.reset();
}

void OutstandingStarts::RuleOut(const workload::TaskRef& task, std::uint32_t run) {
  const auto found = this->starts.find({task, run});
  if (found != this->starts.end()) found->second.is_ruled_out = true;
}

void OutstandingStarts::OnResponded(base::TimePoint sent_at, const TargetEvidence& evidence) {
  const auto of_target = this->by_target.find(evidence.target.id);
  if (of_target == this->by_target.end()) return;
  const std::set<Key> keys = of_target->second;
  for (const Key& key : keys) {
    const auto start = this->starts.find(key);
    Entry& entry = start->second;
    entry.is_ruled_out = entry.is_ruled_out || entry.IsRuledOutBy(evidence);
    if (entry.is_ruled_out && entry.Latest() <= sent_at) this->Erase(start);
  }
}

void OutstandingStarts::Forget(base::TimePoint before) {
  for (auto start = this->starts.begin(); start != this->starts.end();) {
    start = start->second.Latest() < before ? this->Erase(start) : std::next(start);
  }
}

std::optional<base::TimePoint> OutstandingStarts::LatestBegin(const workload::TaskRef& task,
                                                              std::uint32_t run) const {
  const auto found = this->starts.find({task, run});
  if (found == this->starts.end()) return std::nullopt;
  return found->second.Latest();
}

bool OutstandingStarts::MayBeginThere(const workload::TaskRef& task, std::uint32_t run) const {
  const auto found = this->starts.find({task, run});
  return found != this->starts.end() && !found->second.is_ruled_out;
}

std::vector<OutstandingStarts::Run> OutstandingStarts::RunsOf(const workload::TaskRef& task) const {
  std::vector<Run> runs;
  for (auto start = this->starts.lower_bound({task, 0}); start != this->starts.end(); ++start) {
    const auto& [key, entry] = *start;
    if (key.first != task) break;
    runs.push_back({key.second, entry.target, entry.Latest(), entry.is_ruled_out});
  }
  return runs;
}

}  // namespace mangoroad::controller
