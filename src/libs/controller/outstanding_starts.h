// Start requests that targets may still carry out, although the leader got no response.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "controller/target_calls.h"
#include "workload/commands.h"

namespace mangoroad::controller {

/// What decides until when a start request may be carried out.
struct StartAttempt {
  workload::TargetIncarnation target;
  Fence fence = 0;
  /// By the clock of the incarnation; the default is for requests of earlier leaders, whose
  /// deadlines aren't known.
  dispatch::TargetMilliseconds deadline = std::numeric_limits<dispatch::TargetMilliseconds>::max();
  /// A later incarnation carries it out until then, or never.
  base::TimePoint latest;
};

/// What a response of an incarnation shows.
struct TargetEvidence {
  workload::TargetIncarnation target;
  /// The fence of the request that was answered.
  Fence fence = 0;
  /// 0 when it doesn't count.
  dispatch::TargetMilliseconds clock = 0;
};

/// The unanswered starts of a leader.
///
/// A target may carry out a request that it doesn't answer seconds later, after newer requests, and
/// no time that passes at the leader rules that out. For one incarnation, its own responses do: it
/// has seen a higher fence, its clock has passed the deadline of the request, it has confirmed a
/// stop of the run, or the run has been there (PROTOCOL.md, "Running tasks"). A later incarnation
/// has seen no fence and no stop, and its clock starts anew; for it, only the longest time counts
/// until a request is carried out.
class OutstandingStarts {
 public:
  void Clear();
  /// A request was sent. All requests of a run go to the same incarnation.
  void OnSent(const StartAttempt& attempt, const workload::TaskRef& task, std::uint32_t run);
  /// The latest request was answered.
  void OnAnswered(const workload::TaskRef& task, std::uint32_t run);
  /// The latest request got no response.
  void OnUnanswered(const workload::TaskRef& task, std::uint32_t run);
  /// The incarnation rejects further starts of the run: it was stopped, has ended, or is there.
  void RuleOut(const workload::TaskRef& task, std::uint32_t run);
  /// An incarnation has responded to a request that was sent at `sent_at`.
  void OnResponded(base::TimePoint sent_at, const TargetEvidence& evidence);
  /// Drops all that no incarnation can carry out after this time.
  void Forget(base::TimePoint before);

  /// Until when a later incarnation of the target may begin the run; nothing when no request of it
  /// is outstanding.
  [[nodiscard]] std::optional<base::TimePoint> LatestBegin(const workload::TaskRef& task,
                                                           std::uint32_t run) const;
  /// True while the incarnation that the requests were sent to may begin the run.
  [[nodiscard]] bool MayBeginThere(const workload::TaskRef& task, std::uint32_t run) const;

  struct Run {
    std::uint32_t run = 0;
    workload::TargetIncarnation target;
    base::TimePoint latest_begin;
    /// This incarnation can't begin the run any more.
    bool is_ruled_out = false;
  };
  /// The runs of a task with outstanding requests.
  [[nodiscard]] std::vector<Run> RunsOf(const workload::TaskRef& task) const;

 private:
  struct Entry {
    workload::TargetIncarnation target;
    /// The highest of all requests.
    Fence fence = 0;
    dispatch::TargetMilliseconds deadline = 0;
    bool is_ruled_out = false;
    /// Of the latest request, until it is answered.
    std::optional<base::TimePoint> pending_until;
    /// Of requests that got no response.
    std::optional<base::TimePoint> unanswered_until;
    [[nodiscard]] base::TimePoint Latest() const;
    [[nodiscard]] bool IsRuledOutBy(const TargetEvidence& evidence) const;
  };

  using Key = std::pair<workload::TaskRef, std::uint32_t>;
  using Starts = std::map<Key, Entry>;
  Starts::iterator Erase(Starts::iterator start);

  Starts starts;
  /// Those of each target: thousands of responses a second are looked up here.
  std::map<std::string, std::set<Key>> by_target;
};

}  // namespace mangoroad::controller
