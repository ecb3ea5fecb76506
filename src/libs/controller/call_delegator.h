// The leader's side of delegated calls: other core VMs send its requests to targets.
//
// One VM can't carry the exchanges with all targets of a large deployment. Each delegate, a core
// VM that doesn't lead, sends the requests to the targets of its failure domain; targets of a
// failure domain without a delegate are divided among all of them. The leader alone decides and
// logs. A delegate keeps no state of targets, so a hand-over between delegates needs no agreement:
// every request carries the leader's fence, run number and the target's deadline, and one whose
// delegate was lost counts as possibly executed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "base/time.h"
#include "controller/delegation_messages.h"
#include "controller/target_calls.h"

namespace mangoroad::controller {

/// Connection between the leader and its delegates, named by the addresses of their replicas.
class DelegationLink {
 public:
  virtual ~DelegationLink() = default;
  /// False when the message is certainly not sent.
  virtual bool SendCalls(const std::string& delegate, const CallBatch& batch) = 0;
  virtual bool SendResults(const std::string& leader, const ResultBatch& batch) = 0;
  /// Schedules a call of Flush(); repeated requests are coalesced.
  virtual void RequestFlush() = 0;
};

struct DelegationSettings {
  /// With fewer targets the leader sends its requests itself: that saves the way over a delegate.
  std::size_t min_targets = 200;
  /// A delegate isn't used unless it has received a batch that was sent within this time; several
  /// heartbeats. One that is only heard, since the link is cut one way, carries no calls.
  base::Duration max_silence = std::chrono::milliseconds(1000);
  /// A call without a result is given up after this time and the wait of its poll. Longer than a
  /// delegate's own time-out of 700 ms, so that results usually arrive.
  base::Duration result_timeout = std::chrono::milliseconds(1200);
  /// A delegate that refused calls, since it knows another leader, isn't used for this long.
  base::Duration avoid_after_refusal = std::chrono::milliseconds(1000);
  /// In a new term nothing is sent before `min_settling`, in which the delegates are usually heard,
  /// and without any delegate before `max_settling`. A new leader that polls 1,100 targets itself
  /// has no time for anything else for most of a second; leases are several times longer.
  base::Duration min_settling = std::chrono::milliseconds(150);
  base::Duration max_settling = std::chrono::milliseconds(400);
  /// Calls in one message.
  std::size_t max_batch = 500;
};

/// Where announcements relayed by delegates go.
struct ReportHandlers {
  std::function<void(base::TimePoint now, const TargetContact&)> on_contact;
  std::function<void(base::TimePoint now, const Announcement&,
                     const std::function<void(bool accepted)>&)>
      on_report;
  std::function<std::size_t()> target_count;
};

/// The delegate for a target: one of its failure domain, or any if that has none; empty if there
/// are none at all. When a delegate is lost, only its own targets move.
std::string ChooseDelegate(const std::vector<DelegateAddress>& delegates,
                           const std::string& target_id, const std::string& failure_domain);

class CallDelegator : public TargetCalls {
 public:
  /// `direct_calls` sends the requests for which there is no delegate.
  CallDelegator(TargetCalls& direct_calls, DelegationLink& delegation_link,
                ReportHandlers report_handlers, DelegationSettings delegation_settings = {});

  /// Begins a term with `new_fence`; calls of an earlier term get no more responses.
  void BeginTerm(base::TimePoint now, Fence new_fence);
  void EndTerm();

  [[nodiscard]] bool IsReady(base::TimePoint now) const override;
  void Start(const TargetEndpoint& to, const StartRequest& request, OnResponse done) override;
  void Stop(const TargetEndpoint& to, const StopRequest& request, OnResponse done) override;
  void Throttle(const TargetEndpoint& to, const ThrottleRequest& request, OnResponse done) override;
  void Poll(const TargetEndpoint& to, const PollRequest& request, OnPollResponse done) override;

  void OnResults(base::TimePoint now, const std::string& delegate, const ResultBatch& batch);
  /// Sends what is queued, and heartbeats.
  void Flush(base::TimePoint now);
  /// Must be called every 50 ms: gives up overdue calls and finds lost delegates.
  void Tick(base::TimePoint now);

  /// The delegate that carries the target's requests; empty: the leader itself.
  [[nodiscard]] std::string DelegateOf(const TargetEndpoint& to);
  [[nodiscard]] std::size_t DelegateCount() const { return this->usable.size(); }
  [[nodiscard]] std::size_t PendingCalls() const { return this->pending.size(); }

 private:
  using Callback = std::variant<OnResponse, OnPollResponse>;
  struct PendingCall {
    std::string delegate;
    Callback done;
    base::Duration timeout{};
    /// Set when the call is sent.
    std::optional<base::TimePoint> expires;
  };
  using CallsByNumber = std::map<std::uint64_t, PendingCall>;
  struct Delegate {
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    std::int64_t clock_us = 0;
    base::TimePoint last_heard;
    /// The delegate has received a batch that was sent at this time.
    std::optional<base::TimePoint> reached;
    base::TimePoint last_heartbeat;
    base::TimePoint avoid_until;
    /// Calls that wait to be sent.
    std::vector<DelegatedCall> calls;
    std::vector<ReportVerdict> verdicts;
  };

  /// False when the leader sends the request itself.
  bool PassOn(const TargetEndpoint& to, DelegatedRequest request, base::Duration wait,
              Callback done);
  static void Respond(base::TimePoint now, const Callback& done, CallStatus status);
  /// Ends the calls: those that were sent as possibly executed, the others as not carried.
  void GiveUp(base::TimePoint now, const std::vector<std::uint64_t>& numbers);
  /// Removes a call that got its result or is given up.
  PendingCall TakePending(CallsByNumber::iterator found);
  [[nodiscard]] CallBatch MakeBatch(base::TimePoint now, const Delegate& delegate) const;
  /// Gives up the calls that haven't been sent; the leader decides anew whether it may send them.
  void GiveUpUnsent(base::TimePoint now);
  /// Sends the next calls and verdicts; false when there are none, or they are certainly not sent.
  bool SendBatch(base::TimePoint now, const std::string& name, Delegate& delegate);
  [[nodiscard]] std::vector<std::uint64_t> CallsOf(const std::string& delegate) const;
  [[nodiscard]] bool IsReached(base::TimePoint now, const Delegate& delegate) const;
  void UpdateUsable(base::TimePoint now);

  TargetCalls& direct;
  DelegationLink& link;
  ReportHandlers reports;
  DelegationSettings settings;
  bool leading = false;
  Fence fence = 0;
  base::TimePoint term_start;
  base::TimePoint last_tick;
  std::uint64_t last_number = 0;
  std::map<std::string, Delegate> delegates;
  /// Delegates in use, in the order of their addresses.
  std::vector<DelegateAddress> usable;
  std::unordered_map<std::string, std::string> delegate_of_target;
  CallsByNumber pending;
  std::set<std::pair<base::TimePoint, std::uint64_t>> expiries;
};

}  // namespace mangoroad::controller
