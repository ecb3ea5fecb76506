// The columns of the table: how each field is read from and written to text.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "table/table.h"

namespace mangoroad::table::internal {

/// One column of the CSV file.
struct Column {
  std::string_view name;
  /// Sets the field of `row`, or returns a message that says what is wrong with `text`.
  std::optional<std::string> (*read)(std::string_view text, Row& row);
  /// The field of `row` as in the CSV file. No value needs quoting.
  std::string (*write)(const Row& row);
};

inline constexpr std::size_t kColumnCount = 13;

/// All columns in canonical order.
const std::array<Column, kColumnCount>& Columns();

/// Position of the column called `name`, or nothing.
std::optional<std::size_t> ColumnIndex(std::string_view name);

/// `text` in quotes for a message: control and non-ASCII bytes as \xNN, cut after 64 bytes.
std::string Quoted(std::string_view text);

}  // namespace mangoroad::table::internal
