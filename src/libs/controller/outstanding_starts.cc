#include "controller/outstanding_starts.h"

#include <algorithm>

namespace mangoroad::controller {

base::TimePoint OutstandingStarts::Entry::Latest() const {
  return std::max(this->pending_until.value_or(base::TimePoint{}),
                  this->unanswered_until.value_or(base::TimePoint{}));
}

void OutstandingStarts::OnSent(base::TimePoint latest, const std::string& target_id,
                               const workload::TaskRef& task, std::uint32_t run) {
  Entry& entry = this->starts[{task, run}];
  entry.target_id = target_id;
  entry.pending_until = latest;
}

void OutstandingStarts::OnAnswered(const workload::TaskRef& task, std::uint32_t run) {
  const auto found = this->starts.find({task, run});
  if (found == this->starts.end()) return;
  found->second.pending_until.reset();
  if (!found->second.unanswered_until) this->starts.erase(found);
}

void OutstandingStarts::OnUnanswered(const workload::TaskRef& task, std::uint32_t run) {
  const auto found = this->starts.find({task, run});
  if (found == this->starts.end()) return;
  found->second.unanswered_until = found->second.Latest();
  found->second.pending_until.reset();
}

void OutstandingStarts::OnResponded(base::TimePoint sent_at, const std::string& target_id) {
  std::erase_if(this->starts, [&](const auto& start) {
    const Entry& entry = start.second;
    return entry.target_id == target_id && entry.Latest() <= sent_at;
  });
}

void OutstandingStarts::Forget(base::TimePoint before) {
  std::erase_if(this->starts, [&](const auto& entry) { return entry.second.Latest() < before; });
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
