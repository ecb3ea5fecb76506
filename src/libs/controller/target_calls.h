// Orders to targets that wait to be called, as the leader gives them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/name_table.h"
#include "base/time.h"
#include "dispatch/target_book.h"

namespace mangoroad::controller {

/// Where a life of a target is reached.
struct TargetEndpoint {
  std::string address;  ///< ip:port
  workload::TargetLife target;
};

/// What an order came to.
enum class CallStatus : std::uint8_t {
  kDone,
  kFenced,            ///< the target has seen a higher fence
  kStaleRun,          ///< this run, or a later one of the task, has ended or was stopped there
  kDeadlineExceeded,  ///< the deadline has passed on the target's clock
  kNoCapacity,
  kUnhealthy,         ///< the target has done nothing and says that it isn't well
  kOtherIncarnation,  ///< another life of a target answers at this address
  kInvalid,           ///< refused for a reason that sending it again won't change
  kNotSent,           ///< no byte can have reached the target
  kNoResponse,        ///< it may be carried out, also later
};
inline constexpr base::NameTable<CallStatus, 10> kCallStatusNames{{
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
}};

/// Orders carry the leader's fence; a target does nothing for one that is lower than it has seen.
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

/// Extends the lease of all runs, notes ends, and returns both lists, at once or when a run ends.
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

/// Callbacks are called exactly once, never from inside the call.
class TargetCalls {
 public:
  using OnResponse = std::function<void(base::TimePoint now, const CallResponse&)>;
  using OnPollResponse = std::function<void(base::TimePoint now, const PollResponse&)>;

  virtual ~TargetCalls() = default;
  virtual void Start(const TargetEndpoint& to, const StartRequest& request, OnResponse done) = 0;
  virtual void Stop(const TargetEndpoint& to, const StopRequest& request, OnResponse done) = 0;
  virtual void Throttle(const TargetEndpoint& to, const ThrottleRequest& request,
                        OnResponse done) = 0;
  virtual void Poll(const TargetEndpoint& to, const PollRequest& request, OnPollResponse done) = 0;
};

}  // namespace mangoroad::controller
