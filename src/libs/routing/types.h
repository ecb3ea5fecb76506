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

/// Whether a request has run, as far as is known.
enum class Outcome { kRan, kNotRun, kUnknown };
inline constexpr base::NameTable<Outcome, 3> kOutcomeNames{
    {{Outcome::kRan, "ran"}, {Outcome::kNotRun, "not-run"}, {Outcome::kUnknown, "unknown"}}};

/// Reasons for a refusal, as named in the API.
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

/// The part of a table row that routing uses.
struct RowSpec {
  std::string name;
  int weight = 1;
  int limit_inflight = 0;  ///< 0 for none.
  double limit_rate = 0;   ///< Requests per second; 0 for none.
  int retries = 0;
  bool idempotent = false;
  std::vector<std::string> place;  ///< Failure domains, preferred first; empty for any.
};

/// A failure domain that requests can spill over to.
struct DomainState {
  std::string name;
  base::Duration link_delay{};  ///< One-way delay.
  base::Duration wait{};        ///< Estimated queueing delay in that domain, from its summary.
  bool usable = false;
};

struct Request {
  RequestId id = 0;
  RowIndex row = 0;
  base::TimePoint deadline;
  bool relayed = false;  ///< Came from another failure domain; never relayed to a third one.
};

/// Sends one attempt to a target.
struct SendAction {
  RequestId id = 0;
  int attempt = 0;
  TargetIndex target = 0;
  lending::Fence fence;
  bool hedge = false;
};
/// Stops waiting for an attempt whose request has ended.
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
/// Sends the response of this attempt to the caller.
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
  kRan,           ///< A complete response.
  kRanWithError,  ///< A complete response with a status of 500 or more.
  kRefused,       ///< The target reports that it did not run the request.
  kNotSent,       ///< No byte can have reached the target.
  kBroken,        ///< The connection broke or timed out after something was sent.
};

struct AttemptEnd {
  RequestId id = 0;
  int attempt = 0;
  AttemptResult result = AttemptResult::kRan;
};

/// Provides the slots that the router uses.
class SlotSource {
 public:
  virtual ~SlotSource() = default;
  /// Acquires a slot if one is free; returns the fence to send with the request.
  virtual std::optional<lending::Fence> Acquire(base::TimePoint now, TargetIndex target) = 0;
  virtual void Release(TargetIndex target) = 0;
  /// Stops waiting for a request that may still run at the target; its slot stays in use until
  /// `until`.
  virtual void Abandon(TargetIndex target, base::TimePoint until) = 0;
  virtual int FreeSlots(base::TimePoint now, TargetIndex target) const = 0;
};

}  // namespace mangoroad::routing
