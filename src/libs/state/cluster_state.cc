#include "state/cluster_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "audit/digest.h"
#include "base/soft_assert.h"
#include "state/state_codec.h"

namespace mangoroad::state {
namespace {

constexpr std::size_t kDigestDigits = 64;

ApplyResult Malformed(std::string message) {
  ChangeAnswer answer;
  answer.kind = AnswerKind::kMalformed;
  answer.message = std::move(message);
  return {SubStateKind::kNone, Encode(answer)};
}

StateError Damaged(std::string message) {
  return StateError{StateErrorKind::kDamaged, std::move(message)};
}

}  // namespace

ClusterState::ClusterState() {
  this->AddSubState(SubStateKind::kTable, this->table);
  this->AddSubState(SubStateKind::kViews, this->views);
  this->AddSubState(SubStateKind::kTargets, this->targets);
}

void ClusterState::AddSubState(SubStateKind kind, SubState& sub_state) {
  MANGOROAD_SOFT_ASSERT(kind != SubStateKind::kNone && !this->sub_states.contains(kind), return);
  this->sub_states.emplace(kind, &sub_state);
}

ApplyResult ClusterState::Apply(std::uint64_t index, std::uint64_t term, std::string_view command) {
  if (index <= this->applied_index) return {};
  this->applied_index = index;
  this->applied_term = term;
  // A new leader begins its term with an empty entry.
  if (command.empty()) return {};
  return this->ApplyNew(command);
}

ApplyResult ClusterState::ApplyNew(std::string_view command) {
  const auto decoded = Decode<Envelope>(command);
  if (!base::Ok(decoded)) return Malformed(base::ErrorOf(decoded).message);
  const Envelope& envelope = base::ValueOf(decoded);
  if (envelope.group != 0) return Malformed(fmt::format("unknown group {}", envelope.group));
  const auto found = this->sub_states.find(envelope.kind);
  if (found == this->sub_states.end()) {
    return Malformed(
        fmt::format("no sub-state '{}'", base::NameOf(kSubStateKindNames, envelope.kind)));
  }
  ApplyContext context{this->applied_index, this->applied_term, this->audit, {}};
  // Only changes of the table depend on rows in use; collecting them may be long with many jobs.
  if (envelope.kind == SubStateKind::kTable) {
    for (const SubState* sub_state : this->sub_states | std::views::values) {
      std::ranges::move(sub_state->RowsInUse(), std::back_inserter(context.rows_in_use));
    }
  }
  return {envelope.kind, found->second->Apply(context, envelope.payload)};
}

std::string ClusterState::Snapshot() const {
  ClusterSnapshot snapshot;
  snapshot.index = this->applied_index;
  snapshot.term = this->applied_term;
  snapshot.audit = this->audit.Snapshot();
  for (const auto& [kind, sub_state] : this->sub_states) {
    snapshot.sub_states.emplace(kind, sub_state->Snapshot());
  }
  const std::string body = Encode(snapshot);
  return audit::Sha256Hex(body) + body;
}

base::Result<base::Done, StateError> ClusterState::Restore(std::string_view bytes) {
  const std::string_view digest = bytes.substr(0, kDigestDigits);
  const std::string_view body = bytes.substr(digest.size());
  if (audit::Sha256Hex(body) != digest) {
    return Damaged(
        fmt::format("snapshot of {} bytes doesn't have the digest it names", bytes.size()));
  }
  const auto decoded = Decode<ClusterSnapshot>(body);
  if (!base::Ok(decoded)) return base::ErrorOf(decoded);
  const ClusterSnapshot& snapshot = base::ValueOf(decoded);
  audit::AuditTrail restored_audit;
  const auto audit_result = restored_audit.Restore(snapshot.audit);
  if (!base::Ok(audit_result)) return Damaged(base::ErrorOf(audit_result));
  auto result = this->RestoreSubStates(snapshot.sub_states);
  if (!base::Ok(result)) return result;
  this->audit = std::move(restored_audit);
  this->applied_index = snapshot.index;
  this->applied_term = snapshot.term;
  return result;
}

base::Result<base::Done, StateError> ClusterState::RestoreSubStates(
    const std::map<SubStateKind, std::string>& snapshots) {
  if (!std::ranges::equal(snapshots | std::views::keys, this->sub_states | std::views::keys)) {
    return Damaged(
        fmt::format("the snapshot has {} sub-states, or other ones than the {} of this "
                    "program",
                    snapshots.size(), this->sub_states.size()));
  }
  // When one sub-state refuses its part, those that took theirs over get their old state back.
  std::map<SubStateKind, std::string> replaced;
  for (const auto& [kind, sub_state] : this->sub_states) {
    replaced.emplace(kind, sub_state->Snapshot());
    const auto result = sub_state->Restore(snapshots.at(kind));
    if (base::Ok(result)) continue;
    replaced.erase(kind);
    for (const auto& [old_kind, old_state] : replaced) {
      const auto undone = this->sub_states.at(old_kind)->Restore(old_state);
      MANGOROAD_INVARIANT(base::Ok(undone));
    }
    return Damaged(fmt::format("sub-state '{}': {}", base::NameOf(kSubStateKindNames, kind),
                               base::ErrorOf(result).message));
  }
  return base::Done();
}

}  // namespace mangoroad::state
