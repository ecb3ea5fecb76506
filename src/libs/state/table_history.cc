#include "state/table_history.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <ranges>
#include <utility>

#include "base/soft_assert.h"
#include "table/csv_reader.h"

namespace mangoroad::state {
namespace {

using table::ChangeKind;

std::size_t BytesOf(const TableVersion& version) {
  const Origin& origin = version.origin;
  std::size_t bytes = sizeof(TableVersion) + origin.change_id.size() + origin.author.size() +
                      origin.reason.size() + version.rows_before.size();
  for (const std::string& row : version.added_rows) bytes += row.size();
  return bytes;
}

std::uint64_t Count(const std::vector<table::RowChange>& changes, ChangeKind kind) {
  return static_cast<std::uint64_t>(std::ranges::count(changes, kind, &table::RowChange::kind));
}

}  // namespace

std::vector<table::Row> AffectedRows(const table::Table& from,
                                     const std::vector<table::RowChange>& changes) {
  std::vector<table::Row> rows;
  for (const table::RowChange& change : changes) {
    if (const table::Row* row = from.Find(change.row)) rows.push_back(*row);
  }
  return rows;
}

TableHistory::TableHistory(table::Table current_table, std::deque<TableVersion> oldest_first)
    : current(std::move(current_table)), versions(std::move(oldest_first)) {
  for (const TableVersion& version : this->versions) this->bytes += BytesOf(version);
}

std::uint64_t TableHistory::Version() const {
  return this->versions.empty() ? 0 : this->versions.back().version;
}

const TableVersion* TableHistory::Find(std::uint64_t version) const {
  const auto found = std::ranges::lower_bound(this->versions, version, {}, &TableVersion::version);
  return found != this->versions.end() && found->version == version ? &*found : nullptr;
}

std::optional<table::Table> TableHistory::At(std::uint64_t version) const {
  if (version > this->Version()) return std::nullopt;
  // Each version leads back to the one before it, so the one before the oldest can still be had; it
  // is offered only for version 0, which has no entry of its own.
  if (version != 0 && this->Find(version) == nullptr) return std::nullopt;
  if (version == 0 && !this->versions.empty() && this->versions.front().version != 1) {
    return std::nullopt;
  }
  std::map<std::string, table::Row> rows;
  for (const table::Row& row : this->current.Rows()) rows.emplace(row.row, row);
  for (const TableVersion& step : this->versions | std::views::reverse) {
    if (step.version <= version) break;
    for (const std::string& row : step.added_rows) rows.erase(row);
    const auto before = table::ReadCsv("history", step.rows_before);
    MANGOROAD_SOFT_ASSERT(base::Ok(before), return std::nullopt);
    for (const table::Row& row : base::ValueOf(before).Rows()) rows[row.row] = row;
  }
  std::vector<table::Row> list;
  list.reserve(rows.size());
  std::ranges::move(rows | std::views::values, std::back_inserter(list));
  return table::Table(std::move(list));
}

void TableHistory::Add(table::Table next, const std::vector<table::RowChange>& changes,
                       const Origin& origin, std::uint64_t index) {
  TableVersion version;
  version.version = this->Version() + 1;
  version.origin = origin;
  version.index = index;
  version.rows = next.Rows().size();
  version.added = Count(changes, ChangeKind::kAdded);
  version.removed = Count(changes, ChangeKind::kRemoved);
  version.changed = Count(changes, ChangeKind::kChanged);
  for (const table::RowChange& change : changes) {
    if (change.kind == ChangeKind::kAdded) version.added_rows.push_back(change.row);
  }
  version.rows_before = table::WriteCsv(AffectedRows(this->current, changes));
  this->bytes += BytesOf(version);
  this->versions.push_back(std::move(version));
  this->current = std::move(next);
  this->Trim();
}

void TableHistory::Trim() {
  while (this->versions.size() > 1 &&
         (this->versions.size() > kMaxVersions || this->bytes > kMaxHistoryBytes)) {
    this->bytes -= BytesOf(this->versions.front());
    this->versions.pop_front();
  }
}

}  // namespace mangoroad::state
