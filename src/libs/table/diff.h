// Differences between two tables, and whether a change is safe.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "table/table.h"

namespace mangoroad::table {

enum class ChangeKind : std::uint8_t { kAdded, kRemoved, kChanged };

inline constexpr base::NameTable<ChangeKind, 3> kChangeKindNames{{
    {ChangeKind::kAdded, "added"},
    {ChangeKind::kRemoved, "removed"},
    {ChangeKind::kChanged, "changed"},
}};

/// One column that differs; values as in the CSV file.
struct FieldChange {
  std::string column;
  std::string before;
  std::string after;

  bool operator==(const FieldChange&) const = default;
};

/// One row that differs.
struct RowChange {
  ChangeKind kind = ChangeKind::kChanged;
  std::string row;
  /// In column order. An added row has all its columns with an empty `before`; a removed row has
  /// none.
  std::vector<FieldChange> fields;

  bool operator==(const RowChange&) const = default;
};

/// Rows that differ, ordered by name; empty when the tables are equal.
std::vector<RowChange> Diff(const Table& before, const Table& after);

/// Why a change is refused.
struct UnsafeChange {
  /// Empty when the whole table is meant.
  std::string row;
  /// Empty when the whole row is meant.
  std::string column;
  std::string message;

  bool operator==(const UnsafeChange&) const = default;
};

/// Reasons to refuse the change from `before` to `after`; empty when it is safe. `rows_in_use`
/// names the rows with jobs or requests in progress, in any order. An empty table is refused, as
/// are the removal of a row in use and a change of its `class` or `idempotent`: work that was
/// accepted under one promise must end under it.
std::vector<UnsafeChange> CheckChange(const Table& before, const Table& after,
                                      const std::vector<std::string>& rows_in_use);

/// Applies a difference from Diff() to its `before` table and gives its `after` table.
Table ApplyDiff(const Table& before, const std::vector<RowChange>& changes);

}  // namespace mangoroad::table
