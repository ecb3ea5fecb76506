#include <algorithm>

#include "table/columns.h"
#include "table/csv_reader.h"

namespace mangoroad::table {
namespace {

template <typename Write>
void AppendLine(const Write& write, std::string& text) {
  bool is_first = true;
  for (const internal::Column& column : internal::Columns()) {
    if (!is_first) text += ',';
    is_first = false;
    text += write(column);
  }
  text += '\n';
}

}  // namespace

std::string WriteCsv(const std::vector<Row>& rows) {
  std::string text;
  AppendLine([](const internal::Column& column) { return column.name; }, text);
  for (const Row& row : rows) {
    AppendLine([&row](const internal::Column& column) { return column.write(row); }, text);
  }
  return text;
}

std::string WriteCsv(const Table& table) { return WriteCsv(table.Rows()); }

}  // namespace mangoroad::table
