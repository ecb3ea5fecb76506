#include "table/table.h"

#include <algorithm>
#include <utility>

namespace mangoroad::table {
namespace {

bool IsLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

}  // namespace

Table::Table(std::vector<Row> unordered) : rows(std::move(unordered)) {
  std::ranges::sort(this->rows, {}, &Row::row);
}

const Row* Table::Find(std::string_view name) const {
  const auto found = std::ranges::lower_bound(this->rows, name, {}, &Row::row);
  return found != this->rows.end() && found->row == name ? &*found : nullptr;
}

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes && IsLetterOrDigit(name.front()) &&
         std::ranges::all_of(
             name, [](char c) { return IsLetterOrDigit(c) || c == '.' || c == '_' || c == '-'; });
}

}  // namespace mangoroad::table
