#include "registry/registry_codec.h"

#include <algorithm>
#include <iterator>
#include <msgpack.hpp>
#include <tuple>

#include "wire/bounded_unpack.h"

namespace mangoroad::registry {
namespace {

constexpr int kFormatVersion = 1;

// On the wire, each message is a tuple of plain values.
using Headers = std::vector<std::pair<std::string, std::string>>;
using PackedId = std::tuple<std::string, std::uint64_t>;
using PackedRecord = std::tuple<std::string, std::string, PackedId, base::Duration::rep, bool, int,
                                Headers, std::string>;

PackedId Pack(const ClaimId& id) { return {id.claimant, id.number}; }
ClaimId Unpack(const PackedId& id) { return {std::get<0>(id), std::get<1>(id)}; }

PackedRecord Pack(const ClaimRecord& record) {
  const Response response = record.response.value_or(Response{});
  return {record.key,
          record.digest,
          Pack(record.id),
          record.age.count(),
          record.response.has_value(),
          response.status,
          response.headers,
          response.body};
}

ClaimRecord Unpack(const PackedRecord& packed) {
  const auto& [key, digest, id, age, has_response, status, headers, body] = packed;
  ClaimRecord record{key, digest, Unpack(id), base::Duration(age), std::nullopt};
  if (has_response) record.response = Response{status, headers, body};
  return record;
}

std::vector<PackedRecord> PackAll(const std::vector<ClaimRecord>& records) {
  std::vector<PackedRecord> packed;
  std::ranges::transform(records, std::back_inserter(packed),
                         [](const ClaimRecord& record) { return Pack(record); });
  return packed;
}

std::vector<ClaimRecord> UnpackAll(const std::vector<PackedRecord>& packed) {
  std::vector<ClaimRecord> records;
  std::ranges::transform(packed, std::back_inserter(records),
                         [](const PackedRecord& record) { return Unpack(record); });
  return records;
}

std::vector<ClaimRecord> AsList(const std::optional<ClaimRecord>& record) {
  return record ? std::vector{*record} : std::vector<ClaimRecord>{};
}

auto Fields(const ClaimMessage& m) { return std::make_tuple(m.view, m.key, m.digest, Pack(m.id)); }
void SetFields(const decltype(Fields(ClaimMessage{}))& fields, ClaimMessage& m) {
  m = {std::get<0>(fields), std::get<1>(fields), std::get<2>(fields), Unpack(std::get<3>(fields))};
}

auto Fields(const ClaimAckMessage& m) {
  return std::make_tuple(m.view, m.key, Pack(m.id), static_cast<std::uint8_t>(m.status),
                         PackAll(AsList(m.existing)));
}
bool IsValid(const decltype(Fields(ClaimAckMessage{}))& fields) {
  const auto& [view, key, id, status, existing] = fields;
  return status <= static_cast<std::uint8_t>(ClaimStatus::kTaken) && existing.size() <= 1;
}
void SetFields(const decltype(Fields(ClaimAckMessage{}))& fields, ClaimAckMessage& m) {
  const auto& [view, key, id, status, existing] = fields;
  m = {view, key, Unpack(id), static_cast<ClaimStatus>(status), std::nullopt};
  if (!existing.empty()) m.existing = Unpack(existing.front());
}

auto Fields(const FinishMessage& m) { return std::make_tuple(Pack(m.record), m.released); }
void SetFields(const decltype(Fields(FinishMessage{}))& fields, FinishMessage& m) {
  m = {Unpack(std::get<0>(fields)), std::get<1>(fields)};
}

auto Fields(const FinishAckMessage& m) { return std::make_tuple(m.key, Pack(m.id)); }
void SetFields(const decltype(Fields(FinishAckMessage{}))& fields, FinishAckMessage& m) {
  m = {std::get<0>(fields), Unpack(std::get<1>(fields))};
}

auto Fields(const FetchClaims& m) { return std::make_tuple(m.view, m.after, m.from_start); }
void SetFields(const decltype(Fields(FetchClaims{}))& fields, FetchClaims& m) {
  m = {std::get<0>(fields), std::get<1>(fields), std::get<2>(fields)};
}

auto Fields(const ViewClaims& m) {
  return std::make_tuple(m.view, m.after, m.from_start, m.last, m.complete_up_to,
                         m.in_doubt.count(), PackAll(m.claims));
}
void SetFields(const decltype(Fields(ViewClaims{}))& fields, ViewClaims& m) {
  const auto& [view, after, from_start, last, complete_up_to, in_doubt, claims] = fields;
  m = {view, after, from_start, last, complete_up_to, base::Duration(in_doubt), UnpackAll(claims)};
}

/// Messages whose fields can't be out of range.
template <typename Packed>
bool IsValid(const Packed& /*fields*/) {
  return true;
}

/// Empty for input of another structure or with a field out of range.
template <std::size_t kKind = 0>
std::optional<Message> ReadKind(std::size_t kind, const msgpack::object& object) {
  if constexpr (kKind < std::variant_size_v<Message>) {
    if (kind != kKind) return ReadKind<kKind + 1>(kind, object);
    std::variant_alternative_t<kKind, Message> message;
    using Packed = decltype(Fields(message));
    // The conversion to a tuple would accept an array of another length and leave fields unset.
    if (object.type != msgpack::type::ARRAY || object.via.array.size != std::tuple_size_v<Packed>) {
      return std::nullopt;
    }
    const auto fields = object.as<Packed>();
    if (!IsValid(fields)) return std::nullopt;
    SetFields(fields, message);
    return message;
  } else {
    return std::nullopt;
  }
}

}  // namespace

std::string Encode(const Message& message) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(3);
  packer.pack(kFormatVersion);
  packer.pack(message.index());
  std::visit([&](const auto& alternative) { packer.pack(Fields(alternative)); }, message);
  return {buffer.data(), buffer.size()};
}

base::Result<Message, CodecError> Decode(std::string_view bytes) {
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle = wire::UnpackLimited(bytes, offset);
    const msgpack::object& object = handle.get();
    if (offset != bytes.size() || object.type != msgpack::type::ARRAY ||
        object.via.array.size != 3) {
      return CodecError{CodecErrorKind::kMalformed, "not one array of 3 elements in " +
                                                        std::to_string(bytes.size()) + " bytes"};
    }
    const msgpack::object* elements = object.via.array.ptr;
    if (const int version = elements[0].as<int>(); version != kFormatVersion) {
      return CodecError{CodecErrorKind::kUnknownVersion,
                        "format version " + std::to_string(version)};
    }
    const auto kind = elements[1].as<std::size_t>();
    if (kind >= std::variant_size_v<Message>) {
      return CodecError{CodecErrorKind::kUnknownMessage, "message kind " + std::to_string(kind)};
    }
    auto message = ReadKind(kind, elements[2]);
    if (message) return std::move(*message);
    return CodecError{CodecErrorKind::kMalformed,
                      "fields of message kind " + std::to_string(kind) + " are out of range"};
  } catch (const std::exception& failure) {
    return CodecError{CodecErrorKind::kMalformed, failure.what()};
  }
}

}  // namespace mangoroad::registry
