// Proposals and reads from any replica, and the outcome of proposals.
#include <algorithm>
#include <utility>

#include "consensus/replica_private.h"

namespace mangoroad::consensus {

using base::Result;

namespace {

/// Responses to forwarded proposals that a leader remembers per replica and incarnation, to detect
/// duplicates.
constexpr std::size_t kMaxRememberedResponses = 4096;

}  // namespace

std::optional<ProposeError> Replica::Private::CheckCommand(const std::string& command) const {
  if (command.size() <= this->config.limits.command_bytes) return std::nullopt;
  return ProposeError{ProposeErrorKind::kTooLarge,
                      "command of " + std::to_string(command.size()) + " bytes, the limit is " +
                          std::to_string(this->config.limits.command_bytes)};
}

Result<ProposalId, ProposeError> Replica::Private::Propose(std::string command) {
  if (auto error = this->CheckIsLeader()) return *error;
  if (auto error = this->CheckCommand(command)) return *error;
  if (this->uncommitted_bytes + command.size() > this->config.limits.uncommitted_bytes) {
    return ProposeError{ProposeErrorKind::kBusy,
                        std::to_string(this->uncommitted_bytes) + " bytes are uncommitted"};
  }
  const ProposalId id = this->AppendAsLeader(EntryKind::kCommand, std::move(command));
  this->proposed.push_back(id);
  return id;
}

Result<RequestNumber, ProposeError> Replica::Private::Forward(std::string command) {
  if (auto error = this->CheckCommand(command)) return *error;
  if (this->leader.empty() || this->leader == this->config.self) {
    return ProposeError{ProposeErrorKind::kNoLeader, "no other leader is known in term " +
                                                         std::to_string(this->hard_state.term)};
  }
  const std::uint64_t number = ++this->last_number;
  ForwardedProposal proposal;
  proposal.command = std::move(command);
  proposal.term = this->hard_state.term;
  proposal.leader = this->leader;
  this->SendForwarded(number, proposal);
  this->forwarded.emplace(number, std::move(proposal));
  return number;
}

void Replica::Private::SendForwarded(std::uint64_t number, ForwardedProposal& proposal) {
  proposal.sent = this->now;
  this->Send(proposal.leader, ProposeRequest{this->config.incarnation, number, proposal.command});
}

/// A proposal is sent again only in its term; the leader detects duplicates. In a later term
/// the log determines its outcome.
void Replica::Private::TickForwarded() {
  for (auto& [number, proposal] : this->forwarded) {
    const bool unanswered = proposal.index == 0 && proposal.term == this->hard_state.term;
    if (unanswered && this->now - proposal.sent >= this->config.timings.resend_interval) {
      this->SendForwarded(number, proposal);
    }
  }
}

/// Appends a forwarded command once. Returns its index, or 0 when it is refused for good.
Index Replica::Private::AppendForwarded(const ReplicaId& from, ProposeRequest& request) {
  auto& seen = this->seen_proposals[{from, request.incarnation}];
  const auto answered = seen.by_number.find(request.number);
  if (answered != seen.by_number.end()) return answered->second;
  Index index = 0;
  const bool fits =
      this->uncommitted_bytes + request.data.size() <= this->config.limits.uncommitted_bytes;
  if (fits && !this->CheckIsLeader() && !this->CheckCommand(request.data)) {
    LogEntry entry;
    entry.index = this->log.LastIndex() + 1;
    entry.term = this->hard_state.term;
    entry.data = std::move(request.data);
    entry.origin_replica = from;
    entry.origin_incarnation = request.incarnation;
    entry.origin_number = request.number;
    index = entry.index;
    this->uncommitted_bytes += internal::CostOf(entry);
    this->AppendToLog(std::move(entry));
  }
  seen.by_number.emplace(request.number, index);
  if (seen.by_number.size() > kMaxRememberedResponses) {
    seen.removed_up_to = seen.by_number.begin()->first;
    seen.by_number.erase(seen.by_number.begin());
  }
  return index;
}

void Replica::Private::On(const Message& message, ProposeRequest& request) {
  // A follower doesn't respond: the leader of this term may have appended the command.
  if (this->role != Role::kLeader) return;
  const auto& seen = this->seen_proposals[{message.from, request.incarnation}];
  if (request.number <= seen.removed_up_to) return;
  ProposeResponse response{request.incarnation, request.number, 0};
  response.index = this->AppendForwarded(message.from, request);
  this->Send(message.from, response);
}

void Replica::Private::On(const Message& message, ProposeResponse& response) {
  const auto found = this->forwarded.find(response.number);
  if (response.incarnation != this->config.incarnation || found == this->forwarded.end()) return;
  if (found->second.term != message.term) return;
  found->second.index = response.index;
  if (response.index > 0) return;
  this->resolved.push_back({response.number, {message.term, 0}, ProposalOutcome::kLost});
  this->forwarded.erase(found);
}

/// Terms never decrease along the log. So a committed entry of a later term proves that proposals
/// of earlier terms that weren't seen before it are lost.
void Replica::Private::ResolveAt(const LogEntry& entry) {
  const ProposalId position{entry.term, entry.index};
  while (!this->proposed.empty() &&
         (this->proposed.front().term < entry.term || this->proposed.front() == position)) {
    const bool found = this->proposed.front() == position;
    this->resolved.push_back({std::nullopt, this->proposed.front(),
                              found ? ProposalOutcome::kCommitted : ProposalOutcome::kLost});
    this->proposed.pop_front();
  }
  if (entry.origin_replica == this->config.self &&
      entry.origin_incarnation == this->config.incarnation &&
      this->forwarded.erase(entry.origin_number) > 0) {
    this->resolved.push_back({entry.origin_number, position, ProposalOutcome::kCommitted});
  }
  if (entry.term <= this->resolved_term) return;
  this->resolved_term = entry.term;
  std::erase_if(this->forwarded, [&](const auto& item) {
    const auto& [number, proposal] = item;
    if (proposal.term >= entry.term) return false;
    this->resolved.push_back({number, {proposal.term, proposal.index}, ProposalOutcome::kLost});
    return true;
  });
}

/// The entries that a snapshot replaced can't be inspected. A proposal of the snapshot's own term
/// and at most its index is in it, since that term has a single leader.
void Replica::Private::ResolveAtSnapshot(const Snapshot& installed) {
  const auto outcome_of = [&](const ProposalId& id) -> std::optional<ProposalOutcome> {
    if (id.term > installed.term) return std::nullopt;
    if (id.term < installed.term || id.index == 0) return ProposalOutcome::kUnknown;
    if (id.index > installed.index) return std::nullopt;
    return ProposalOutcome::kCommitted;
  };
  std::erase_if(this->proposed, [&](const ProposalId& id) {
    const auto outcome = outcome_of(id);
    if (outcome) this->resolved.push_back({std::nullopt, id, *outcome});
    return outcome.has_value();
  });
  std::erase_if(this->forwarded, [&](const auto& item) {
    const ProposalId id{item.second.term, item.second.index};
    const auto outcome = outcome_of(id);
    if (outcome) this->resolved.push_back({item.first, id, *outcome});
    return outcome.has_value();
  });
  this->resolved_term = std::max(this->resolved_term, installed.term);
}

RequestNumber Replica::Private::ReadIndex() {
  PendingRead read;
  read.from = this->config.self;
  read.incarnation = this->config.incarnation;
  read.number = ++this->last_number;
  read.deadline = this->now + this->config.timings.read_timeout;
  read.resend_at = this->now;
  this->reads.push_back(read);
  this->TickReads();
  return read.number;
}

/// Under the lease no other leader exists, and an entry of this term is committed, so the commit
/// index covers each command that was acknowledged before.
void Replica::Private::RespondToReads() {
  const bool current = this->log.TermAt(this->hard_state.commit) == this->hard_state.term;
  if (this->reads.empty() || !current || !this->HasLease(this->now)) return;
  for (const PendingRead& read : this->reads) {
    if (read.from == this->config.self) {
      this->resolved_reads.push_back({read.number, this->hard_state.commit});
    } else {
      this->Send(read.from,
                 ReadIndexResponse{read.incarnation, read.number, this->hard_state.commit});
    }
  }
  this->reads.clear();
}

void Replica::Private::TickReads() {
  std::erase_if(this->reads, [this](const PendingRead& read) {
    if (this->now < read.deadline) return false;
    if (read.from == this->config.self) this->resolved_reads.push_back({read.number, std::nullopt});
    return true;
  });
  if (this->role == Role::kLeader || this->leader.empty()) return;
  for (PendingRead& read : this->reads) {
    if (read.from != this->config.self || this->now < read.resend_at) continue;
    read.resend_at = this->now + this->config.timings.resend_interval;
    this->Send(this->leader, ReadIndexRequest{read.incarnation, read.number});
  }
}

void Replica::Private::On(const Message& message, ReadIndexRequest& request) {
  if (this->role != Role::kLeader) return;
  PendingRead read;
  read.from = message.from;
  read.incarnation = request.incarnation;
  read.number = request.number;
  read.deadline = this->now + this->config.timings.read_timeout;
  this->reads.push_back(read);
}

void Replica::Private::On(const Message& /*message*/, ReadIndexResponse& response) {
  if (response.incarnation != this->config.incarnation) return;
  const auto erased = std::erase_if(this->reads, [&](const PendingRead& read) {
    return read.from == this->config.self && read.number == response.number;
  });
  if (erased > 0) this->resolved_reads.push_back({response.number, response.index});
}

}  // namespace mangoroad::consensus
