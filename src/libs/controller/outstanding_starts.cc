#include "controller/outstanding_starts.h"

#include <algorithm>
#include <iterator>

namespace mangoroad::controller {

base::TimePoint OutstandingStarts::Entry::Latest() const {
  return std::max(this->pending_until.value_or(base::TimePoint{}),
                  this->unanswered_until.value_or(base::TimePoint{}));
}

void OutstandingStarts::Clear() {
  this->starts.clear();
  this->by_target.clear();
}

OutstandingStarts::Starts::iterator OutstandingStarts::Erase(Starts::iterator start) {
  const auto of_target = this->by_target.find(start->second.target_id);
  of_target->second.erase(start->first);
  if (of_target->second.empty()) this->by_target.erase(of_target);
  return this->starts.erase(start);
}

void OutstandingStarts::OnSent(base::TimePoint latest, const std::string& target_id,
                               const workload::TaskRef& task, std::uint32_t run) {
  Entry& entry = this->starts[{task, run}];
  entry.target_id = target_id;
  entry.pending_until = latest;
  this->by_target[target_id].insert({task, run});
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

void OutstandingStarts::OnResponded(base::TimePoint sent_at, const std::string& target_id) {
  const auto of_target = this->by_target.find(target_id);
  if (of_target == this->by_target.end()) return;
  const std::set<Key> keys = of_target->second;
  for (const Key& key : keys) {
    const auto start = this->starts.find(key);
    if (start->second.Latest() <= sent_at) this->Erase(start);
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

std::optional<OutstandingStarts::Run> OutstandingStarts::LatestRunOf(
    const workload::TaskRef& task) const {
  std::optional<Run> latest;
  for (auto start = this->starts.lower_bound({task, 0}); start != this->starts.end(); ++start) {
    const auto& [key, entry] = *start;
    if (key.first != task) break;
    if (latest && latest->latest_begin >= entry.Latest()) continue;
    latest = Run{key.second, entry.target_id, entry.Latest()};
  }
  return latest;
}

}  // namespace mangoroad::controller
