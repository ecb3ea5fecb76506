#include "consensus/consensus_codec.h"

#include <array>
#include <utility>

#include "storage/msgpack_fields.h"

namespace mangoroad::consensus {

using storage::internal::Packer;
using storage::internal::PackFields;
using storage::internal::UnpackFields;
using wire::UnpackBounded;

namespace {

// The order of the fields is the format. A function for each message serves both directions.

template <typename Body, typename Wanted>
concept Same = std::is_same_v<std::remove_const_t<Body>, Wanted>;

auto FieldsOf(Same<VoteRequest> auto& m) {
  return std::tie(m.pre_vote, m.transfer, m.last_index, m.last_term);
}
auto FieldsOf(Same<VoteResponse> auto& m) { return std::tie(m.pre_vote, m.granted); }
auto FieldsOf(Same<AppendRequest> auto& m) {
  return std::tie(m.previous_index, m.previous_term, m.commit_index, m.sent_at, m.entries);
}
auto FieldsOf(Same<AppendResponse> auto& m) {
  return std::tie(m.accepted, m.index, m.hint_index, m.hint_term, m.sent_at, m.incarnation,
                  m.durable);
}
auto FieldsOf(Same<SnapshotChunk> auto& m) {
  return std::tie(m.index, m.index_term, m.configuration, m.offset, m.total, m.data, m.sent_at);
}
auto FieldsOf(Same<SnapshotResponse> auto& m) {
  return std::tie(m.index, m.next_offset, m.sent_at, m.incarnation);
}
auto FieldsOf(Same<TimeoutNow> auto& /*m*/) { return std::tuple<>(); }
auto FieldsOf(Same<ProposeRequest> auto& m) { return std::tie(m.incarnation, m.number, m.data); }
auto FieldsOf(Same<ProposeResponse> auto& m) { return std::tie(m.incarnation, m.number, m.index); }
auto FieldsOf(Same<ReadIndexRequest> auto& m) { return std::tie(m.incarnation, m.number); }
auto FieldsOf(Same<ReadIndexResponse> auto& m) {
  return std::tie(m.incarnation, m.number, m.index);
}
auto FieldsOf(Same<Configuration> auto& c) { return std::tie(c.voters, c.learners); }

template <std::size_t kIndex>
bool ReadBody(const msgpack::object& object, MessageBody& body) {
  return UnpackFields(object, FieldsOf(body.emplace<kIndex>()));
}

using BodyReader = bool (*)(const msgpack::object&, MessageBody&);

/// Readers in the order of the alternatives of MessageBody; the position is the type number.
template <std::size_t... kIndexes>
constexpr auto MakeReaders(std::index_sequence<kIndexes...> /*indexes*/) {
  return std::array<BodyReader, sizeof...(kIndexes)>{ReadBody<kIndexes>...};
}
constexpr auto kReaders = MakeReaders(std::make_index_sequence<std::variant_size_v<MessageBody>>());

constexpr std::uint32_t kEnvelopeFields = 6;

bool ReadEnvelope(const msgpack::object& object, Message& message) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size != kEnvelopeFields) {
    return false;
  }
  const msgpack::object* fields = object.via.array.ptr;
  if (fields[0].as<std::uint32_t>() != kMessageFormatVersion) return false;
  message.term = fields[1].as<Term>();
  message.from = fields[2].as<ReplicaId>();
  message.to = fields[3].as<ReplicaId>();
  const auto type = fields[4].as<std::uint32_t>();
  return type < kReaders.size() && kReaders[type](fields[5], message.body);
}

}  // namespace

std::string EncodeMessage(const Message& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kEnvelopeFields);
  packer.pack(kMessageFormatVersion);
  packer.pack(message.term);
  packer.pack(message.from);
  packer.pack(message.to);
  packer.pack(static_cast<std::uint32_t>(message.body.index()));
  std::visit([&](const auto& body) { PackFields(packer, FieldsOf(body)); }, message.body);
  return {buffer.data(), buffer.size()};
}

std::optional<Message> DecodeMessage(std::string_view bytes) {
  Message message;
  const bool whole = UnpackBounded(
      bytes, [&](const msgpack::object& object) { return ReadEnvelope(object, message); });
  if (!whole) return std::nullopt;
  return message;
}

std::string EncodeConfiguration(const Configuration& configuration) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  PackFields(packer, FieldsOf(configuration));
  return {buffer.data(), buffer.size()};
}

std::optional<Configuration> DecodeConfiguration(std::string_view bytes) {
  Configuration configuration;
  const bool whole = UnpackBounded(bytes, [&](const msgpack::object& object) {
    return UnpackFields(object, FieldsOf(configuration));
  });
  if (!whole) return std::nullopt;
  return configuration;
}

}  // namespace mangoroad::consensus
