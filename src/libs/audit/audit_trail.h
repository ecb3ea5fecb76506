// The audit trail of the replicated state: hash-chained records, bounded in memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "audit/record.h"
#include "base/result.h"

namespace mangoroad::audit {

/// Bounds of the records kept in memory; the oldest records leave first. At 18,000 changes a day,
/// 4,096 records are 5 hours, so a replica that was away for less has no gap in its files.
constexpr std::size_t kMaxRecords = 4'096;
constexpr std::size_t kMaxRecordBytes = std::size_t{8} * 1024 * 1024;
/// Longest text of one field in bytes; the rest is cut and its size is named.
constexpr std::size_t kMaxTextBytes = std::size_t{64} * 1024;

/// Which records to find; a field without a value matches all.
struct Query {
  std::optional<std::string> author{};
  std::optional<std::string> row{};
  /// First and last time, both included.
  std::optional<base::WallMilliseconds> since_ms{};
  std::optional<base::WallMilliseconds> until_ms{};
  /// Number of the first record to look at.
  std::uint64_t from = 0;
  /// Most records to return.
  std::size_t limit = 100;
};

bool Matches(const Query& query, const Record& record);

/// Records in order of number. Each replica that applies the same events has the same records and
/// the same head.
class AuditTrail {
 public:
  /// Adds the record of an event; texts longer than kMaxTextBytes are cut.
  const Record& Append(Event event);

  /// Number and hash of the newest record; 0 and kNoHash when there is none.
  std::uint64_t LastNumber() const { return this->last_number; }
  const std::string& Head() const { return this->head; }
  /// Number of the oldest record in memory; 0 when there is none.
  std::uint64_t FirstNumber() const;

  /// At most `limit` records with higher numbers than `number`, for writing to a JSON-lines file.
  /// The file's last number is what to ask after; when the first record returned isn't
  /// `number` + 1, the records between have left the memory and the file has a gap.
  std::vector<Record> After(std::uint64_t number, std::size_t limit) const;

  /// Records in memory that match, in order of number.
  std::vector<Record> Search(const Query& query) const;

  std::string Snapshot() const;
  /// Takes over a snapshot, or returns a message and stays as it was when that is not intact.
  base::Result<base::Done, std::string> Restore(std::string_view bytes);

 private:
  struct Entry {
    Record record;
    /// Size of its JSON line, equal on each replica.
    std::size_t bytes = 0;
  };

  void Add(Record record, std::size_t bytes);

  std::deque<Entry> entries;
  std::size_t total_bytes = 0;
  std::uint64_t last_number = 0;
  std::string head{kNoHash};
};

}  // namespace mangoroad::audit
