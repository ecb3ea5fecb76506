#include "storage/wal_codec.h"

#include "storage/msgpack_fields.h"

namespace mangoroad::storage::internal {
namespace {

enum class RecordType : std::uint8_t { kEntry = 1, kHardState = 2, kTruncate = 3, kSnapshot = 4 };

template <typename State>
auto HardStateFields(State& state) {
  return std::tie(state.term, state.voted_for, state.commit);
}

template <typename Any>
auto SnapshotFields(Any& snapshot) {
  return std::tie(snapshot.index, snapshot.term, snapshot.configuration, snapshot.data);
}

template <typename Fields>
std::string Encode(RecordType type, const Fields& fields) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(2);
  packer.pack(static_cast<std::uint8_t>(type));
  PackFields(packer, fields);
  return {buffer.data(), buffer.size()};
}

/// Type of a payload, or nothing when it has another structure.
std::optional<RecordType> TypeOf(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) return std::nullopt;
  return static_cast<RecordType>(object.via.array.ptr[0].as<std::uint8_t>());
}

bool ReadRecord(const msgpack::object& object, std::optional<WalRecord>& record) {
  const std::optional<RecordType> type = TypeOf(object);
  if (!type) return false;
  const msgpack::object& fields = object.via.array.ptr[1];
  if (type == RecordType::kEntry) {
    LogEntry entry;
    if (!UnpackFields(fields, EntryFields(entry))) return false;
    record = std::move(entry);
    return true;
  }
  if (type == RecordType::kHardState) {
    HardState state;
    if (!UnpackFields(fields, HardStateFields(state))) return false;
    record = std::move(state);
    return true;
  }
  TruncateRecord truncate;
  if (type != RecordType::kTruncate || !UnpackFields(fields, std::tie(truncate.last_kept))) {
    return false;
  }
  record = truncate;
  return true;
}

}  // namespace

std::string EncodeEntry(const LogEntry& entry) {
  return Encode(RecordType::kEntry, EntryFields(entry));
}

std::string EncodeHardState(const HardState& state) {
  return Encode(RecordType::kHardState, HardStateFields(state));
}

std::string EncodeTruncate(const TruncateRecord& record) {
  return Encode(RecordType::kTruncate, std::tie(record.last_kept));
}

std::string EncodeSnapshot(const Snapshot& snapshot) {
  return Encode(RecordType::kSnapshot, SnapshotFields(snapshot));
}

std::optional<WalRecord> DecodeWalRecord(std::string_view payload) {
  std::optional<WalRecord> record;
  wire::UnpackBounded(payload,
                      [&](const msgpack::object& object) { return ReadRecord(object, record); });
  return record;
}

std::optional<Snapshot> DecodeSnapshot(std::string_view payload) {
  Snapshot snapshot;
  const bool whole = wire::UnpackBounded(payload, [&](const msgpack::object& object) {
    return TypeOf(object) == RecordType::kSnapshot &&
           UnpackFields(object.via.array.ptr[1], SnapshotFields(snapshot));
  });
  if (!whole) return std::nullopt;
  return snapshot;
}

}  // namespace mangoroad::storage::internal
