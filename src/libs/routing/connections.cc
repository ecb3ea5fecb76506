#include "routing/connections.h"

#include <algorithm>

namespace mangoroad::routing {

bool MayUseConnection(base::TimePoint now, base::TimePoint idle_since,
                      base::TimePoint last_proven_alive, bool idempotent) {
  if (now - last_proven_alive > kMostUnproven) return false;
  return idempotent || now - std::max(idle_since, last_proven_alive) <= kMostIdleForNonIdempotent;
}

SessionBook::SessionBook(double reconnects_per_second) : rate(reconnects_per_second) {}

void SessionBook::Open(SessionId session, TargetIndex target) {
  this->Close(session);
  this->sessions[session] = target;
  this->by_target[target].insert(session);
}

void SessionBook::Close(SessionId session) {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end()) return;
  const auto target = this->by_target.find(found->second);
  target->second.erase(session);
  if (target->second.empty()) this->by_target.erase(target);
  this->sessions.erase(found);
}

void SessionBook::Drain(TargetIndex target) {
  const auto found = this->by_target.find(target);
  if (found == this->by_target.end()) return;
  this->moving.insert(this->moving.end(), found->second.begin(), found->second.end());
}

std::vector<SessionId> SessionBook::TakeReconnects(base::TimePoint now) {
  const double elapsed = std::chrono::duration<double>(now - this->filled_at).count();
  // At most 100 ms of reconnects at once, also after a pause.
  this->tokens = std::min(this->tokens + elapsed * this->rate, std::max(1.0, this->rate / 10));
  this->filled_at = now;
  std::vector<SessionId> due;
  while (this->tokens >= 1 && !this->moving.empty()) {
    const SessionId session = this->moving.front();
    this->moving.pop_front();
    if (!this->sessions.contains(session)) continue;
    this->tokens -= 1;
    due.push_back(session);
  }
  return due;
}

std::size_t SessionBook::Count(TargetIndex target) const {
  const auto found = this->by_target.find(target);
  return found == this->by_target.end() ? 0 : found->second.size();
}

}  // namespace mangoroad::routing
