// The table in the replicated state: versions, conflicts and history.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "state/change_state.h"
#include "state/table_history.h"
#include "table/table.h"

namespace mangoroad::state {

/// Applies changes of the table. A change is accepted only when it builds on the current version,
/// so of several changes with equal base versions one wins, and no accepted version is replaced by
/// a change whose author hasn't seen it. Going back to an older version is a new change.
class TableState final : public ChangeState<ApplyTable, TableAnswer> {
 public:
  /// 0 before the first change.
  std::uint64_t Version() const { return this->history.Version(); }
  const table::Table& Current() const { return this->history.Current(); }
  const TableHistory& History() const { return this->history; }

  std::string Snapshot() const override;
  base::Result<base::Done, StateError> Restore(std::string_view bytes) override;

 protected:
  TableAnswer Decide(ApplyContext& context, const ApplyTable& change) override;
  audit::Event EventOf(const ApplyContext& context, const ApplyTable& change) const override;
  void RemoveLocal(ApplyTable& change) const override { change.rows_in_use.clear(); }
  void RemoveDerived(TableAnswer& answer) const override;
  void Complete(const ApplyTable& change, TableAnswer& answer) const override;

 private:
  /// Decides without recording; fills the event's rows, before and after.
  TableAnswer Judge(const ApplyContext& context, const ApplyTable& change, audit::Event& event);

  TableHistory history;
};

}  // namespace mangoroad::state
