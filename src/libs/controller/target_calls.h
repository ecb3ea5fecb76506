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
struct Destination {
  std::string address;  ///< ip:port
  workload::TargetIncarnation life;
};

/// What an order came to.
enum class Verdict : std::uint8_t {
  kDone,
  kFenced,  ///< the target has seen a higher fence
  kOld,     ///< this run, or a later one of the task, has ended or was stopped there
  kLate,    ///< the deadline has passed on the target's clock
  kNoRoom,
  kUnhealthy,  ///< the target has done nothing and says that it isn't well
  kOtherLife,  ///< another life of a target answers at this address
  kInvalid,    ///< refused for a reason that sending it again won't change
  kNotSent,    ///< no byte can have reached the target
  kNoAnswer,   ///< it may be carried out, also later
};
inline constexpr base::NameTable<Verdict, 10> kVerdictNames{{
    {Verdict::kDone, "done"},
    {Verdict::kFenced, "fenced"},
    {Verdict::kOld, "old"},
    {Verdict::kLate, "late"},
    {Verdict::kNoRoom, "no-room"},
    {Verdict::kUnhealthy, "unhealthy"},
    {Verdict::kOtherLife, "other-life"},
    {Verdict::kInvalid, "invalid"},
    {Verdict::kNotSent, "not-sent"},
    {Verdict::kNoAnswer, "no-answer"},
}};

/// Orders carry the leader's fence; a target does nothing for one that is lower than it has seen.
using Fence = std::uint64_t;

struct StartOrder {
  workload::TaskRef task;
  std::uint32_t run = 0;
  std::string payload;
  std::string checkpoint;
  dispatch::TargetMilliseconds deadline = 0;
  Fence fence = 0;
};

struct StopOrder {
  workload::TaskRef task;
  std::uint32_t run = 0;
  Fence fence = 0;
};

struct PaceOrder {
  workload::TaskRef task;
  std::uint32_t run = 0;
  std::int32_t percent = 100;
  Fence fence = 0;
};

/// Extends the lease of all runs, notes ends, and returns both lists, at once or when a run ends.
struct LookOrder {
  Fence fence = 0;
  std::uint64_t noted = 0;
  std::optional<dispatch::TargetMilliseconds> deadline;
  base::Duration wait{};
};

struct OrderAnswer {
  Verdict verdict = Verdict::kNoAnswer;
  std::optional<dispatch::TargetMilliseconds> clock;
};

struct LookAnswer {
  Verdict verdict = Verdict::kNoAnswer;
  dispatch::TargetLists lists;  ///< only with kDone
};

/// Callbacks are called exactly once, never from inside the call.
class TargetCalls {
 public:
  using OnOrder = std::function<void(base::TimePoint now, const OrderAnswer&)>;
  using OnLook = std::function<void(base::TimePoint now, const LookAnswer&)>;

  virtual ~TargetCalls() = default;
  virtual void Start(const Destination& to, const StartOrder& order, OnOrder done) = 0;
  virtual void Stop(const Destination& to, const StopOrder& order, OnOrder done) = 0;
  virtual void Pace(const Destination& to, const PaceOrder& order, OnOrder done) = 0;
  virtual void Look(const Destination& to, const LookOrder& order, OnLook done) = 0;
};

}  // namespace mangoroad::controller
