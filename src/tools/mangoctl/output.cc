#include "mangoctl/output.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <iterator>
#include <nlohmann/json.hpp>

namespace mangoroad::mangoctl {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 5> kColourCodes{"", "\x1b[31m", "\x1b[32m", "\x1b[33m",
                                                       "\x1b[1m"};
constexpr std::string_view kColourEnd = "\x1b[0m";

/// How each kind of change is marked in a difference.
struct Mark {
  table::ChangeKind kind;
  char sign;
  Colour colour;
};
constexpr std::array<Mark, 3> kMarks{{{table::ChangeKind::kAdded, '+', Colour::kGreen},
                                      {table::ChangeKind::kRemoved, '-', Colour::kRed},
                                      {table::ChangeKind::kChanged, '~', Colour::kYellow}}};

std::string FieldText(const table::RowChange& change, const table::FieldChange& field) {
  if (change.kind == table::ChangeKind::kAdded) {
    return fmt::format("    {}: {}", field.column, field.after);
  }
  return fmt::format("    {}: {} -> {}", field.column, field.before, field.after);
}

}  // namespace

void Output::Line(std::string_view text, Colour colour) {
  if (this->colours && colour != Colour::kNone) {
    this->stream << kColourCodes.at(static_cast<std::size_t>(colour)) << text << kColourEnd << '\n';
  } else {
    this->stream << text << '\n';
  }
}

void Output::Columns(const std::vector<std::vector<std::string>>& lines) {
  std::vector<std::size_t> widths;
  for (const auto& line : lines) {
    widths.resize(std::max(widths.size(), line.size()));
    for (std::size_t i = 0; i < line.size(); ++i) widths[i] = std::max(widths[i], line[i].size());
  }
  for (std::size_t l = 0; l < lines.size(); ++l) {
    std::string text;
    for (std::size_t i = 0; i < lines[l].size(); ++i) {
      const bool is_last = i + 1 == lines[l].size();
      text += is_last ? lines[l][i] : fmt::format("{:<{}}  ", lines[l][i], widths[i]);
    }
    this->Line(text, l == 0 ? Colour::kBold : Colour::kNone);
  }
}

void Output::Diff(const std::vector<table::RowChange>& changes) {
  for (const table::RowChange& change : changes) {
    const Mark& mark = *std::ranges::find(kMarks, change.kind, &Mark::kind);
    this->Line(fmt::format("{} {}", mark.sign, change.row), mark.colour);
    for (const table::FieldChange& field : change.fields) {
      if (field.column != "row") this->Line(FieldText(change, field), mark.colour);
    }
  }
  const auto count = [&](table::ChangeKind kind) {
    return std::ranges::count(changes, kind, &table::RowChange::kind);
  };
  this->Line(fmt::format("{} to add, {} to remove, {} to change", count(table::ChangeKind::kAdded),
                         count(table::ChangeKind::kRemoved), count(table::ChangeKind::kChanged)));
}

const Json& Field(const Json& object, std::string_view name) {
  static const Json kNull;
  if (!object.is_object()) return kNull;
  const auto found = object.find(std::string(name));
  return found == object.end() ? kNull : *found;
}

std::string Cell(const Json& object, std::string_view name) {
  const Json& field = Field(object, name);
  if (field.is_null()) return "";
  return field.is_string() ? field.get<std::string>() : field.dump();
}

std::int64_t Number(const Json& object, std::string_view name) {
  const Json& field = Field(object, name);
  return field.is_number() ? field.get<std::int64_t>() : 0;
}

bool Flag(const Json& object, std::string_view name) {
  const Json& field = Field(object, name);
  return field.is_boolean() && field.get<bool>();
}

std::vector<std::vector<std::string>> Lines(const Json& array,
                                            const std::vector<std::string_view>& names) {
  std::vector<std::vector<std::string>> lines{{names.begin(), names.end()}};
  if (!array.is_array()) return lines;
  for (const Json& element : array) {
    auto& line = lines.emplace_back();
    for (const std::string_view name : names) {
      const bool is_time = name == "time_ms" || name == "since_ms";
      line.push_back(is_time ? TimeText(Number(element, name)) : Cell(element, name));
    }
  }
  return lines;
}

std::string TimeText(std::int64_t time_ms) {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(static_cast<std::time_t>(time_ms / 1000)));
}

Json ToJson(const std::vector<table::RowChange>& changes) {
  Json array = Json::array();
  for (const table::RowChange& change : changes) {
    Json fields = Json::array();
    for (const table::FieldChange& field : change.fields) {
      fields.push_back(
          {{"column", field.column}, {"before", field.before}, {"after", field.after}});
    }
    array.push_back({{"row", change.row},
                     {"change", base::NameOf(table::kChangeKindNames, change.kind)},
                     {"fields", std::move(fields)}});
  }
  return array;
}

std::vector<table::RowChange> DiffFromJson(const Json& array) {
  std::vector<table::RowChange> changes;
  if (!array.is_array()) return changes;
  for (const Json& element : array) {
    const auto kind = base::ValueOfName(table::kChangeKindNames, Cell(element, "change"));
    if (!kind) continue;
    auto& change = changes.emplace_back(table::RowChange{*kind, Cell(element, "row"), {}});
    const Json& fields = Field(element, "fields");
    if (!fields.is_array()) continue;
    for (const Json& field : fields) {
      change.fields.push_back({Cell(field, "column"), Cell(field, "before"), Cell(field, "after")});
    }
  }
  return changes;
}

}  // namespace mangoroad::mangoctl
