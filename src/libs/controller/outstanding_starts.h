// Start requests that targets may still carry out, although the leader got no response.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/time.h"
#include "workload/commands.h"

namespace mangoroad::controller {

/// A target may carry out a request that it doesn't answer seconds later, and so may each later
/// incarnation under its id, since it has seen no fence. Until then the run isn't over, whatever
/// the present incarnation lists.
class OutstandingStarts {
 public:
  void Clear();
  /// A request was sent. It is carried out until `latest`, or never.
  void OnSent(base::TimePoint latest, const std::string& target_id, const workload::TaskRef& task,
              std::uint32_t run);
  /// The latest request was answered.
  void OnAnswered(const workload::TaskRef& task, std::uint32_t run);
  /// The latest request got no response.
  void OnUnanswered(const workload::TaskRef& task, std::uint32_t run);
  /// The incarnation to which the starts were sent has responded to a request of this time, so no
  /// later one has begun a run before.
  void OnResponded(base::TimePoint sent_at, const std::string& target_id);
  /// Drops all that can't be carried out any more after this time.
  void Forget(base::TimePoint before);

  /// Until when an incarnation of the target may begin the run; nothing when no request of it is
  /// outstanding.
  [[nodiscard]] std::optional<base::TimePoint> LatestBegin(const workload::TaskRef& task,
                                                           std::uint32_t run) const;
  struct Run {
    std::uint32_t run = 0;
    std::string target_id;
    base::TimePoint latest_begin;
  };
  /// Of the runs of a task, the one that may begin latest.
  [[nodiscard]] std::optional<Run> LatestRunOf(const workload::TaskRef& task) const;

 private:
  struct Entry {
    std::string target_id;
    /// Of the latest request, until it is answered.
    std::optional<base::TimePoint> pending_until;
    /// Of requests that got no response.
    std::optional<base::TimePoint> unanswered_until;
    [[nodiscard]] base::TimePoint Latest() const;
  };

  using Key = std::pair<workload::TaskRef, std::uint32_t>;
  using Starts = std::map<Key, Entry>;
  Starts::iterator Erase(Starts::iterator start);

  Starts starts;
  /// Those of each target: thousands of responses a second are looked up here.
  std::map<std::string, std::set<Key>> by_target;
};

}  // namespace mangoroad::controller
