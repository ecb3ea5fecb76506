#include "membership/membership_codec.h"

#include <fmt/format.h>

#include <algorithm>

#include "membership/target_gossip.h"
#include "wire/messages.h"

namespace mangoroad::membership {
namespace {

constexpr std::uint64_t kFormatVersion = 1;
constexpr std::size_t kGossipFields = 9;
constexpr std::size_t kEntryFields = 7;
constexpr std::size_t kSummaryFields = 7;
constexpr std::size_t kMaxMembers = 1000;

void WriteEntry(wire::Writer& writer, const TargetEntry& entry) {
  writer.Array(kEntryFields).Text(entry.id).Unsigned(entry.version.incarnation);
  writer.Unsigned(entry.version.epoch).Unsigned(entry.version.change);
  writer.Bool(entry.is_removed).Bytes(entry.payload);
  writer.Unsigned(static_cast<std::uint64_t>(std::max<std::int64_t>(entry.age.count(), 0)));
}

TargetEntry ReadEntry(wire::Reader& reader) {
  TargetEntry entry;
  reader.Array(kEntryFields);
  entry.id = reader.Text();
  entry.version.incarnation = reader.Unsigned();
  entry.version.epoch = reader.Unsigned();
  entry.version.change = reader.Unsigned();
  entry.is_removed = reader.Bool();
  entry.payload = reader.Bytes();
  // Longer ages are clamped: all of them are expired, and the bound prevents an overflow.
  entry.age = base::Duration(std::min<std::uint64_t>(reader.Unsigned(), 3'600'000'000));
  return entry;
}

void WriteSummary(wire::Writer& writer, const DomainSummary& summary) {
  writer.Array(kSummaryFields).Text(summary.failure_domain).Unsigned(summary.targets);
  writer.Unsigned(summary.free_slots).Unsigned(summary.free_millicores);
  writer.Unsigned(summary.free_memory_mib).Unsigned(summary.free_accelerators);
  writer.Unsigned(summary.queued);
}

DomainSummary ReadSummary(wire::Reader& reader) {
  const auto small = [&reader] { return static_cast<std::uint32_t>(reader.Unsigned()); };
  DomainSummary summary;
  reader.Array(kSummaryFields);
  summary.failure_domain = reader.Text();
  summary.targets = small();
  summary.free_slots = small();
  summary.free_millicores = reader.Unsigned();
  summary.free_memory_mib = reader.Unsigned();
  summary.free_accelerators = small();
  summary.queued = small();
  return summary;
}

}  // namespace

std::string Encode(const Gossip& gossip) {
  wire::Writer writer;
  writer.Array(kGossipFields).Unsigned(kFormatVersion).Unsigned(gossip.incarnation);
  writer.Unsigned(gossip.sequence).Array(gossip.receives_from.size());
  for (const Member& member : gossip.receives_from) {
    writer.Array(2).Text(member.name).Unsigned(member.incarnation);
  }
  writer.Unsigned(gossip.received_changes).Unsigned(gossip.first_change);
  writer.Unsigned(gossip.last_change).Array(gossip.targets.size());
  for (const TargetEntry& entry : gossip.targets) WriteEntry(writer, entry);
  writer.Array(gossip.summary ? 1 : 0);
  if (gossip.summary) WriteSummary(writer, *gossip.summary);
  return writer.Take();
}

base::Result<Gossip, CodecError> DecodeGossip(std::string_view bytes) {
  wire::Reader reader(bytes);
  reader.Array(kGossipFields);
  const std::uint64_t version = reader.Unsigned();
  if (reader.IsValid() && version != kFormatVersion) {
    return CodecError{CodecErrorKind::kUnknownVersion,
                      fmt::format("gossip has the unknown format version {}", version)};
  }
  Gossip gossip;
  gossip.incarnation = reader.Unsigned();
  gossip.sequence = reader.Unsigned();
  for (std::size_t left = reader.Array(kMaxMembers); left > 0 && reader.IsValid(); --left) {
    reader.Array(2);
    std::string name = reader.Text();
    gossip.receives_from.push_back({std::move(name), reader.Unsigned()});
  }
  gossip.received_changes = reader.Unsigned();
  gossip.first_change = reader.Unsigned();
  gossip.last_change = reader.Unsigned();
  for (std::size_t left = reader.Array(TargetGossip::kMaxEntries); left > 0 && reader.IsValid();
       --left) {
    gossip.targets.push_back(ReadEntry(reader));
  }
  if (reader.Array(1) == 1) gossip.summary = ReadSummary(reader);
  if (!reader.IsComplete()) {
    return CodecError{CodecErrorKind::kMalformed,
                      fmt::format("gossip of {} bytes is malformed", bytes.size())};
  }
  return gossip;
}

}  // namespace mangoroad::membership
