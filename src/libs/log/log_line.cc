#include "log/log_line.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>
#include <type_traits>

namespace mangoroad::log::internal {
namespace {

constexpr std::string_view kRedacted = "[redacted]";

// "token" is absent on purpose: fencing tokens are plain numbers that operators need to see.
constexpr std::array<std::string_view, 6> kCredentialWords{
    "secret", "password", "passphrase", "authorization", "credential", "private_key"};

bool NamesCredential(std::string_view key) {
  return std::ranges::any_of(kCredentialWords, [key](std::string_view word) {
    return key.find(word) != std::string_view::npos;
  });
}

Field::Value Visible(const Field& field) {
  return NamesCredential(field.key) ? Field::Value(Secret{}) : field.value;
}

bool NeedsQuotes(std::string_view text) {
  return text.empty() || std::ranges::any_of(text, [](char c) {
           return c <= ' ' || c > '~' || c == '"' || c == '\\' || c == '=';
         });
}

std::string Quoted(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string AsText(std::string_view text) {
  return NeedsQuotes(text) ? Quoted(text) : std::string(text);
}

double Milliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::string TextValue(const Field::Value& value) {
  return std::visit(
      [](const auto& v) -> std::string {
        using T = std::decay_t<decltype(v)>;
        if constexpr (std::is_same_v<T, Secret>) {
          return std::string(kRedacted);
        }
        if constexpr (std::is_same_v<T, std::string_view>) {
          return AsText(v);
        }
        if constexpr (std::is_same_v<T, base::Duration>) {
          return fmt::format("{}ms", Milliseconds(v));
        }
        if constexpr (std::is_arithmetic_v<T>) {
          return fmt::format("{}", v);
        }
      },
      value);
}

/// Most texts need no escapes; these are appended as they are, since logging each start and end is
/// a visible part of a leader's processor time.
void AppendQuoted(std::string& line, std::string_view text) {
  const bool is_plain = std::ranges::all_of(
      text, [](char c) { return c >= ' ' && c <= '~' && c != '"' && c != '\\'; });
  if (!is_plain) {
    line += Quoted(text);
    return;
  }
  line += '"';
  line += text;
  line += '"';
}

void AppendJsonValue(std::string& line, const Field::Value& value) {
  std::visit(
      [&line](const auto& v) {
        using T = std::decay_t<decltype(v)>;
        if constexpr (std::is_same_v<T, Secret>) {
          AppendQuoted(line, kRedacted);
        } else if constexpr (std::is_same_v<T, std::string_view>) {
          AppendQuoted(line, v);
        } else if constexpr (std::is_same_v<T, base::Duration>) {
          fmt::format_to(std::back_inserter(line), "{}", Milliseconds(v));
        } else if constexpr (std::is_same_v<T, double>) {
          line += nlohmann::json(v).dump();
        } else {
          fmt::format_to(std::back_inserter(line), "{}", v);
        }
      },
      value);
}

}  // namespace

std::string TextLine(std::string_view event, Fields fields) {
  std::string line = fmt::format("event={}", AsText(event));
  for (const Field& field : fields) {
    line += fmt::format(" {}={}", AsText(field.key), TextValue(Visible(field)));
  }
  return line;
}

std::string JsonMembers(std::string_view event, Fields fields) {
  std::string members = "\"event\":";
  AppendQuoted(members, event);
  for (const Field& field : fields) {
    members += ',';
    AppendQuoted(members, field.key);
    members += ':';
    AppendJsonValue(members, Visible(field));
  }
  return members;
}

}  // namespace mangoroad::log::internal
