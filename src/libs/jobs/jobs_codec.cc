#include "jobs/jobs_codec.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <chrono>
#include <concepts>
#include <limits>
#include <msgpack.hpp>
#include <optional>
#include <tuple>
#include <type_traits>

#include "wire/bounded_unpack.h"

namespace mangoroad::jobs {
namespace {

constexpr std::uint32_t kVersion = 1;

// Fields(value) lists the fields of a struct in the order of their encoding. Append only; increment
// kVersion if an order changes.
auto Fields(auto& r)
  requires std::same_as<std::remove_const_t<std::remove_reference_t<decltype(r)>>, Resources>
{
  return std::tie(r.millicores, r.memory_mib, r.accelerators);
}

template <typename T, typename U>
concept Is = std::same_as<std::remove_const_t<T>, U>;

template <Is<JobSpec> T>
auto Fields(T& s) {
  return std::tie(s.row, s.team, s.key, s.declared, s.run_time_s, s.command, s.checkpointable,
                  s.urgent, s.retries, s.hold_s);
}
template <Is<Job> T>
auto Fields(T& j) {
  return std::tie(j.id, j.spec, j.state, j.attempt, j.token, j.finished_token, j.target,
                  j.incarnation, j.reserved, j.checkpoint, j.evictions, j.failures, j.exit_code,
                  j.cancel_requested, j.reason, j.submitted_ms, j.changed_ms);
}
template <Is<IdempotencyRecord> T>
auto Fields(T& k) {
  return std::tie(k.job, k.digest, k.final_state);
}
template <Is<SubmitJob> T>
auto Fields(T& c) {
  return std::tie(c.spec);
}
template <typename T>
  requires Is<T, CancelJob> || Is<T, JobReconsidered>
auto Fields(T& c) {
  return std::tie(c.job);
}
template <Is<CancelKey> T>
auto Fields(T& c) {
  return std::tie(c.team, c.key);
}
template <Is<JobStarted> T>
auto Fields(T& c) {
  return std::tie(c.job, c.attempt, c.target, c.incarnation, c.reserved);
}
template <typename T>
  requires Is<T, JobRunning> || Is<T, CheckpointRequested> || Is<T, StopRequested> ||
           Is<T, TaskAcknowledgement>
auto Fields(T& c) {
  return std::tie(c.job, c.token);
}
template <Is<Checkpointed> T>
auto Fields(T& c) {
  return std::tie(c.job, c.token, c.number);
}
template <typename T>
  requires Is<T, LeaseEnded> || Is<T, StartRefused>
auto Fields(T& c) {
  return std::tie(c.job, c.token, c.reason);
}
template <Is<JobEvicted> T>
auto Fields(T& c) {
  return std::tie(c.job, c.token, c.checkpoint);
}
template <Is<JobFinished> T>
auto Fields(T& c) {
  return std::tie(c.job, c.token, c.exit_code);
}
template <Is<JobUnplaceable> T>
auto Fields(T& c) {
  return std::tie(c.job, c.reason);
}
template <Is<Command> T>
auto Fields(T& c) {
  return std::tie(c.wall_ms, c.changes);
}
template <Is<ChangeResult> T>
auto Fields(T& a) {
  return std::tie(a.status, a.job, a.state, a.token, a.attempt, a.checkpoint, a.message);
}
template <Is<StartTaskRequest> T>
auto Fields(T& s) {
  return std::tie(s.job, s.token, s.incarnation, s.report_sequence, s.lease, s.row, s.command,
                  s.reserved, s.checkpoint);
}
template <Is<TaskReport> T>
auto Fields(T& t) {
  return std::tie(t.job, t.token, t.state, t.checkpoint, t.millicores_used, t.memory_mib_used,
                  t.progress, t.slowdown, t.exit_code);
}
template <Is<TargetReport> T>
auto Fields(T& r) {
  return std::tie(r.target, r.incarnation, r.sequence, r.tasks);
}
template <Is<Renewal> T>
auto Fields(T& r) {
  return std::tie(r.job, r.token, r.lease);
}
template <Is<TaskRequest> T>
auto Fields(T& o) {
  return std::tie(o.job, o.token, o.action);
}
template <Is<ReportResponse> T>
auto Fields(T& r) {
  return std::tie(r.incarnation, r.sequence, r.renewals, r.requests, r.acknowledged);
}
template <Is<internal::JobStoreSnapshot> T>
auto Fields(T& i) {
  return std::tie(i.next_id, i.jobs, i.terminal, i.keys, i.dropped_keys);
}

// Last enumerator of each encoded enum; larger values are rejected.
template <typename E>
constexpr E kLastEnumerator{};
template <>
constexpr JobState kLastEnumerator<JobState> = JobState::kUnplaceable;
template <>
constexpr LeaseEndReason kLastEnumerator<LeaseEndReason> = LeaseEndReason::kTargetLost;
template <>
constexpr ChangeStatus kLastEnumerator<ChangeStatus> = ChangeStatus::kMalformed;
template <>
constexpr TaskState kLastEnumerator<TaskState> = TaskState::kRefused;
template <>
constexpr TaskAction kLastEnumerator<TaskAction> = TaskAction::kStop;

using Packer = msgpack::packer<msgpack::sbuffer>;

/// Set to the first structural error. msgpack throws on a value of another type; Decode() turns
/// both into a JobDecodeError.
using ReadError = std::optional<std::string>;

template <typename T>
constexpr bool kIsVector = false;
template <typename T>
constexpr bool kIsVector<std::vector<T>> = true;
template <typename T>
constexpr bool kIsVariant = false;
template <typename... T>
constexpr bool kIsVariant<std::variant<T...>> = true;
template <typename T>
constexpr bool kIsPair = false;
template <typename A, typename B>
constexpr bool kIsPair<std::pair<A, B>> = true;

template <typename T>
void Write(Packer& packer, const T& value) {
  if constexpr (std::is_enum_v<T>) {
    packer.pack(static_cast<std::uint32_t>(value));
  } else if constexpr (std::is_arithmetic_v<T> || std::same_as<T, std::string>) {
    packer.pack(value);
  } else if constexpr (std::same_as<T, base::Duration>) {
    packer.pack(value.count());
  } else if constexpr (kIsVector<T>) {
    packer.pack_array(static_cast<std::uint32_t>(value.size()));
    for (const auto& element : value) Write(packer, element);
  } else if constexpr (kIsPair<T>) {
    packer.pack_array(2);
    Write(packer, value.first);
    Write(packer, value.second);
  } else if constexpr (kIsVariant<T>) {
    packer.pack_array(2);
    packer.pack(static_cast<std::uint32_t>(value.index()));
    std::visit([&](const auto& alternative) { Write(packer, alternative); }, value);
  } else {
    const auto fields = Fields(value);
    packer.pack_array(std::tuple_size_v<decltype(fields)>);
    std::apply([&](const auto&... field) { (Write(packer, field), ...); }, fields);
  }
}

/// Checks that the object is an array of `size` elements.
ReadError CheckArray(const msgpack::object& object, std::uint32_t size) {
  if (object.type != msgpack::type::ARRAY) return "expected an array";
  if (object.via.array.size == size) return std::nullopt;
  return fmt::format("array of {} instead of {}", object.via.array.size, size);
}

template <typename T>
ReadError Read(const msgpack::object& object, T& value);

template <typename Variant, std::size_t... kIndices>
ReadError ReadVariant(const msgpack::object& object, Variant& value,
                      std::index_sequence<kIndices...> /*indices*/) {
  if (ReadError error = CheckArray(object, 2)) return error;
  const msgpack::object* elements = object.via.array.ptr;
  const auto index = elements[0].as<std::uint32_t>();
  ReadError error = fmt::format("unknown kind {}", index);
  static_cast<void>(((index == kIndices &&
                      (error = Read(elements[1], value.template emplace<kIndices>()), true)) ||
                     ...));
  return error;
}

template <typename T>
ReadError Read(const msgpack::object& object, T& value) {
  if constexpr (std::is_enum_v<T>) {
    const auto number = object.as<std::uint32_t>();
    if (number > static_cast<std::uint32_t>(kLastEnumerator<T>)) {
      return fmt::format("unknown enumerator {}", number);
    }
    value = static_cast<T>(number);
  } else if constexpr (std::is_arithmetic_v<T> || std::same_as<T, std::string>) {
    object.convert(value);
  } else if constexpr (std::same_as<T, base::Duration>) {
    value = base::Duration(object.as<base::Duration::rep>());
  } else if constexpr (kIsVector<T>) {
    if (object.type != msgpack::type::ARRAY) return "expected an array";
    value.resize(object.via.array.size);
    for (std::size_t i = 0; i < value.size(); ++i) {
      if (ReadError error = Read(object.via.array.ptr[i], value[i])) return error;
    }
  } else if constexpr (kIsPair<T>) {
    if (ReadError error = CheckArray(object, 2)) return error;
    if (ReadError error = Read(object.via.array.ptr[0], value.first)) return error;
    return Read(object.via.array.ptr[1], value.second);
  } else if constexpr (kIsVariant<T>) {
    return ReadVariant(object, value, std::make_index_sequence<std::variant_size_v<T>>());
  } else {
    auto fields = Fields(value);
    if (ReadError error = CheckArray(object, std::tuple_size_v<decltype(fields)>)) return error;
    const msgpack::object* element = object.via.array.ptr;
    ReadError error;
    std::apply([&](auto&... field) { ((error = Read(*element++, field)) || ...); }, fields);
    return error;
  }
  return std::nullopt;
}

template <typename T>
std::string Encode(const T& value) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(2);
  packer.pack(kVersion);
  Write(packer, value);
  return {buffer.data(), buffer.size()};
}

template <typename T>
base::Result<T, JobDecodeError> Decode(std::string_view bytes, std::string_view what) {
  const auto malformed = [&](std::string_view error) {
    return JobDecodeError{JobDecodeErrorKind::kMalformed,
                          fmt::format("{} of {} bytes: {}", what, bytes.size(), error)};
  };
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle = wire::UnpackLimited(bytes, offset);
    if (offset != bytes.size()) {
      return malformed(fmt::format("{} bytes after the end", bytes.size() - offset));
    }
    if (const ReadError error = CheckArray(handle.get(), 2)) return malformed(*error);
    const msgpack::object* elements = handle.get().via.array.ptr;
    const auto version = elements[0].as<std::uint32_t>();
    if (version != kVersion) {
      return JobDecodeError{
          JobDecodeErrorKind::kUnknownVersion,
          fmt::format("{}: format version {} instead of {}", what, version, kVersion)};
    }
    T value;
    if (const ReadError error = Read(elements[1], value)) return malformed(*error);
    return value;
  } catch (const std::exception& error) {
    return malformed(error.what());
  }
}

}  // namespace

std::string EncodeCommand(const Command& command) { return Encode(command); }
base::Result<Command, JobDecodeError> DecodeCommand(std::string_view bytes) {
  return Decode<Command>(bytes, "job command");
}
std::string EncodeResults(const std::vector<ChangeResult>& results) { return Encode(results); }
base::Result<std::vector<ChangeResult>, JobDecodeError> DecodeResults(std::string_view bytes) {
  return Decode<std::vector<ChangeResult>>(bytes, "job command results");
}
std::string EncodeStartTaskRequest(const StartTaskRequest& start) { return Encode(start); }
base::Result<StartTaskRequest, JobDecodeError> DecodeStartTaskRequest(std::string_view bytes) {
  return Decode<StartTaskRequest>(bytes, "task start");
}
std::string EncodeTargetReport(const TargetReport& report) { return Encode(report); }
base::Result<TargetReport, JobDecodeError> DecodeTargetReport(std::string_view bytes) {
  return Decode<TargetReport>(bytes, "target report");
}
std::string EncodeReportResponse(const ReportResponse& response) { return Encode(response); }
base::Result<ReportResponse, JobDecodeError> DecodeReportResponse(std::string_view bytes) {
  return Decode<ReportResponse>(bytes, "report reply");
}

namespace internal {

std::string EncodeSnapshot(const JobStoreSnapshot& snapshot) { return Encode(snapshot); }
base::Result<JobStoreSnapshot, JobDecodeError> DecodeSnapshot(std::string_view bytes) {
  return Decode<JobStoreSnapshot>(bytes, "job snapshot");
}

std::uint64_t ContentDigest(const JobSpec& spec) {
  JobSpec content = spec;
  content.retries = 0;
  content.hold_s = 0;
  const std::string bytes = Encode(content);
  const std::uint64_t digest = XXH3_64bits(bytes.data(), bytes.size());
  return digest == 0 ? 1 : digest;
}

}  // namespace internal
}  // namespace mangoroad::jobs
