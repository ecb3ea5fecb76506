// Requests of callers about jobs, as edge VMs forward them to the leader, and the replies.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/name_table.h"
#include "workload/job.h"

namespace mangoroad::controller {

enum class CallerVerb : std::uint8_t {
  kSubmit,
  kRead,  ///< a job's state, or the length of a queue
  kCancel,
  kProbe,  ///< only asks whether the receiver is the leader
};
inline constexpr base::NameTable<CallerVerb, 4> kCallerVerbNames{{
    {CallerVerb::kSubmit, "submit"},
    {CallerVerb::kRead, "read"},
    {CallerVerb::kCancel, "cancel"},
    {CallerVerb::kProbe, "probe"},
}};

struct CallerRequest {
  CallerVerb verb = CallerVerb::kProbe;
  std::string host;
  /// Prefix of the queue, followed by the job's id.
  std::string path;
  /// Only with kSubmit; empty when the body was malformed.
  std::optional<workload::JobSpec> spec;
};

enum class CallerOutcome : std::uint8_t {
  kAccepted,
  kState,
  kPending,
  kCancelled,
  kNoJob,
  kNoQueue,
  kMalformed,
  kBusy,         ///< refused and not in the log: the job never runs
  kUnavailable,  ///< refused: no leader has received the request
  kUnknown,      ///< in doubt: the request may or may not be in the log
};
inline constexpr base::NameTable<CallerOutcome, 10> kCallerOutcomeNames{{
    {CallerOutcome::kAccepted, "accepted"},
    {CallerOutcome::kState, "state"},
    {CallerOutcome::kPending, "pending"},
    {CallerOutcome::kCancelled, "cancelled"},
    {CallerOutcome::kNoJob, "no-job"},
    {CallerOutcome::kNoQueue, "no-queue"},
    {CallerOutcome::kMalformed, "malformed"},
    {CallerOutcome::kBusy, "busy"},
    {CallerOutcome::kUnavailable, "unavailable"},
    {CallerOutcome::kUnknown, "unknown"},
}};

struct CallerReply {
  CallerOutcome outcome = CallerOutcome::kUnavailable;
  workload::JobState state = workload::JobState::kQueued;
  std::uint64_t pending = 0;
  /// Delay after which the caller should retry, with kBusy and kUnavailable; 0: unspecified.
  std::int64_t retry_after_ms = 0;
  std::string reason;
};

/// Reply of a core VM to an edge VM.
struct RelayReply {
  /// False when the receiver isn't the leader; the request then had no effect.
  bool answered = false;
  CallerReply reply;
  /// Address (ip) of the leader that the receiver knows; may be empty.
  std::string leader;
  /// Addresses of all replicas that the receiver knows.
  std::vector<std::string> members;
};

std::string EncodeCallerRequest(const CallerRequest& request);
std::optional<CallerRequest> DecodeCallerRequest(std::string_view bytes);
std::string EncodeRelayReply(const RelayReply& reply);
std::optional<RelayReply> DecodeRelayReply(std::string_view bytes);

}  // namespace mangoroad::controller
