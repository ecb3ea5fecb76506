// Ages of pooled connections, and the move of sessions away from targets that leave.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "routing/types.h"

namespace mangoroad::routing {

/// A connection idle for longer isn't given a non-idempotent request, since it may have gone silent
/// and the outcome of the request would be unknown.
inline constexpr base::Duration kMostIdleForNonIdempotent = std::chrono::seconds(1);
/// A connection with no sign of life for longer is closed.
inline constexpr base::Duration kMostUnproven = std::chrono::seconds(10);

/// Whether a pooled connection may carry a request. `last_proven_alive` is the time of the last
/// answer or probe reply on it.
bool MayUseConnection(base::TimePoint now, base::TimePoint idle_since,
                      base::TimePoint last_proven_alive, bool idempotent);

using SessionId = std::uint64_t;

/// Long-lived connections of callers. They count as connections, not slots. Sessions on a target
/// that leaves are asked to reconnect at a limited rate, so that they don't all arrive at once.
class SessionBook {
 public:
  /// Reconnects a second over all targets.
  explicit SessionBook(double reconnects_per_second = 50);

  void Open(SessionId session, TargetIndex target);
  void Close(SessionId session);
  /// Starts to move the sessions of a target.
  void Drain(TargetIndex target);
  /// Sessions to be asked to reconnect now. Each is named once.
  std::vector<SessionId> TakeReconnects(base::TimePoint now);
  [[nodiscard]] std::size_t Count(TargetIndex target) const;

 private:
  double rate;
  double tokens = 1;
  base::TimePoint filled_at;
  std::map<SessionId, TargetIndex> sessions;
  std::map<TargetIndex, std::set<SessionId>> by_target;
  std::deque<SessionId> moving;
};

}  // namespace mangoroad::routing
