// The last versions of the table, kept as what leads back from each version to the one before.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "state/change.h"
#include "table/table.h"

namespace mangoroad::state {

/// Bounds of the history; the oldest versions leave first.
constexpr std::size_t kMaxVersions = 1'000;
constexpr std::size_t kMaxHistoryBytes = std::size_t{16} * 1024 * 1024;

/// What is known of one version.
struct TableVersion {
  std::uint64_t version = 0;
  Origin origin;
  /// Index in the log.
  std::uint64_t index = 0;
  /// Rows of the table, and rows that differ from the version before.
  std::uint64_t rows = 0;
  std::uint64_t added = 0;
  std::uint64_t removed = 0;
  std::uint64_t changed = 0;
  /// What leads back: names of the added rows, and the removed and changed rows as they were, as
  /// CSV.
  std::vector<std::string> added_rows;
  std::string rows_before;
};

/// The current table and the way back to each older version that is kept.
class TableHistory {
 public:
  TableHistory() = default;
  TableHistory(table::Table current_table, std::deque<TableVersion> oldest_first);

  /// 0 before the first change.
  std::uint64_t Version() const;
  const table::Table& Current() const { return this->current; }
  /// The table of a version, or nothing when it doesn't exist or has left the history.
  std::optional<table::Table> At(std::uint64_t version) const;
  /// What is known of a version, or nullptr. Version 0 has none.
  const TableVersion* Find(std::uint64_t version) const;
  const std::deque<TableVersion>& OldestFirst() const { return this->versions; }

  /// Makes `next` the current table with the next version number; `changes` leads to it from the
  /// current one.
  void Add(table::Table next, const std::vector<table::RowChange>& changes, const Origin& origin,
           std::uint64_t index);

 private:
  void Trim();

  table::Table current;
  std::deque<TableVersion> versions;
  std::size_t bytes = 0;
};

/// The rows of `from` that `changes` names, in order of name.
std::vector<table::Row> AffectedRows(const table::Table& from,
                                     const std::vector<table::RowChange>& changes);

}  // namespace mangoroad::state
