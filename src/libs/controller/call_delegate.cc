#include "controller/call_delegate.h"

#include <type_traits>
#include <utility>

#include "log/log.h"

namespace mangoroad::controller {

CallDelegate::CallDelegate(TargetCalls& target_calls, DelegationLink& delegation_link,
                           const workload::WorkloadState& workload_state,
                           std::string own_failure_domain, std::uint64_t own_incarnation)
    : targets(target_calls),
      link(delegation_link),
      state(workload_state),
      failure_domain(std::move(own_failure_domain)),
      incarnation(own_incarnation) {}

void CallDelegate::SetLeader(const KnownLeader& leader) {
  if (leader.address == this->known_leader.address && leader.fence == this->known_leader.fence) {
    return;
  }
  this->known_leader = leader;
  this->leader_seen_after.reset();
  this->leader_clock_us = 0;
  this->last_heartbeat = {};
  this->delegates.clear();
  this->results.clear();
  this->contacts.clear();
  this->reports.clear();
}

void CallDelegate::OnCalls(base::TimePoint now, const std::string& from, const CallBatch& batch,
                           const KnownLeader& leader) {
  this->SetLeader(leader);
  if (from != leader.address || batch.fence != leader.fence) {
    return this->Refuse(batch, "not the leader");
  }
  // A batch for an earlier process of this replica, or one sent before this process was heard,
  // carries no time of its clock.
  if (batch.delegate_incarnation != this->incarnation || batch.delegate_clock_us == 0) {
    return this->Refuse(batch, "another process");
  }
  const base::TimePoint sent_after{base::Duration(batch.delegate_clock_us)};
  if (now - sent_after > kMaxPermissionAge) return this->Refuse(batch, "too old");
  if (this->leader_clock_us == 0) {
    // The leader uses this delegate once its clock has come back.
    this->last_heartbeat = {};
    this->link.RequestFlush();
  }
  // Heartbeats overtake batches that wait for their turn.
  if (batch.leader_clock_us >= this->leader_clock_us) {
    this->leader_seen_after = sent_after;
    this->leader_clock_us = batch.leader_clock_us;
    this->delegates = batch.delegates;
  }
  for (const DelegatedCall& call : batch.calls) this->Send(now, call);
  for (const ReportVerdict& verdict : batch.verdicts) {
    const auto found = this->pending_reports.find(verdict.number);
    if (found == this->pending_reports.end()) continue;
    const auto done = std::move(found->second.done);
    this->pending_reports.erase(found);
    done(verdict.accepted);
  }
}

void CallDelegate::Refuse(const CallBatch& batch, std::string_view reason) {
  if (batch.calls.empty()) return;
  log::Warning(log::Category::kPlacement, "delegated calls refused",
               {{"reason", reason}, {"fence", batch.fence}, {"calls", batch.calls.size()}});
  for (const DelegatedCall& call : batch.calls) {
    this->AddResult(batch.fence, {call.number, CallStatus::kNotCarried, {}, {}});
  }
}

void CallDelegate::Send(base::TimePoint now, const DelegatedCall& call) {
  const Fence fence = this->known_leader.fence;
  const auto on_response = [this, fence, number = call.number, now](base::TimePoint received_at,
                                                                    const CallResponse& response) {
    this->call_delays.Add(received_at - now);
    this->AddResult(fence, {number, response.status, response.clock, {}});
  };
  std::visit(
      [&](const auto& request) {
        using Request = std::decay_t<decltype(request)>;
        if constexpr (std::is_same_v<Request, StartRequest>) {
          this->targets.Start(call.to, request, on_response);
        } else if constexpr (std::is_same_v<Request, StopRequest>) {
          this->targets.Stop(call.to, request, on_response);
        } else if constexpr (std::is_same_v<Request, ThrottleRequest>) {
          this->targets.Throttle(call.to, request, on_response);
        } else {
          this->targets.Poll(
              call.to, request,
              [this, fence, number = call.number](base::TimePoint, const PollResponse& response) {
                DelegatedResult result{number, response.status, {}, {}};
                if (response.status == CallStatus::kDone) {
                  result.lists = response.lists;
                }
                this->AddResult(fence, std::move(result));
              });
        }
      },
      call.request);
}

/// Results of calls of another leader are dropped: it counts them as possibly executed.
void CallDelegate::AddResult(Fence fence, DelegatedResult result) {
  if (fence != this->known_leader.fence || this->known_leader.address.empty()) return;
  this->results.push_back(std::move(result));
  this->link.RequestFlush();
}

bool CallDelegate::TakesReports(base::TimePoint now) const {
  return !this->delegates.empty() && this->leader_seen_after &&
         now - *this->leader_seen_after <= kMaxPermissionAge;
}

std::string CallDelegate::AnnounceTo(const workload::TargetRecord& target) const {
  return ChooseDelegate(this->delegates, target.incarnation.id, target.failure_domain);
}

void CallDelegate::Announce(base::TimePoint now, const Announcement& announcement,
                            std::function<void(bool accepted)> done) {
  if (!this->TakesReports(now)) return done(false);
  const workload::TargetIncarnation& target = announcement.target.incarnation;
  const auto record = this->state.Targets().find(target.id);
  if (record != this->state.Targets().end() && record->second.SaysTheSame(announcement.target)) {
    // The next heartbeat takes it along.
    this->contacts.push_back({target, announcement.clock});
    return done(true);
  }
  const std::uint64_t number = ++this->last_report;
  this->pending_reports.emplace(number, PendingReport{std::move(done), now + kReportTimeout});
  this->reports.push_back({number, announcement});
  this->link.RequestFlush();
}

void CallDelegate::Flush(base::TimePoint now) {
  if (this->known_leader.address.empty()) return;
  ResultBatch batch;
  batch.fence = this->known_leader.fence;
  batch.failure_domain = this->failure_domain;
  batch.incarnation = this->incarnation;
  batch.clock_us = now.time_since_epoch().count();
  batch.leader_clock_us = this->leader_clock_us;
  const bool is_heartbeat_due = now - this->last_heartbeat >= kDelegationHeartbeat;
  if (is_heartbeat_due) {
    this->last_heartbeat = now;
    this->link.SendResults(this->known_leader.address, batch);
  }
  if (this->results.empty() && this->reports.empty() &&
      (this->contacts.empty() || !is_heartbeat_due)) {
    return;
  }
  batch.results = std::exchange(this->results, {});
  batch.contacts = std::exchange(this->contacts, {});
  batch.reports = std::exchange(this->reports, {});
  // What isn't sent counts as lost at the leader, which gives it up in time.
  if (!this->link.SendResults(this->known_leader.address, batch)) {
    log::Warning(log::Category::kPlacement, "results not sent",
                 {{"leader", this->known_leader.address}, {"results", batch.results.size()}});
  }
}

void CallDelegate::Tick(base::TimePoint now, const KnownLeader& leader) {
  this->SetLeader(leader);
  while (!this->pending_reports.empty() && this->pending_reports.begin()->second.expires <= now) {
    const auto done = std::move(this->pending_reports.begin()->second.done);
    this->pending_reports.erase(this->pending_reports.begin());
    done(false);
  }
  this->Flush(now);
}

}  // namespace mangoroad::controller
