// The starts that a replica has applied lately, for the case that it becomes the leader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>
#include <utility>

#include "base/time.h"
#include "workload/commands.h"

namespace mangoroad::controller {

/// A start request that an earlier leader sent just before its term ended may be on its way, and
/// the next incarnation of its target may take it. Requests aren't sent later than a window after
/// the start was committed, so runs that were committed before aren't affected.
class StartHistory {
 public:
  /// `window`: after this time no request of the start is on its way any more.
  explicit StartHistory(base::Duration request_window) : window(request_window) {}

  /// Must be called when a snapshot has replaced the replicated state. Starts before `now` aren't
  /// known then.
  void OnRestored(base::TimePoint now);
  void OnApplied(base::TimePoint now, const workload::RunChanges& changes);

  /// Answers whether a start may have been committed within the window.
  class Recent {
   public:
    [[nodiscard]] bool MayContain(const workload::TaskRef& task, std::uint32_t run) const;

   private:
    friend class StartHistory;
    bool is_complete = false;
    std::unordered_set<std::size_t> hashes;
  };
  [[nodiscard]] Recent RecentAt(base::TimePoint now) const;

 private:
  base::Duration window;
  base::TimePoint known_since;
  /// Times and hashes of starts, oldest first: 16 bytes each at thousands of starts a second. Equal
  /// hashes make a run count as recent, which is safe.
  std::deque<std::pair<base::TimePoint, std::size_t>> starts;
};

}  // namespace mangoroad::controller
