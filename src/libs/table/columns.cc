#include "table/columns.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <iterator>
#include <vector>

namespace mangoroad::table::internal {
namespace {

constexpr std::string_view kAnyPlace = "any";
/// Bounds where the design gives none: they are far above the target size and keep sums in range.
constexpr std::uint32_t kMaxLimit = 100'000'000;
constexpr std::uint32_t kMaxDeadlineMs = 86'400'000;
constexpr std::size_t kMaxQuotedBytes = 64;

using Message = std::optional<std::string>;

Message ReadName(std::string_view text, std::string& name) {
  if (!IsValidName(text)) {
    return fmt::format(
        "{} is not a name: it needs 1 to {} letters, digits, '.', '_' or '-', and starts with a "
        "letter or digit",
        Quoted(text), kMaxNameBytes);
  }
  name = std::string(text);
  return std::nullopt;
}

template <std::uint32_t Row::* field, std::uint32_t kLow, std::uint32_t kHigh>
Message ReadNumber(std::string_view text, Row& row) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool is_number = !text.empty() && end == text.data() + text.size();
  if (!is_number || error == std::errc::invalid_argument) {
    return fmt::format("{} is not a whole number from {} to {}", Quoted(text), kLow, kHigh);
  }
  if (error == std::errc::result_out_of_range || value < kLow || value > kHigh) {
    return fmt::format("{} is out of range: it must be from {} to {}", Quoted(text), kLow, kHigh);
  }
  row.*field = static_cast<std::uint32_t>(value);
  return std::nullopt;
}

template <std::uint32_t Row::* field>
std::string WriteNumber(const Row& row) {
  return std::to_string(row.*field);
}

template <bool Row::* field>
Message ReadFlag(std::string_view text, Row& row) {
  if (text != "yes" && text != "no") {
    return fmt::format("{} is neither 'yes' nor 'no'", Quoted(text));
  }
  row.*field = text == "yes";
  return std::nullopt;
}

template <bool Row::* field>
std::string WriteFlag(const Row& row) {
  return row.*field ? "yes" : "no";
}

Message ReadClass(std::string_view text, Row& row) {
  const auto value = base::ValueOfName(kWorkClassNames, text);
  if (!value) {
    return fmt::format("{} is not a class: it must be 'service', 'batch' or 'session'",
                       Quoted(text));
  }
  row.work_class = *value;
  return std::nullopt;
}

Message AddPlace(std::string_view domain, std::vector<std::string>& place) {
  if (domain == kAnyPlace) return "'any' can't be combined with failure domains";
  std::string name;
  if (auto message = ReadName(domain, name)) return message;
  if (std::ranges::find(place, name) != place.end()) {
    return fmt::format("failure domain {} appears twice", Quoted(domain));
  }
  place.push_back(std::move(name));
  return std::nullopt;
}

Message ReadPlace(std::string_view text, Row& row) {
  row.place.clear();
  if (text == kAnyPlace) return std::nullopt;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find('|', begin), text.size());
    if (auto message = AddPlace(text.substr(begin, end - begin), row.place)) return message;
    if (row.place.size() > kMaxPlaces) {
      return fmt::format("more than {} failure domains", kMaxPlaces);
    }
    begin = end + 1;
  }
  return std::nullopt;
}

std::string WritePlace(const Row& row) {
  return row.place.empty() ? std::string(kAnyPlace) : fmt::format("{}", fmt::join(row.place, "|"));
}

constexpr std::array<Column, kColumnCount> kColumns{{
    {"row", [](std::string_view text, Row& row) { return ReadName(text, row.row); },
     [](const Row& row) { return row.row; }},
    {"class", ReadClass,
     [](const Row& row) { return std::string(base::NameOf(kWorkClassNames, row.work_class)); }},
    {"team", [](std::string_view text, Row& row) { return ReadName(text, row.team); },
     [](const Row& row) { return row.team; }},
    {"weight", ReadNumber<&Row::weight, 1, 1'000>, WriteNumber<&Row::weight>},
    {"place", ReadPlace, WritePlace},
    {"limit_inflight", ReadNumber<&Row::limit_inflight, 0, kMaxLimit>,
     WriteNumber<&Row::limit_inflight>},
    {"limit_rate", ReadNumber<&Row::limit_rate, 0, kMaxLimit>, WriteNumber<&Row::limit_rate>},
    {"deadline_ms", ReadNumber<&Row::deadline_ms, 0, kMaxDeadlineMs>,
     WriteNumber<&Row::deadline_ms>},
    {"retries", ReadNumber<&Row::retries, 0, 5>, WriteNumber<&Row::retries>},
    {"idempotent", ReadFlag<&Row::idempotent>, WriteFlag<&Row::idempotent>},
    {"quota_processors", ReadNumber<&Row::quota_processors, 0, kMaxLimit>,
     WriteNumber<&Row::quota_processors>},
    {"urgent", ReadFlag<&Row::urgent>, WriteFlag<&Row::urgent>},
    {"hold_s", ReadNumber<&Row::hold_s, 0, 7'200>, WriteNumber<&Row::hold_s>},
}};

}  // namespace

const std::array<Column, kColumnCount>& Columns() { return kColumns; }

std::optional<std::size_t> ColumnIndex(std::string_view name) {
  const auto found = std::ranges::find(kColumns, name, &Column::name);
  if (found == kColumns.end()) return std::nullopt;
  return static_cast<std::size_t>(std::distance(kColumns.begin(), found));
}

std::string Quoted(std::string_view text) {
  std::string quoted = "'";
  for (const char c : text.substr(0, kMaxQuotedBytes)) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte >= 0x7f) {
      quoted += fmt::format("\\x{:02x}", byte);
    } else {
      quoted += c;
    }
  }
  quoted += text.size() > kMaxQuotedBytes ? "...'" : "'";
  return quoted;
}

}  // namespace mangoroad::table::internal
