#include "audit/audit_trail.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "audit/chain.h"

namespace mangoroad::audit {
namespace {

void CutText(std::string& text) {
  if (text.size() <= kMaxTextBytes) return;
  // Continuation bytes of UTF-8 are 10xxxxxx; the cut goes before the character's first byte.
  std::size_t end = kMaxTextBytes;
  while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xc0U) == 0x80U) --end;
  const std::size_t cut = text.size() - end;
  text.resize(end);
  text += fmt::format("... ({} bytes cut)", cut);
}

constexpr std::string_view kSnapshotFormat = "audit-trail-1";

}  // namespace

bool Matches(const Query& query, const Record& record) {
  const Event& event = record.event;
  return record.number >= query.from && (!query.author || *query.author == event.author) &&
         (!query.since_ms || event.time_ms >= *query.since_ms) &&
         (!query.until_ms || event.time_ms <= *query.until_ms) &&
         (!query.row || std::ranges::find(event.rows, *query.row) != event.rows.end());
}

const Record& AuditTrail::Append(Event event) {
  for (std::string Event::* text : {&Event::author, &Event::action, &Event::subject, &Event::reason,
                                    &Event::before, &Event::after, &Event::effect}) {
    CutText(event.*text);
  }
  Record record{this->last_number + 1, std::move(event), this->head, ""};
  const std::size_t bytes = Seal(record);
  this->Add(std::move(record), bytes);
  return this->entries.back().record;
}

void AuditTrail::Add(Record record, std::size_t bytes) {
  this->last_number = record.number;
  this->head = record.hash;
  this->entries.push_back({std::move(record), bytes});
  this->total_bytes += bytes;
  while (this->entries.size() > 1 &&
         (this->entries.size() > kMaxRecords || this->total_bytes > kMaxRecordBytes)) {
    this->total_bytes -= this->entries.front().bytes;
    this->entries.pop_front();
  }
}

std::uint64_t AuditTrail::FirstNumber() const {
  return this->entries.empty() ? 0 : this->entries.front().record.number;
}

std::vector<Record> AuditTrail::After(std::uint64_t number, std::size_t limit) const {
  return this->Search({.from = number + 1, .limit = limit});
}

std::vector<Record> AuditTrail::Search(const Query& query) const {
  std::vector<Record> found;
  const std::uint64_t first = this->FirstNumber();
  const std::uint64_t skipped = query.from > first ? query.from - first : 0;
  if (skipped >= this->entries.size()) return found;
  auto matching = this->entries | std::views::drop(static_cast<std::ptrdiff_t>(skipped)) |
                  std::views::transform(&Entry::record) |
                  std::views::filter([&](const Record& record) { return Matches(query, record); }) |
                  std::views::take(static_cast<std::ptrdiff_t>(query.limit));
  std::ranges::copy(matching, std::back_inserter(found));
  return found;
}

std::string AuditTrail::Snapshot() const {
  std::string bytes = fmt::format("{} {}\n", kSnapshotFormat, this->last_number);
  for (const Entry& entry : this->entries) bytes += ToJsonLine(entry.record) + '\n';
  return bytes;
}

base::Result<base::Done, std::string> AuditTrail::Restore(std::string_view bytes) {
  AuditTrail restored;
  ChainVerifier verifier;
  const std::size_t header_end = std::min(bytes.find('\n'), bytes.size());
  const std::string header(bytes.substr(0, header_end));
  bytes.remove_prefix(std::min(header_end + 1, bytes.size()));
  while (!bytes.empty()) {
    const std::string_view line = bytes.substr(0, bytes.find('\n'));
    if (auto fault = verifier.AddLine(line)) {
      return fmt::format("audit trail snapshot, line {}: {}", fault->line + 1, fault->message);
    }
    restored.Add(verifier.Last(), line.size());
    bytes.remove_prefix(std::min(line.size() + 1, bytes.size()));
  }
  if (header != fmt::format("{} {}", kSnapshotFormat, restored.last_number)) {
    return fmt::format("audit trail snapshot: header '{}' doesn't fit its last record {}",
                       header.substr(0, 64), restored.last_number);
  }
  *this = std::move(restored);
  return base::Done();
}

}  // namespace mangoroad::audit
