// Packs the fields of plain structs as msgpack arrays. Include only in .cc files: msgpack is a
// heavy header.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "storage/log_types.h"
#include "wire/record_codec.h"

namespace mangoroad::storage::internal {

using Packer = msgpack::packer<msgpack::sbuffer>;

/// Fields of a log entry in the order of the format.
template <typename Entry>
auto EntryFields(Entry& entry) {
  return std::tie(entry.index, entry.term, entry.kind, entry.data, entry.origin_replica,
                  entry.origin_incarnation, entry.origin_number);
}

template <typename Value>
void PackValue(Packer& packer, const Value& value) {
  packer.pack(value);
}
inline void PackValue(Packer& packer, EntryKind value) {
  packer.pack(static_cast<std::uint8_t>(value));
}

void PackValue(Packer& packer, const std::vector<LogEntry>& entries);

template <typename Fields>
void PackFields(Packer& packer, const Fields& fields) {
  packer.pack_array(static_cast<std::uint32_t>(std::tuple_size_v<Fields>));
  std::apply([&](const auto&... field) { (PackValue(packer, field), ...); }, fields);
}

inline void PackValue(Packer& packer, const std::vector<LogEntry>& entries) {
  packer.pack_array(static_cast<std::uint32_t>(entries.size()));
  for (const LogEntry& entry : entries) PackFields(packer, EntryFields(entry));
}

/// False for a value out of range. A value of another type makes msgpack throw, which
/// wire::UnpackBounded turns into false.
template <typename Value>
bool UnpackValue(const msgpack::object& object, Value& value) {
  object.convert(value);
  return true;
}
inline bool UnpackValue(const msgpack::object& object, EntryKind& value) {
  const auto number = object.as<std::uint8_t>();
  if (number > static_cast<std::uint8_t>(EntryKind::kNoop)) return false;
  value = static_cast<EntryKind>(number);
  return true;
}

bool UnpackValue(const msgpack::object& object, std::vector<LogEntry>& entries);

template <typename Fields>
bool UnpackFields(const msgpack::object& object, Fields fields) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size != std::tuple_size_v<Fields>) {
    return false;
  }
  [[maybe_unused]] const msgpack::object* next = object.via.array.ptr;
  return std::apply([&](auto&... field) { return (UnpackValue(*next++, field) && ...); }, fields);
}

inline bool UnpackValue(const msgpack::object& object, std::vector<LogEntry>& entries) {
  if (object.type != msgpack::type::ARRAY) return false;
  entries.resize(object.via.array.size);
  for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
    if (!UnpackFields(object.via.array.ptr[i], EntryFields(entries[i]))) return false;
  }
  return true;
}

}  // namespace mangoroad::storage::internal
