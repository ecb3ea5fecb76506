#include "table/diff.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "base/soft_assert.h"
#include "table/columns.h"

namespace mangoroad::table {
namespace {

using internal::Columns;

RowChange Added(const Row& row) {
  RowChange change{ChangeKind::kAdded, row.row, {}};
  for (const auto& column : Columns()) {
    change.fields.push_back({std::string(column.name), "", column.write(row)});
  }
  return change;
}

RowChange Changed(const Row& before, const Row& after) {
  RowChange change{ChangeKind::kChanged, after.row, {}};
  for (const auto& column : Columns()) {
    std::string old_value = column.write(before);
    std::string new_value = column.write(after);
    if (old_value != new_value) {
      change.fields.push_back(
          {std::string(column.name), std::move(old_value), std::move(new_value)});
    }
  }
  return change;
}

void ApplyFields(const RowChange& change, Row& row) {
  for (const FieldChange& field : change.fields) {
    const auto index = internal::ColumnIndex(field.column);
    MANGOROAD_SOFT_ASSERT(index.has_value(), return);
    const auto fault = Columns()[index.value_or(0)].read(field.after, row);
    MANGOROAD_SOFT_ASSERT(!fault, return);
  }
}

/// Columns that can't change while a row is in use.
constexpr std::array<std::string_view, 2> kFixedInUse{"class", "idempotent"};

void CheckRowInUse(const RowChange& change, std::vector<UnsafeChange>& problems) {
  if (change.kind == ChangeKind::kRemoved) {
    problems.push_back(
        {change.row, "",
         fmt::format("row '{}' has jobs or requests in progress and can't be removed; set its "
                     "limits to stop new work first",
                     change.row)});
    return;
  }
  for (const FieldChange& field : change.fields) {
    if (std::ranges::find(kFixedInUse, field.column) == kFixedInUse.end()) continue;
    problems.push_back(
        {change.row, field.column,
         fmt::format("row '{}' has jobs or requests in progress; {} can't change from '{}' to '{}'",
                     change.row, field.column, field.before, field.after)});
  }
}

}  // namespace

std::vector<RowChange> Diff(const Table& before, const Table& after) {
  std::vector<RowChange> changes;
  auto old_row = before.Rows().begin();
  auto new_row = after.Rows().begin();
  while (old_row != before.Rows().end() || new_row != after.Rows().end()) {
    if (new_row == after.Rows().end() ||
        (old_row != before.Rows().end() && old_row->row < new_row->row)) {
      changes.push_back({ChangeKind::kRemoved, (old_row++)->row, {}});
    } else if (old_row == before.Rows().end() || new_row->row < old_row->row) {
      changes.push_back(Added(*new_row++));
    } else {
      if (*old_row != *new_row) changes.push_back(Changed(*old_row, *new_row));
      ++old_row;
      ++new_row;
    }
  }
  return changes;
}

std::vector<UnsafeChange> CheckChange(const Table& before, const Table& after,
                                      const std::vector<std::string>& rows_in_use) {
  if (after.Rows().empty()) return {{"", "", "the table has no rows; a table needs at least one"}};
  std::vector<std::string> in_use = rows_in_use;
  std::ranges::sort(in_use);
  std::vector<UnsafeChange> problems;
  for (const RowChange& change : Diff(before, after)) {
    if (change.kind != ChangeKind::kAdded && std::ranges::binary_search(in_use, change.row)) {
      CheckRowInUse(change, problems);
    }
  }
  return problems;
}

Table ApplyDiff(const Table& before, const std::vector<RowChange>& changes) {
  std::vector<Row> rows;
  rows.reserve(before.Rows().size() + changes.size());
  auto change = changes.begin();
  const auto add_rows_before = [&](const Row* row) {
    for (; change != changes.end() && (row == nullptr || change->row < row->row); ++change) {
      ApplyFields(*change, rows.emplace_back());
    }
  };
  for (const Row& row : before.Rows()) {
    add_rows_before(&row);
    if (change == changes.end() || change->row != row.row) {
      rows.push_back(row);
      continue;
    }
    if (change->kind == ChangeKind::kChanged) ApplyFields(*change, rows.emplace_back(row));
    ++change;
  }
  add_rows_before(nullptr);
  return Table(std::move(rows));
}

}  // namespace mangoroad::table
