#include "controller/start_history.h"

#include <algorithm>
#include <functional>
#include <string>

namespace mangoroad::controller {
namespace {

/// Changes of at least this age are read from the log after a restart. Below that, a difference
/// between the leaders' times of day must not shorten a window.
constexpr base::Duration kLeastReplayedAge = std::chrono::seconds(5);

std::size_t HashOf(const workload::TaskRef& task, std::uint32_t run) {
  return std::hash<std::string>()(workload::ToText(task) + '/' + std::to_string(run));
}

}  // namespace

void StartHistory::OnRestored(base::TimePoint now) {
  this->known_since = now;
  this->starts.clear();
}

void StartHistory::OnApplied(base::TimePoint now, base::Duration age,
                             const workload::RunChanges& changes) {
  const base::Duration kept = this->windows.send + this->windows.carry_out;
  const base::TimePoint applied_at = age < kLeastReplayedAge ? now : now - age;
  while (!this->starts.empty() && this->starts.front().applied_at + kept < now) {
    this->starts.pop_front();
  }
  for (const workload::Start& start : changes.starts) {
    this->starts.push_back({applied_at, HashOf(start.task, start.run)});
  }
}

StartHistory::Recent StartHistory::RecentAt(base::TimePoint now) const {
  Recent recent;
  const base::Duration settled = this->windows.send + this->windows.notice;
  // The time until `carry_out` isn't added here: work on lost targets would wait for half a minute
  // after each restart of all replicas.
  if (now < this->known_since + settled) recent.unknown = Recent::Request{now, false};
  std::unordered_map<std::size_t, Recent::Request> all;
  for (const Entry& entry : this->starts) {
    if (entry.applied_at + this->windows.send + this->windows.carry_out < now) continue;
    const bool is_recent = entry.applied_at + settled >= now;
    // A start that was committed again had been sent before that.
    const base::TimePoint sent =
        is_recent ? std::min(now, entry.applied_at + this->windows.send) : entry.applied_at;
    const Recent::Request request{sent + this->windows.carry_out, false};
    const auto [known, is_first] = all.try_emplace(entry.run, request);
    if (!is_first) known->second = {std::max(known->second.latest, request.latest), true};
    if (is_recent || !is_first) recent.requests[entry.run] = known->second;
  }
  return recent;
}

std::optional<StartHistory::Recent::Request> StartHistory::Recent::Of(const workload::TaskRef& task,
                                                                      std::uint32_t run) const {
  const auto found = this->requests.find(HashOf(task, run));
  return found == this->requests.end() ? this->unknown : found->second;
}

}  // namespace mangoroad::controller
