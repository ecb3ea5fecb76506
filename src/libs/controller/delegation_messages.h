// Messages between the leader and the core VMs that send its requests to targets.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "controller/run_manager.h"
#include "controller/target_calls.h"

namespace mangoroad::controller {

using DelegatedRequest = std::variant<StartRequest, StopRequest, ThrottleRequest, PollRequest>;

/// A request to a target that the leader passes to a delegate for sending.
struct DelegatedCall {
  std::uint64_t number = 0;
  TargetEndpoint to;
  DelegatedRequest request;
};

struct DelegateAddress {
  std::string failure_domain;
  std::string address;  ///< of its replica
  bool operator==(const DelegateAddress&) const = default;
};

/// Answer to a RelayedReport.
struct ReportVerdict {
  std::uint64_t number = 0;
  bool accepted = false;
};

/// From the leader to a delegate. One without calls and verdicts is a heartbeat, sent every
/// kDelegationHeartbeat and handled when it arrives, before batches that wait.
struct CallBatch {
  Fence fence = 0;
  /// Process of the delegate for which the batch is meant.
  std::uint64_t delegate_incarnation = 0;
  /// The latest `clock_us` that the leader has received from the delegate. So the delegate knows,
  /// by its own clock alone, a moment after which the batch was sent.
  std::int64_t delegate_clock_us = 0;
  /// The leader's clock, in microseconds; only the leader itself can interpret it.
  std::int64_t leader_clock_us = 0;
  /// All delegates. They may confirm unchanged announcements of targets; empty: none may.
  std::vector<DelegateAddress> delegates;
  std::vector<DelegatedCall> calls;
  std::vector<ReportVerdict> verdicts;

  [[nodiscard]] bool IsHeartbeat() const { return this->calls.empty() && this->verdicts.empty(); }
};

struct DelegatedResult {
  std::uint64_t number = 0;
  CallStatus status = CallStatus::kNoResponse;
  std::optional<dispatch::TargetMilliseconds> clock;
  std::optional<dispatch::TargetLists> lists;  ///< of a poll
};

/// An announcement that changes nothing but the time of the last contact.
struct TargetContact {
  workload::TargetIncarnation target;
  dispatch::TargetMilliseconds clock = 0;
};

/// An announcement that changes the replicated state.
struct RelayedReport {
  std::uint64_t number = 0;
  Announcement announcement;
};

/// From a delegate to the leader. One without contents is a heartbeat, see CallBatch.
struct ResultBatch {
  /// Fence of the calls to which the results belong.
  Fence fence = 0;
  std::string failure_domain;
  std::uint64_t incarnation = 0;
  /// The delegate's clock, in microseconds; only the delegate itself can interpret it.
  std::int64_t clock_us = 0;
  /// The latest `leader_clock_us` received, so that the leader knows that the delegate hears it.
  std::int64_t leader_clock_us = 0;
  std::vector<DelegatedResult> results;
  std::vector<TargetContact> contacts;
  std::vector<RelayedReport> reports;

  [[nodiscard]] bool IsHeartbeat() const {
    return this->results.empty() && this->contacts.empty() && this->reports.empty();
  }
};

inline constexpr base::Duration kDelegationHeartbeat = std::chrono::milliseconds(200);

std::string EncodeCallBatch(const CallBatch& batch);
std::optional<CallBatch> DecodeCallBatch(std::string_view bytes);
std::string EncodeResultBatch(const ResultBatch& batch);
std::optional<ResultBatch> DecodeResultBatch(std::string_view bytes);

}  // namespace mangoroad::controller
