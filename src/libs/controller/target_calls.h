// Requests that the leader sends to targets, and their responses.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/name_table.h"
#include "base/time.h"
#include "dispatch/target_tracker.h"

namespace mangoroad::controller {

/// Address of one incarnation of a target.
struct TargetEndpoint {
  std::string address;  ///< ip:port
  workload::TargetIncarnation target;
  std::string failure_domain;
};

/// Outcome of a request to a target.
enum class CallStatus : std::uint8_t {
  kDone,
  kFenced,            ///< the target has seen a higher fence
  kStaleRun,          ///< this run, or a later one of the task, has already ended or been stopped
  kDeadlineExceeded,  ///< the deadline has passed by the target's clock
  kNoCapacity,
  kUnhealthy,         ///< the target did nothing and reported itself unhealthy
  kOtherIncarnation,  ///< another incarnation of a target responds at this address
  kInvalid,           ///< rejected permanently; a retry gets the same response
  kNotSent,           ///< no byte can have reached the target
  kNoResponse,        ///< in doubt: the target may execute the request, possibly later
  kNotCarried,        ///< certainly not sent by the delegate; says nothing about the target
  kDelegateLost,      ///< in doubt like kNoResponse; says nothing about the target
};
inline constexpr base::NameTable<CallStatus, 12> kCallStatusNames{{
    {CallStatus::kDone, "done"},
    {CallStatus::kFenced, "fenced"},
    {CallStatus::kStaleRun, "old"},
    {CallStatus::kDeadlineExceeded, "late"},
    {CallStatus::kNoCapacity, "no-room"},
    {CallStatus::kUnhealthy, "unhealthy"},
    {CallStatus::kOtherIncarnation, "other-life"},
    {CallStatus::kInvalid, "invalid"},
    {CallStatus::kNotSent, "not-sent"},
    {CallStatus::kNoResponse, "no-answer"},
    {CallStatus::kNotCarried, "not-carried"},
    {CallStatus::kDelegateLost, "delegate-lost"},
}};

/// Every request carries the leader's fence; a target rejects requests with a fence lower than the
/// highest it has seen.
using Fence = std::uint64_t;

struct StartRequest {
  workload::TaskRef task;
  std::uint32_t run = 0;
  std::string payload;
  std::string checkpoint;
  dispatch::TargetMilliseconds deadline = 0;
  Fence fence = 0;
};

struct StopRequest {
  workload::TaskRef task;
  std::uint32_t run = 0;
  Fence fence = 0;
};

struct ThrottleRequest {
  workload::TaskRef task;
  std::uint32_t run = 0;
  std::int32_t rate_percent = 100;
  Fence fence = 0;
};

/// Long poll: extends the lease of all runs, acknowledges ends, and returns the lists of running
/// and ended runs, at once or as soon as a run ends.
struct PollRequest {
  Fence fence = 0;
  std::uint64_t acknowledged = 0;
  std::optional<dispatch::TargetMilliseconds> deadline;
  base::Duration wait{};
};

struct CallResponse {
  CallStatus status = CallStatus::kNoResponse;
  std::optional<dispatch::TargetMilliseconds> clock;
};

struct PollResponse {
  CallStatus status = CallStatus::kNoResponse;
  dispatch::TargetLists lists;  ///< only with kDone
};

/// Sends requests to targets. Each callback is invoked exactly once, never from within the call.
class TargetCalls {
 public:
  using OnResponse = std::function<void(base::TimePoint now, const CallResponse&)>;
  using OnPollResponse = std::function<void(base::TimePoint now, const PollResponse&)>;

  virtual ~TargetCalls() = default;
  /// False while requests should wait, since a cheaper way to the targets is about to be known.
  [[nodiscard]] virtual bool IsReady(base::TimePoint /*now*/) const { return true; }
  virtual void Start(const TargetEndpoint& to, const StartRequest& request, OnResponse done) = 0;
  virtual void Stop(const TargetEndpoint& to, const StopRequest& request, OnResponse done) = 0;
  virtual void Throttle(const TargetEndpoint& to, const ThrottleRequest& request,
                        OnResponse done) = 0;
  virtual void Poll(const TargetEndpoint& to, const PollRequest& request, OnPollResponse done) = 0;
};

}  // namespace mangoroad::controller
