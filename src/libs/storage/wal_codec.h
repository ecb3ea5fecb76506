// Payloads of the records in the write-ahead log and in snapshot files.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "storage/log_types.h"

namespace mangoroad::storage::internal {

/// All entries after `last_kept` are void.
struct TruncateRecord {
  Index last_kept = 0;
};

using WalRecord = std::variant<LogEntry, HardState, TruncateRecord>;

std::string EncodeEntry(const LogEntry& entry);
std::string EncodeHardState(const HardState& state);
std::string EncodeTruncate(const TruncateRecord& record);
std::string EncodeSnapshot(const Snapshot& snapshot);

/// Nothing when the payload is malformed.
std::optional<WalRecord> DecodeWalRecord(std::string_view payload);
std::optional<Snapshot> DecodeSnapshot(std::string_view payload);

}  // namespace mangoroad::storage::internal
