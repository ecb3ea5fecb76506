#include "state/state_codec.h"

#include <fmt/format.h>

#include "state/archive.h"

namespace mangoroad::state {
namespace internal {

#define MANGOROAD_LAYOUT(type, ...)                                \
  template <>                                                      \
  struct Layout<type> {                                            \
    static constexpr auto kMembers = std::make_tuple(__VA_ARGS__); \
  }
#define MANGOROAD_LAST(type, last)             \
  template <>                                  \
  struct LastOf<type> {                        \
    static constexpr type kValue = type::last; \
  }

MANGOROAD_LAST(SubStateKind, kJobs);
MANGOROAD_LAST(AnswerKind, kMalformed);
MANGOROAD_LAST(ViewAction, kRetire);
MANGOROAD_LAST(TargetAction, kForget);
MANGOROAD_LAST(table::ChangeKind, kChanged);

MANGOROAD_LAYOUT(Envelope, &Envelope::group, &Envelope::kind, &Envelope::payload);
MANGOROAD_LAYOUT(Origin, &Origin::change_id, &Origin::author, &Origin::time_ms, &Origin::reason);
MANGOROAD_LAYOUT(ApplyTable, &ApplyTable::origin, &ApplyTable::base_version, &ApplyTable::csv,
                 &ApplyTable::rows_in_use);
MANGOROAD_LAYOUT(ChangeView, &ChangeView::origin, &ChangeView::action, &ChangeView::domain,
                 &ChangeView::member, &ChangeView::base_view);
MANGOROAD_LAYOUT(ChangeTarget, &ChangeTarget::origin, &ChangeTarget::action, &ChangeTarget::target,
                 &ChangeTarget::incarnation);
MANGOROAD_LAYOUT(table::FieldChange, &table::FieldChange::column, &table::FieldChange::before,
                 &table::FieldChange::after);
MANGOROAD_LAYOUT(table::RowChange, &table::RowChange::kind, &table::RowChange::row,
                 &table::RowChange::fields);
MANGOROAD_LAYOUT(table::Fault, &table::Fault::file, &table::Fault::line, &table::Fault::column,
                 &table::Fault::message);
MANGOROAD_LAYOUT(table::UnsafeChange, &table::UnsafeChange::row, &table::UnsafeChange::column,
                 &table::UnsafeChange::message);
MANGOROAD_LAYOUT(TableAnswer, &TableAnswer::kind, &TableAnswer::message, &TableAnswer::resent,
                 &TableAnswer::base_version, &TableAnswer::version, &TableAnswer::diff,
                 &TableAnswer::diff_complete, &TableAnswer::faults, &TableAnswer::faults_total,
                 &TableAnswer::problems);
MANGOROAD_LAYOUT(ChangeAnswer, &ChangeAnswer::kind, &ChangeAnswer::message, &ChangeAnswer::resent,
                 &ChangeAnswer::index, &ChangeAnswer::view);
MANGOROAD_LAYOUT(RecordedAnswer, &RecordedAnswer::change_id, &RecordedAnswer::fingerprint,
                 &RecordedAnswer::answer);
MANGOROAD_LAYOUT(TableVersion, &TableVersion::version, &TableVersion::origin, &TableVersion::index,
                 &TableVersion::rows, &TableVersion::added, &TableVersion::removed,
                 &TableVersion::changed, &TableVersion::added_rows, &TableVersion::rows_before);
MANGOROAD_LAYOUT(View, &View::number, &View::members, &View::retired, &View::retired_ms);
MANGOROAD_LAYOUT(TargetMark, &TargetMark::drained, &TargetMark::lost_incarnation,
                 &TargetMark::author, &TargetMark::reason, &TargetMark::time_ms,
                 &TargetMark::index);
MANGOROAD_LAYOUT(TableSnapshot, &TableSnapshot::csv, &TableSnapshot::versions,
                 &TableSnapshot::answers);
MANGOROAD_LAYOUT(ViewSnapshot, &ViewSnapshot::views, &ViewSnapshot::answers);
MANGOROAD_LAYOUT(TargetSnapshot, &TargetSnapshot::marks, &TargetSnapshot::answers);
MANGOROAD_LAYOUT(ClusterSnapshot, &ClusterSnapshot::index, &ClusterSnapshot::term,
                 &ClusterSnapshot::audit, &ClusterSnapshot::sub_states);

}  // namespace internal

namespace {

constexpr std::uint64_t kFormatVersion = 1;

StateError Malformed(std::string message) {
  return StateError{StateErrorKind::kMalformed, std::move(message)};
}

/// Unpacks one msgpack object that fills `bytes`, or gives nothing.
std::optional<msgpack::object_handle> Parse(std::string_view bytes) {
  // Containers can't have more elements than there are bytes; without this limit, a few bytes could
  // ask for an array of 2^32 elements.
  const std::size_t limit = bytes.size();
  const msgpack::unpack_limit limits(limit, limit, limit, limit, limit, 16);
  // msgpack reports malformed bytes by exceptions; they end here.
  try {
    std::size_t offset = 0;
    auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limits);
    if (offset != bytes.size()) return std::nullopt;
    return handle;
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  }
}

}  // namespace

template <typename Value>
std::string Encode(const Value& value) {
  msgpack::sbuffer buffer;
  internal::Packer packer(buffer);
  packer.pack_array(2);
  packer.pack(kFormatVersion);
  internal::Pack(packer, value);
  return {buffer.data(), buffer.size()};
}

template <typename Value>
base::Result<Value, StateError> Decode(std::string_view bytes) {
  const auto handle = Parse(bytes);
  if (!handle) return Malformed(fmt::format("{} bytes aren't one msgpack object", bytes.size()));
  const msgpack::object& object = handle->get();
  std::uint64_t version = 0;
  if (object.type != msgpack::type::ARRAY || object.via.array.size != 2 ||
      !internal::Unpack(object.via.array.ptr[0], version)) {
    return Malformed("not an array of a format version and a value");
  }
  if (version != kFormatVersion) {
    return StateError{StateErrorKind::kUnknownFormat,
                      fmt::format("unknown format version {}; this program reads version {}",
                                  version, kFormatVersion)};
  }
  Value value{};
  if (!internal::Unpack(object.via.array.ptr[1], value)) {
    return Malformed("a field is missing, or has the wrong type or range");
  }
  return value;
}

#define MANGOROAD_INSTANTIATE(type)         \
  template std::string Encode(const type&); \
  template base::Result<type, StateError> Decode<type>(std::string_view)

MANGOROAD_INSTANTIATE(Envelope);
MANGOROAD_INSTANTIATE(ApplyTable);
MANGOROAD_INSTANTIATE(ChangeView);
MANGOROAD_INSTANTIATE(ChangeTarget);
MANGOROAD_INSTANTIATE(TableAnswer);
MANGOROAD_INSTANTIATE(ChangeAnswer);
MANGOROAD_INSTANTIATE(TableSnapshot);
MANGOROAD_INSTANTIATE(ViewSnapshot);
MANGOROAD_INSTANTIATE(TargetSnapshot);
MANGOROAD_INSTANTIATE(ClusterSnapshot);

std::string EncodeCommand(SubStateKind kind, std::string payload) {
  return Encode(Envelope{0, kind, std::move(payload)});
}

std::string EncodeCommand(const ApplyTable& change) {
  return EncodeCommand(SubStateKind::kTable, Encode(change));
}

std::string EncodeCommand(const ChangeView& change) {
  return EncodeCommand(SubStateKind::kViews, Encode(change));
}

std::string EncodeCommand(const ChangeTarget& change) {
  return EncodeCommand(SubStateKind::kTargets, Encode(change));
}

}  // namespace mangoroad::state
