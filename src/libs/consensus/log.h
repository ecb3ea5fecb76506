// Entries of the replicated log that a replica keeps in memory.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "consensus/messages.h"

namespace mangoroad::consensus::internal {

/// Entries after a base position. The base is the last entry that a snapshot replaced, or 0.
class Log {
 public:
  /// Empties the log; the next entry has index `base_index` + 1.
  void Reset(Index base_index, Term base_term);
  /// The entry must follow the last one.
  void Append(LogEntry entry);
  /// Removes all entries after `last_kept`, which is not before the base.
  void TruncateAfter(Index last_kept);
  /// Moves the base forward to `index`, which must be in the log.
  void CompactTo(Index index);

  Index BaseIndex() const { return this->base_index; }
  Index LastIndex() const { return this->base_index + this->entries.size(); }
  Term LastTerm() const;
  /// Nothing before the base or after the last entry.
  std::optional<Term> TermAt(Index index) const;
  /// The index must be after the base and not after the last entry.
  const LogEntry& At(Index index) const;
  /// Entries from `first` on with at most `max_bytes` of data, but at least one if there is one.
  std::vector<LogEntry> Slice(Index first, std::size_t max_bytes) const;
  /// The last position at or before `index` whose term isn't above `term`, with its term; where two
  /// logs may agree that disagree at `index`.
  std::pair<Index, Term> FindAgreement(Index index, Term term) const;

 private:
  Index base_index = 0;
  Term base_term = 0;
  std::deque<LogEntry> entries;
};

/// Bytes that an entry counts against limits: its data and about 32 bytes for the other fields.
std::size_t CostOf(const LogEntry& entry);

}  // namespace mangoroad::consensus::internal
