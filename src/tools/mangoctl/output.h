// Text output: aligned columns, differences and colours.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "table/diff.h"

namespace mangoroad::mangoctl {

enum class Colour : std::uint8_t { kNone, kRed, kGreen, kYellow, kBold };

/// Writes text for people; colours only when the output is a terminal.
class Output {
 public:
  Output(std::ostream& out, bool use_colours) : stream(out), colours(use_colours) {}

  void Line(std::string_view text, Colour colour = Colour::kNone);
  /// Lines with aligned columns; the first one is the heading.
  void Columns(const std::vector<std::vector<std::string>>& lines);
  void Diff(const std::vector<table::RowChange>& changes);
  std::ostream& Stream() { return this->stream; }
  bool UsesColours() const { return this->colours; }

 private:
  std::ostream& stream;
  bool colours;
};

/// Reading of answers without exceptions: a missing field or one of another type gives an empty
/// value.
std::string Cell(const nlohmann::json& object, std::string_view name);
std::int64_t Number(const nlohmann::json& object, std::string_view name);
bool Flag(const nlohmann::json& object, std::string_view name);
/// The field, or null.
const nlohmann::json& Field(const nlohmann::json& object, std::string_view name);
/// The elements of an array field as lines of the columns named, under a heading of these names.
std::vector<std::vector<std::string>> Lines(const nlohmann::json& array,
                                            const std::vector<std::string_view>& names);

/// Milliseconds since 1970 as "2026-01-31T12:00:00Z".
std::string TimeText(std::int64_t time_ms);

nlohmann::json ToJson(const std::vector<table::RowChange>& changes);
std::vector<table::RowChange> DiffFromJson(const nlohmann::json& array);

}  // namespace mangoroad::mangoctl
