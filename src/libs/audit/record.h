// One record of the audit trail and its JSON line.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/name_table.h"
#include "base/time.h"

namespace mangoroad::audit {

enum class ChangeResult : std::uint8_t { kAccepted, kUnchanged, kConflict, kRefused };

inline constexpr base::NameTable<ChangeResult, 4> kChangeResultNames{{
    {ChangeResult::kAccepted, "accepted"},
    {ChangeResult::kUnchanged, "unchanged"},
    {ChangeResult::kConflict, "conflict"},
    {ChangeResult::kRefused, "refused"},
}};

/// What an operator or an entry VM asked for, and what became of it.
struct Event {
  /// Index in the replicated log.
  std::uint64_t index = 0;
  base::WallMilliseconds time_ms = 0;
  std::string author;
  /// What was asked for, e.g. "table.apply".
  std::string action;
  /// Change id, target or failure domain.
  std::string subject;
  /// Rows affected, ordered by name.
  std::vector<std::string> rows;
  ChangeResult result = ChangeResult::kAccepted;
  std::string reason;
  std::string before;
  std::string after;
  /// One sentence: what the change did, or why it was not accepted.
  std::string effect;

  bool operator==(const Event&) const = default;
};

/// An event with its place in the hash chain.
struct Record {
  /// 1 for the first record, without gaps.
  std::uint64_t number = 0;
  Event event;
  /// Hash of the record before; kNoHash for the first one.
  std::string previous_hash;
  /// SHA-256 of the JSON line without the field `hash`.
  std::string hash;

  bool operator==(const Record&) const = default;
};

/// Stands for the hash of the record before the first one.
inline constexpr std::string_view kNoHash =
    "0000000000000000000000000000000000000000000000000000000000000000";

/// Hash that the record must have.
std::string HashOf(const Record& record);

/// Sets the hash of the record and gives the size of its JSON line in bytes.
std::size_t Seal(Record& record);

/// The record as one line of JSON without a line end; fields and order as in the JSON reference.
/// Bytes that aren't UTF-8 are replaced by U+FFFD.
std::string ToJsonLine(const Record& record);

/// The record of a line written by ToJsonLine(), or nothing when the line is anything else.
/// Neither the hash nor the chain is checked.
std::optional<Record> FromJsonLine(std::string_view line);

}  // namespace mangoroad::audit
