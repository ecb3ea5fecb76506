// The replicated state machine: applies the committed entries of the log.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "audit/audit_trail.h"
#include "base/result.h"
#include "state/sub_state.h"
#include "state/table_state.h"
#include "state/target_state.h"
#include "state/view_state.h"

namespace mangoroad::state {

/// Answer of a sub-state to a command.
struct ApplyResult {
  /// Which sub-state answered; kNone for an empty entry, an entry that was applied before, and a
  /// command that no sub-state can read. The answer is then empty or an encoded ChangeAnswer.
  SubStateKind kind = SubStateKind::kNone;
  std::string answer;
};

/// Holds the table, views, targets and the audit trail, and any sub-state that is added.
/// Deterministic: replicas that apply equal entries are in equal states.
class ClusterState {
 public:
  ClusterState();

  /// Adds a sub-state, which must outlive this object. Each replica adds the same ones before it
  /// applies or restores anything.
  void AddSubState(SubStateKind kind, SubState& sub_state);

  /// Applies a committed entry. Entries at or below the applied index, which a log may hand out
  /// again after a restart, change nothing.
  ApplyResult Apply(std::uint64_t index, std::uint64_t term, std::string_view command);

  /// Index and term of the last entry applied; 0 before the first.
  std::uint64_t AppliedIndex() const { return this->applied_index; }
  std::uint64_t AppliedTerm() const { return this->applied_term; }

  std::string Snapshot() const;
  /// Takes over a snapshot. Damaged bytes, or a snapshot of other sub-states, give an error and
  /// change nothing.
  base::Result<base::Done, StateError> Restore(std::string_view bytes);

  const TableState& Table() const { return this->table; }
  const ViewState& Views() const { return this->views; }
  const TargetState& Targets() const { return this->targets; }
  const audit::AuditTrail& Audit() const { return this->audit; }

 private:
  ApplyResult ApplyNew(std::string_view command);
  base::Result<base::Done, StateError> RestoreSubStates(
      const std::map<SubStateKind, std::string>& snapshots);

  std::uint64_t applied_index = 0;
  std::uint64_t applied_term = 0;
  audit::AuditTrail audit;
  TableState table;
  ViewState views;
  TargetState targets;
  std::map<SubStateKind, SubState*> sub_states;
};

}  // namespace mangoroad::state
