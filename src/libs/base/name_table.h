// Names of enumerators, for text formats and messages.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace mangoroad::base {

/// Constant table of the names of an enum class; each enumerator appears once.
template <typename Enum, std::size_t kSize>
using NameTable = std::array<std::pair<Enum, std::string_view>, kSize>;

/// Name of `value`, or "?" when the table has no entry for it.
template <typename Enum, std::size_t kSize>
constexpr std::string_view NameOf(const NameTable<Enum, kSize>& table, Enum value) {
  const auto entry =
      std::ranges::find(table, value, [](const auto& candidate) { return candidate.first; });
  return entry == table.end() ? std::string_view("?") : entry->second;
}

/// False for a value that is none of the enumerators, for example one read from a message.
template <typename Enum, std::size_t kSize>
constexpr bool IsNamed(const NameTable<Enum, kSize>& table, Enum value) {
  return std::ranges::any_of(table,
                             [value](const auto& candidate) { return candidate.first == value; });
}

/// Enumerator called `name`, or nothing.
template <typename Enum, std::size_t kSize>
constexpr std::optional<Enum> ValueOfName(const NameTable<Enum, kSize>& table,
                                          std::string_view name) {
  const auto entry =
      std::ranges::find(table, name, [](const auto& candidate) { return candidate.second; });
  if (entry == table.end()) return std::nullopt;
  return entry->first;
}

}  // namespace mangoroad::base
