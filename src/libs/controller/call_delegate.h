// A delegate's side of delegated calls: sends the leader's requests to targets and returns the
// responses, and confirms unchanged announcements of targets on behalf of the leader.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "controller/call_delegator.h"
#include "controller/delegation_messages.h"
#include "controller/run_statistics.h"
#include "workload/workload_state.h"

namespace mangoroad::controller {

/// Whom this replica knows as the leader: the address of its replica, empty when there is none or
/// when it is this replica itself.
struct KnownLeader {
  std::string address;
  Fence fence = 0;
};

class CallDelegate {
 public:
  /// A batch of calls is a permission to send them. It is used only if it was certainly sent at
  /// most this long ago; a process that was suspended refuses what waited for it. Several
  /// heartbeats.
  static constexpr base::Duration kMaxPermissionAge = std::chrono::milliseconds(1000);
  /// Targets and operators repeat a call after one second without a response.
  static constexpr base::Duration kReportTimeout = std::chrono::milliseconds(800);

  /// `incarnation` is a number that no earlier process of this replica has used.
  CallDelegate(TargetCalls& target_calls, DelegationLink& delegation_link,
               const workload::WorkloadState& workload_state, std::string own_failure_domain,
               std::uint64_t own_incarnation);

  /// Sends the requests of the batch, or refuses all of them unless `from` is the leader that this
  /// replica knows and the batch is recent.
  void OnCalls(base::TimePoint now, const std::string& from, const CallBatch& batch,
               const KnownLeader& leader);
  /// True when Announce() may be called: the leader was in contact and has asked for it.
  [[nodiscard]] bool TakesReports(base::TimePoint now) const;
  /// Address of the replica that should get the target's further announcements; empty: this one.
  [[nodiscard]] std::string AnnounceTo(const workload::TargetRecord& target) const;
  /// Calls `done(true)` when the announcement changes nothing, or when the leader has accepted it.
  void Announce(base::TimePoint now, const Announcement& announcement,
                std::function<void(bool accepted)> done);
  /// Sends results, and heartbeats.
  void Flush(base::TimePoint now);
  /// Times from the arrival of a call to its result, since the last call of this.
  [[nodiscard]] DelaySum TakeCallDelays() { return std::exchange(this->call_delays, {}); }
  /// Must be called every 50 ms.
  void Tick(base::TimePoint now, const KnownLeader& leader);

 private:
  struct PendingReport {
    std::function<void(bool accepted)> done;
    base::TimePoint expires;
  };

  void Send(base::TimePoint now, const DelegatedCall& call);
  void AddResult(Fence fence, DelegatedResult result);
  void Refuse(const CallBatch& batch, std::string_view reason);
  void SetLeader(const KnownLeader& leader);

  TargetCalls& targets;
  DelegationLink& link;
  const workload::WorkloadState& state;
  std::string failure_domain;
  std::uint64_t incarnation;
  KnownLeader known_leader;
  /// The leader has sent its latest batch after this moment.
  std::optional<base::TimePoint> leader_seen_after;
  std::int64_t leader_clock_us = 0;
  std::vector<DelegateAddress> delegates;
  base::TimePoint last_heartbeat;
  std::vector<DelegatedResult> results;
  /// Of calls other than polls, which wait at their target.
  DelaySum call_delays;
  std::vector<TargetContact> contacts;
  std::vector<RelayedReport> reports;
  std::uint64_t last_report = 0;
  std::map<std::uint64_t, PendingReport> pending_reports;
};

}  // namespace mangoroad::controller
