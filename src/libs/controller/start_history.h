// The starts that a replica has applied lately, for the case that it becomes the leader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "base/time.h"
#include "workload/commands.h"

namespace mangoroad::controller {

struct StartWindows {
  /// A start is requested no later than this after it was committed.
  base::Duration send{};
  /// A response that is missing is noticed, and committed, no later than this after the request.
  base::Duration notice{};
  /// A request is carried out no later than this after it was sent, or never.
  base::Duration carry_out{};
};

/// A start request that an earlier leader sent may still be carried out, by a later incarnation of
/// its target, too. A leader commits a start again when its request got no response. So a start
/// that was committed once, and not lately, was answered.
class StartHistory {
 public:
  explicit StartHistory(StartWindows start_windows) : windows(start_windows) {}

  /// Must be called when a snapshot has replaced the replicated state. Starts before `now` aren't
  /// known then.
  void OnRestored(base::TimePoint now);
  /// `age`: how long ago the changes were proposed, by the time of day.
  void OnApplied(base::TimePoint now, base::Duration age, const workload::RunChanges& changes);

  /// Answers which requests may be carried out after a moment.
  class Recent {
   public:
    struct Request {
      /// It may be carried out until then.
      base::TimePoint latest;
      /// It is known that there was no response.
      bool is_unanswered = false;
    };
    /// Of one run; nothing when all of its requests are settled.
    [[nodiscard]] std::optional<Request> Of(const workload::TaskRef& task, std::uint32_t run) const;

   private:
    friend class StartHistory;
    /// Set while earlier starts, which aren't known, may not be settled.
    std::optional<Request> unknown;
    std::unordered_map<std::size_t, Request> requests;
  };
  [[nodiscard]] Recent RecentAt(base::TimePoint now) const;

 private:
  struct Entry {
    base::TimePoint applied_at;
    std::size_t run = 0;
  };

  StartWindows windows;
  base::TimePoint known_since;
  /// Oldest first: 16 bytes each at thousands of starts a second. Equal hashes make a run count as
  /// recent, which is safe.
  std::deque<Entry> starts;
};

}  // namespace mangoroad::controller
