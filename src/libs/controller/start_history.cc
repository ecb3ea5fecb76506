#include "controller/start_history.h"

#include <functional>
#include <string>

namespace mangoroad::controller {
namespace {

std::size_t HashOf(const workload::TaskRef& task, std::uint32_t run) {
  return std::hash<std::string>()(workload::ToText(task) + '/' + std::to_string(run));
}

}  // namespace

void StartHistory::OnRestored(base::TimePoint now) {
  this->known_since = now;
  this->starts.clear();
}

void StartHistory::OnApplied(base::TimePoint now, const workload::RunChanges& changes) {
  while (!this->starts.empty() && this->starts.front().first + this->window < now) {
    this->starts.pop_front();
  }
  for (const workload::Start& start : changes.starts) {
    this->starts.emplace_back(now, HashOf(start.task, start.run));
  }
}

StartHistory::Recent StartHistory::RecentAt(base::TimePoint now) const {
  Recent recent;
  recent.is_complete = now >= this->known_since + this->window;
  for (const auto& [applied_at, hash] : this->starts) {
    if (applied_at + this->window >= now) recent.hashes.insert(hash);
  }
  return recent;
}

bool StartHistory::Recent::MayContain(const workload::TaskRef& task, std::uint32_t run) const {
  return !this->is_complete || this->hashes.contains(HashOf(task, run));
}

}  // namespace mangoroad::controller
