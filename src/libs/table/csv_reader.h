// Reading and writing a table as CSV (RFC 4180 with a header line).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "table/table.h"

namespace mangoroad::table {

/// One fault of a table file.
struct Fault {
  std::string file;
  /// 1 for the header line.
  std::size_t line = 1;
  /// Name of the column, or "-" when the fault concerns the whole line or file.
  std::string column;
  std::string message;

  bool operator==(const Fault&) const = default;
};

/// `FILE:LINE:COLUMN-NAME: message`.
std::string ToString(const Fault& fault);

struct ReadOptions {
  /// When set, a place with any other failure domain is a fault.
  std::optional<std::vector<std::string>> known_domains;
};

/// Reads a table from the text of a CSV file. Columns may come in any order; each one is needed
/// once. Empty lines, a byte order mark, and spaces around unquoted fields are ignored. Returns
/// every fault found, ordered by line; no row is accepted when there is any. `name` is used in
/// faults only. A text with a header and no rows gives an empty table.
base::Result<Table, std::vector<Fault>> ReadCsv(std::string_view name, std::string_view text,
                                                const ReadOptions& options = {});

/// The table in canonical form: all columns in order, rows by name, lines ended by '\n'. ReadCsv()
/// of the result gives an equal table.
std::string WriteCsv(const Table& table);

/// The rows given in canonical form, with a header line.
std::string WriteCsv(const std::vector<Row>& rows);

}  // namespace mangoroad::table
