// The operators' table: one row for each kind of work.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/name_table.h"

namespace mangoroad::table {

/// Limits of a table file; larger ones are refused before they are read further.
constexpr std::size_t kMaxCsvBytes = std::size_t{1024} * 1024;
constexpr std::size_t kMaxRows = 10'000;
/// Longest name of a row, team or failure domain, in bytes.
constexpr std::size_t kMaxNameBytes = 64;
/// Most failure domains in the place of one row; also bounds the work of a routing decision.
constexpr std::size_t kMaxPlaces = 16;

enum class WorkClass : std::uint8_t { kService, kBatch, kSession };

inline constexpr base::NameTable<WorkClass, 3> kWorkClassNames{{
    {WorkClass::kService, "service"},
    {WorkClass::kBatch, "batch"},
    {WorkClass::kSession, "session"},
}};

/// One kind of work. The fields have the names, units and ranges of the CSV columns.
struct Row {
  std::string row;
  WorkClass work_class = WorkClass::kService;
  std::string team;
  std::uint32_t weight = 1;
  /// Failure domains in order of preference; empty means any.
  std::vector<std::string> place;
  /// Requests or tasks in progress; 0 means no limit.
  std::uint32_t limit_inflight = 0;
  /// Requests or starts a second; 0 means no limit.
  std::uint32_t limit_rate = 0;
  /// Default time for a request; 0 means none and is refused for services.
  std::uint32_t deadline_ms = 0;
  std::uint32_t retries = 0;
  bool idempotent = false;
  /// Quota of the team in cores, equal on each of its rows; 0 means none.
  std::uint32_t quota_processors = 0;
  bool urgent = false;
  /// How long a task may go on without contact with the leader.
  std::uint32_t hold_s = 0;

  bool operator==(const Row&) const = default;
};

/// Rows ordered by name. Each name appears once; ReadCsv() ensures that.
class Table {
 public:
  Table() = default;
  explicit Table(std::vector<Row> unordered);

  const std::vector<Row>& Rows() const { return this->rows; }
  /// The row called `name`, or nullptr.
  const Row* Find(std::string_view name) const;

  bool operator==(const Table&) const = default;

 private:
  std::vector<Row> rows;
};

/// True for 1 to kMaxNameBytes letters, digits, '.', '_' and '-' that start with a letter or digit.
/// Such a name needs no quoting in CSV, URL paths, metrics and file names.
bool IsValidName(std::string_view name);

}  // namespace mangoroad::table
