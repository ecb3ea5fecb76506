// Structured logs: one event a line with key=value fields, one category a module.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "base/name_table.h"
#include "base/result.h"
#include "base/time.h"

namespace mangoroad::log {

/// One category for each module that logs; its level can be set alone.
enum class Category {
  kBase,
  kSettings,
  kStorage,
  kConsensus,
  kTable,
  kAudit,
  kMembership,
  kLending,
  kRegistry,
  kRouting,
  kJobs,
  kInterference,
  kPlacement,
  kState,
  kNet,
  kEntry,
  kTool,
};

inline constexpr base::NameTable<Category, 17> kCategoryNames{{
    {Category::kBase, "base"},
    {Category::kSettings, "settings"},
    {Category::kStorage, "storage"},
    {Category::kConsensus, "consensus"},
    {Category::kTable, "table"},
    {Category::kAudit, "audit"},
    {Category::kMembership, "membership"},
    {Category::kLending, "lending"},
    {Category::kRegistry, "registry"},
    {Category::kRouting, "routing"},
    {Category::kJobs, "jobs"},
    {Category::kInterference, "interference"},
    {Category::kPlacement, "placement"},
    {Category::kState, "state"},
    {Category::kNet, "net"},
    {Category::kEntry, "entry"},
    {Category::kTool, "tool"},
}};

enum class Level { kTrace, kDebug, kInfo, kWarning, kError, kOff };

inline constexpr base::NameTable<Level, 6> kLevelNames{{
    {Level::kTrace, "trace"},
    {Level::kDebug, "debug"},
    {Level::kInfo, "info"},
    {Level::kWarning, "warning"},
    {Level::kError, "error"},
    {Level::kOff, "off"},
}};

enum class Format { kText, kJson };

inline constexpr base::NameTable<Format, 2> kFormatNames{{
    {Format::kText, "text"},
    {Format::kJson, "json"},
}};

/// Where and how events are written.
struct Options {
  /// Levels as `category=level` items and at most one level for all others, separated by commas,
  /// e.g. `routing=debug,info`. Empty means `info`.
  std::string levels{};
  Format format = Format::kText;
  /// File to append to; empty means standard error.
  std::string file{};
  /// Writes to standard output in place of standard error; only without a file. Lines wait in
  /// memory until Flush() or until enough of them wait; a reader that doesn't keep up loses lines.
  bool to_standard_output = false;
};

enum class LogErrorKind { kBadLevel, kCannotOpen };
using LogError = base::BasicError<LogErrorKind>;

/// Marks a value that must not appear in a log; it is written as `[redacted]`.
struct Secret {};

/// One key=value field of an event. Text is only referenced, so a field must not outlive the call
/// that logs it. The values of fields whose key names a credential are redacted.
class Field {
 public:
  using Value = std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool,
                             base::Duration, Secret>;

  template <typename T>
  Field(std::string_view field_key, const T& field_value)  // NOLINT(google-explicit-constructor)
      : key(field_key), value(ToValue(field_value)) {}

  std::string_view key;
  Value value;

 private:
  template <typename T>
  static Value ToValue(const T& value) {
    if constexpr (std::same_as<T, bool> || std::same_as<T, Secret>) {
      return value;
    } else if constexpr (std::signed_integral<T>) {
      return static_cast<std::int64_t>(value);
    } else if constexpr (std::unsigned_integral<T>) {
      return static_cast<std::uint64_t>(value);
    } else if constexpr (std::floating_point<T>) {
      return static_cast<double>(value);
    } else if constexpr (std::convertible_to<T, std::string_view>) {
      return std::string_view(value);
    } else {
      return std::chrono::duration_cast<base::Duration>(value);
    }
  }
};

using Fields = std::initializer_list<Field>;

/// Checks the text of Options::levels without applying it.
base::Result<base::Done, LogError> CheckLevels(std::string_view levels);

/// Applies the options to all categories and logs soft asserts from then on; on an error the
/// options in force stay. Before the first call, events of level info and above go to standard
/// error as text.
base::Result<base::Done, LogError> Configure(const Options& options);

/// True when an event of this level would be written; lets a caller skip costly fields.
bool IsEnabled(Category category, Level level);

/// Writes one event. `event` is a short constant text in lower case, e.g. "link lost".
void Write(Category category, Level level, std::string_view event, Fields fields = {});

inline void Debug(Category category, std::string_view event, Fields fields = {}) {
  Write(category, Level::kDebug, event, fields);
}
inline void Info(Category category, std::string_view event, Fields fields = {}) {
  Write(category, Level::kInfo, event, fields);
}
inline void Warning(Category category, std::string_view event, Fields fields = {}) {
  Write(category, Level::kWarning, event, fields);
}
inline void Error(Category category, std::string_view event, Fields fields = {}) {
  Write(category, Level::kError, event, fields);
}

/// Hands all written events to the operating system.
void Flush();

}  // namespace mangoroad::log
