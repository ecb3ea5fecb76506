#include "routing/connections.h"

#include <algorithm>

namespace mangoroad::routing {

bool MayUseConnection(base::TimePoint now, base::TimePoint idle_since, base::TimePoint last_contact,
                      bool idempotent) {
  if (now - last_contact > kMaxTimeSinceLastContact) return false;
  return idempotent || now - std::max(idle_since, last_contact) <= kMaxIdleForNonIdempotent;
}

SessionTracker::SessionTracker(double reconnects_per_second) : rate(reconnects_per_second) {}

void SessionTracker::Open(SessionId session, TargetIndex target) {
  this->Close(session);
  this->sessions[session] = target;
  this->by_target[target].insert(session);
}

void SessionTracker::Close(SessionId session) {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end()) return;
  const auto target = this->by_target.find(found->second);
  target->second.erase(session);
  if (target->second.empty()) this->by_target.erase(target);
  this->sessions.erase(found);
}

void SessionTracker::Drain(TargetIndex target) {
  const auto found = this->by_target.find(target);
  if (found == this->by_target.end()) return;
  this->reconnect_queue.insert(this->reconnect_queue.end(), found->second.begin(),
                               found->second.end());
}

std::vector<SessionId> SessionTracker::TakeReconnects(base::TimePoint now) {
  const double elapsed = std::chrono::duration<double>(now - this->last_refill).count();
  // Bounds the burst to 100 ms of reconnects, also after a pause of the process.
  this->tokens = std::min(this->tokens + elapsed * this->rate, std::max(1.0, this->rate / 10));
  this->last_refill = now;
  std::vector<SessionId> due;
  while (this->tokens >= 1 && !this->reconnect_queue.empty()) {
    const SessionId session = this->reconnect_queue.front();
    this->reconnect_queue.pop_front();
    if (!this->sessions.contains(session)) continue;
    this->tokens -= 1;
    due.push_back(session);
  }
  return due;
}

std::size_t SessionTracker::Count(TargetIndex target) const {
  const auto found = this->by_target.find(target);
  return found == this->by_target.end() ? 0 : found->second.size();
}

}  // namespace mangoroad::routing
