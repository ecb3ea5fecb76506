#include "state/table_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "state/change_event.h"
#include "table/csv_reader.h"
#include "table/diff.h"

namespace mangoroad::state {
namespace {

/// Name of the submitted table in its faults; mangoctl replaces it by the name of the file.
constexpr std::string_view kSubmittedName = "table";

template <typename Element>
void Limit(std::vector<Element>& list, std::size_t most) {
  if (list.size() > most) list.resize(most);
}

std::string ConflictMessage(std::uint64_t base_version, std::uint64_t current) {
  if (base_version > current) {
    return fmt::format("base version {} doesn't exist; the current version is {}", base_version,
                       current);
  }
  return fmt::format("the change builds on version {}, but the current version is {}", base_version,
                     current);
}

std::vector<std::string> RowNames(const std::vector<table::RowChange>& changes) {
  std::vector<std::string> names;
  std::ranges::transform(changes, std::back_inserter(names), &table::RowChange::row);
  return names;
}

}  // namespace

audit::Event TableState::EventOf(const ApplyContext& context, const ApplyTable& change) const {
  audit::Event event =
      internal::MakeEvent(context.index, change.origin, "table.apply", change.origin.change_id);
  event.after = change.csv;
  return event;
}

TableAnswer TableState::Judge(const ApplyContext& context, const ApplyTable& change,
                              audit::Event& event) {
  TableAnswer answer;
  answer.base_version = change.base_version;
  answer.version = this->Version();
  if (change.base_version != this->Version()) {
    answer.kind = AnswerKind::kConflict;
    answer.message = ConflictMessage(change.base_version, this->Version());
    return answer;
  }
  auto read = table::ReadCsv(kSubmittedName, change.csv);
  if (!base::Ok(read)) {
    answer.kind = AnswerKind::kFaults;
    answer.message =
        fmt::format("the table has {} faults; the first is {}", base::ErrorOf(read).size(),
                    table::ToString(base::ErrorOf(read).front()));
    return answer;
  }
  table::Table next = std::move(base::ValueOf(read));
  const auto changes = table::Diff(this->Current(), next);
  event.rows = RowNames(changes);
  event.before = table::WriteCsv(AffectedRows(this->Current(), changes));
  event.after = table::WriteCsv(AffectedRows(next, changes));
  std::vector<std::string> in_use = context.rows_in_use;
  std::ranges::copy(change.rows_in_use, std::back_inserter(in_use));
  answer.problems = table::CheckChange(this->Current(), next, in_use);
  if (!answer.problems.empty()) {
    answer.kind = AnswerKind::kUnsafe;
    answer.message = fmt::format("{} unsafe changes; the first: {}", answer.problems.size(),
                                 answer.problems.front().message);
    Limit(answer.problems, kMaxProblems);
  } else if (changes.empty()) {
    answer.kind = AnswerKind::kUnchanged;
    answer.message = fmt::format("the table equals version {}", this->Version());
    answer.diff_complete = true;
  } else {
    answer.diff_complete = changes.size() <= kMaxDiffRows;
    if (answer.diff_complete) answer.diff = changes;
    this->history.Add(std::move(next), changes, change.origin, context.index);
    answer.kind = AnswerKind::kAccepted;
    answer.version = this->Version();
    const TableVersion& made = this->history.OldestFirst().back();
    answer.message = fmt::format("version {}: {} rows added, {} removed, {} changed", made.version,
                                 made.added, made.removed, made.changed);
  }
  return answer;
}

TableAnswer TableState::Decide(ApplyContext& context, const ApplyTable& change) {
  audit::Event event = this->EventOf(context, change);
  TableAnswer answer = this->Judge(context, change, event);
  event.result = internal::ResultOf(answer.kind);
  event.effect = answer.message;
  context.audit.Append(std::move(event));
  return answer;
}

void TableState::RemoveDerived(TableAnswer& answer) const {
  answer.diff.clear();
  answer.diff_complete = false;
  answer.faults.clear();
  answer.faults_total = 0;
}

void TableState::Complete(const ApplyTable& change, TableAnswer& answer) const {
  if (answer.kind == AnswerKind::kFaults) {
    auto read = table::ReadCsv(kSubmittedName, change.csv);
    if (base::Ok(read)) return;
    answer.faults = std::move(std::get<1>(read));
    answer.faults_total = answer.faults.size();
    Limit(answer.faults, kMaxFaults);
    return;
  }
  const bool has_diff = answer.kind == AnswerKind::kAccepted ||
                        answer.kind == AnswerKind::kUnchanged ||
                        answer.kind == AnswerKind::kConflict;
  if (!has_diff || answer.diff_complete) return;
  const auto before = this->history.At(answer.base_version);
  const auto after = this->history.At(answer.version);
  if (!before || !after) return;
  answer.diff = table::Diff(*before, *after);
  answer.diff_complete = answer.diff.size() <= kMaxDiffRows;
  Limit(answer.diff, kMaxDiffRows);
}

std::string TableState::Snapshot() const {
  return Encode(TableSnapshot{table::WriteCsv(this->Current()), this->history.OldestFirst(),
                              this->answers.OldestFirst()});
}

base::Result<base::Done, StateError> TableState::Restore(std::string_view bytes) {
  auto decoded = Decode<TableSnapshot>(bytes);
  if (!base::Ok(decoded)) return base::ErrorOf(decoded);
  TableSnapshot& snapshot = base::ValueOf(decoded);
  auto read = table::ReadCsv("snapshot", snapshot.csv);
  if (!base::Ok(read)) {
    return StateError{StateErrorKind::kDamaged,
                      "table snapshot: " + table::ToString(base::ErrorOf(read).front())};
  }
  this->history = TableHistory(std::move(base::ValueOf(read)), std::move(snapshot.versions));
  this->answers = AnswerBook(std::move(snapshot.answers));
  return base::Done();
}

}  // namespace mangoroad::state
