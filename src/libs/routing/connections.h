// Reuse rules for pooled connections, and rate-limited reconnection of sessions on leaving targets.
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

/// A connection that has been idle for longer carries no non-idempotent request: the peer may be
/// unreachable already, and the outcome of the request would be unknown.
inline constexpr base::Duration kMaxIdleForNonIdempotent = std::chrono::seconds(1);
/// A connection without a response or probe reply for longer is closed.
inline constexpr base::Duration kMaxTimeSinceLastContact = std::chrono::seconds(10);

/// Whether a pooled connection may carry a request. `last_contact` is the time of the last response
/// or probe reply on it.
bool MayUseConnection(base::TimePoint now, base::TimePoint idle_since, base::TimePoint last_contact,
                      bool idempotent);

using SessionId = std::uint64_t;

/// Tracks sessions, which are long-lived connections of callers. A session uses a connection of its
/// target but no slot. Sessions on a leaving target are asked to reconnect at a limited rate, which
/// keeps the other targets from receiving all of them at once.
class SessionTracker {
 public:
  /// `reconnects_per_second` applies to all targets together.
  explicit SessionTracker(double reconnects_per_second = 50);

  void Open(SessionId session, TargetIndex target);
  void Close(SessionId session);
  /// Schedules all sessions of a target for reconnection.
  void Drain(TargetIndex target);
  /// Returns the sessions to be asked to reconnect now. Each session is returned once.
  std::vector<SessionId> TakeReconnects(base::TimePoint now);
  [[nodiscard]] std::size_t Count(TargetIndex target) const;

 private:
  double rate;
  double tokens = 1;
  base::TimePoint last_refill;
  std::map<SessionId, TargetIndex> sessions;
  std::map<TargetIndex, std::set<SessionId>> by_target;
  std::deque<SessionId> reconnect_queue;
};

}  // namespace mangoroad::routing
