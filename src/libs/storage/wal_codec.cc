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

/// Type and fields of a payload; throws msgpack::type_error on another structure.
RecordType TypeOf(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
    throw msgpack::type_error();
  }
  return static_cast<RecordType>(object.via.array.ptr[0].as<std::uint8_t>());
}

WalRecord ReadRecord(const msgpack::object& object) {
  const RecordType type = TypeOf(object);
  const msgpack::object& fields = object.via.array.ptr[1];
  if (type == RecordType::kEntry) {
    LogEntry entry;
    UnpackFields(fields, EntryFields(entry));
    return entry;
  }
  if (type == RecordType::kHardState) {
    HardState state;
    UnpackFields(fields, HardStateFields(state));
    return state;
  }
  if (type != RecordType::kTruncate) throw msgpack::type_error();
  TruncateRecord record;
  UnpackFields(fields, std::tie(record.last_kept));
  return record;
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
  UnpackBytes(payload, [&](const msgpack::object& object) { record = ReadRecord(object); });
  return record;
}

std::optional<Snapshot> DecodeSnapshot(std::string_view payload) {
  Snapshot snapshot;
  const bool whole = UnpackBytes(payload, [&](const msgpack::object& object) {
    if (TypeOf(object) != RecordType::kSnapshot) throw msgpack::type_error();
    UnpackFields(object.via.array.ptr[1], SnapshotFields(snapshot));
  });
  if (!whole) return std::nullopt;
  return snapshot;
}

}  // namespace mangoroad::storage::internal
