// Requests, rows, targets and decisions of the router.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "base/time.h"
#include "lending/holder.h"

namespace mangoroad::routing {

using lending::TargetIndex;
using RequestId = std::uint64_t;
using RowIndex = std::uint32_t;

/// What is known of a request's execution.
enum class Outcome { kRan, kNotRun, kUnknown };
inline constexpr base::NameTable<Outcome, 3> kOutcomeNames{
    {{Outcome::kRan, "ran"}, {Outcome::kNotRun, "not-run"}, {Outcome::kUnknown, "unknown"}}};

/// Kinds of refusal, as in the interface for callers.
enum class RefusalKind {
  kUnknownRow,
  kOverLimit,
  kOverloaded,
  kNoTarget,
  kDraining,
  kDeadline,
  kTargetFailed
};
inline constexpr base::NameTable<RefusalKind, 7> kRefusalNames{
    {{RefusalKind::kUnknownRow, "unknown-row"},
     {RefusalKind::kOverLimit, "over-limit"},
     {RefusalKind::kOverloaded, "overloaded"},
     {RefusalKind::kNoTarget, "no-target"},
     {RefusalKind::kDraining, "draining"},
     {RefusalKind::kDeadline, "deadline"},
     {RefusalKind::kTargetFailed, "target-failed"}}};

/// A row of the table, as far as routing needs it.
struct RowSpec {
  std::string name;
  int weight = 1;
  int limit_inflight = 0;  ///< 0 for none.
  double limit_rate = 0;   ///< Requests a second; 0 for none.
  int retries = 0;
  bool idempotent = false;
  std::vector<std::string> place;  ///< Failure domains, preferred first; empty for any.
};

/// A failure domain that requests can spill over to.
struct DomainState {
  std::string name;
  base::Duration link_delay{};  ///< One way.
  base::Duration wait{};        ///< Estimated wait there, from its summary.
  bool usable = false;
};

struct Request {
  RequestId id = 0;
  RowIndex row = 0;
  base::TimePoint deadline;
  bool relayed = false;  ///< Came from another failure domain; it isn't sent on to a third one.
};

/// Sends one attempt to a target.
struct SendAction {
  RequestId id = 0;
  int attempt = 0;
  TargetIndex target = 0;
  lending::Fence fence;
  bool hedge = false;
};
/// Stops waiting for an attempt whose request has been answered.
struct CancelAction {
  RequestId id = 0;
  int attempt = 0;
  TargetIndex target = 0;
};
struct RelayAction {
  RequestId id = 0;
  std::string domain;
};
struct RefuseAction {
  RequestId id = 0;
  RefusalKind kind = RefusalKind::kOverloaded;
  Outcome outcome = Outcome::kNotRun;
  base::Duration retry_after{};  ///< For kOverLimit.
};
/// The answer of this attempt goes to the caller.
struct CompleteAction {
  RequestId id = 0;
  int attempt = 0;
};

struct Actions {
  std::vector<SendAction> send;
  std::vector<CancelAction> cancel;
  std::vector<RelayAction> relay;
  std::vector<RefuseAction> refuse;
  std::vector<CompleteAction> complete;
};

/// How an attempt ended.
enum class AttemptResult {
  kRan,           ///< A complete answer.
  kRanWithError,  ///< A complete answer with a status of 500 or more.
  kRefused,       ///< The target says that it didn't run the request.
  kNotSent,       ///< No byte can have reached the target.
  kBroken,        ///< The connection broke or went silent after something was sent.
};

struct AttemptEnd {
  RequestId id = 0;
  int attempt = 0;
  AttemptResult result = AttemptResult::kRan;
};

/// Where the router takes slots from.
class SlotSource {
 public:
  virtual ~SlotSource() = default;
  /// Takes a slot, if one is free now; returns the fence to send.
  virtual std::optional<lending::Fence> Start(base::TimePoint now, TargetIndex target) = 0;
  virtual void End(TargetIndex target) = 0;
  /// The request may still run at the target; its slot is in use until `until`.
  virtual void Abandon(TargetIndex target, base::TimePoint until) = 0;
  virtual int Free(base::TimePoint now, TargetIndex target) const = 0;
};

}  // namespace mangoroad::routing
