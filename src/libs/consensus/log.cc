#include "consensus/log.h"

#include <algorithm>

#include "base/soft_assert.h"

namespace mangoroad::consensus::internal {

void Log::Reset(Index new_base_index, Term new_base_term) {
  this->base_index = new_base_index;
  this->base_term = new_base_term;
  this->entries.clear();
}

void Log::Append(LogEntry entry) {
  MANGOROAD_INVARIANT(entry.index == this->LastIndex() + 1);
  this->entries.push_back(std::move(entry));
}

void Log::TruncateAfter(Index last_kept) {
  MANGOROAD_INVARIANT(last_kept >= this->base_index);
  if (last_kept < this->LastIndex()) {
    this->entries.resize(static_cast<std::size_t>(last_kept - this->base_index));
  }
}

void Log::CompactTo(Index index) {
  if (index <= this->base_index) return;
  const std::optional<Term> term = this->TermAt(index);
  MANGOROAD_INVARIANT(term.has_value());
  const auto count = static_cast<std::ptrdiff_t>(index - this->base_index);
  this->entries.erase(this->entries.begin(), this->entries.begin() + count);
  this->base_index = index;
  this->base_term = *term;
}

Term Log::LastTerm() const {
  return this->entries.empty() ? this->base_term : this->entries.back().term;
}

std::optional<Term> Log::TermAt(Index index) const {
  if (index < this->base_index || index > this->LastIndex()) return std::nullopt;
  return index == this->base_index ? this->base_term : this->At(index).term;
}

const LogEntry& Log::At(Index index) const {
  return this->entries[static_cast<std::size_t>(index - this->base_index - 1)];
}

std::vector<LogEntry> Log::Slice(Index first, std::size_t max_bytes) const {
  std::vector<LogEntry> slice;
  std::size_t bytes = 0;
  for (Index index = first; index <= this->LastIndex(); ++index) {
    bytes += CostOf(this->At(index));
    if (!slice.empty() && bytes > max_bytes) break;
    slice.push_back(this->At(index));
  }
  return slice;
}

std::pair<Index, Term> Log::FindAgreement(Index index, Term term) const {
  for (index = std::min(index, this->LastIndex()); index > this->base_index; --index) {
    if (this->At(index).term <= term) return {index, this->At(index).term};
  }
  return {this->base_index, this->base_term};
}

std::size_t CostOf(const LogEntry& entry) {
  constexpr std::size_t kFieldBytes = 32;
  return entry.data.size() + kFieldBytes;
}

}  // namespace mangoroad::consensus::internal
