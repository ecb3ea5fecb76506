#include "controller/call_delegator.h"

#include <algorithm>
#include <iterator>
#include <optional>

#include "log/log.h"

namespace mangoroad::controller {

std::string ChooseDelegate(const std::vector<DelegateAddress>& delegates,
                           const std::string& target_id, const std::string& failure_domain) {
  const auto in_domain = [&](const auto& entry) { return entry.failure_domain == failure_domain; };
  const bool has_own = std::ranges::any_of(delegates, in_domain);
  // Rendezvous hashing.
  std::string chosen;
  std::size_t highest = 0;
  for (const auto& entry : delegates) {
    if (has_own && !in_domain(entry)) continue;
    const std::size_t weight = std::hash<std::string>{}(target_id + "@" + entry.address);
    if (chosen.empty() || weight > highest) {
      chosen = entry.address;
      highest = weight;
    }
  }
  return chosen;
}

CallDelegator::CallDelegator(TargetCalls& direct_calls, DelegationLink& delegation_link,
                             ReportHandlers report_handlers, DelegationSettings delegation_settings)
    : direct(direct_calls),
      link(delegation_link),
      reports(std::move(report_handlers)),
      settings(delegation_settings) {}

void CallDelegator::BeginTerm(base::TimePoint now, Fence new_fence) {
  this->EndTerm();
  this->leading = true;
  this->fence = new_fence;
  this->term_start = now;
  this->last_tick = now;
  this->UpdateUsable(now);
}

void CallDelegator::EndTerm() {
  this->leading = false;
  this->pending.clear();
  this->expiries.clear();
  this->usable.clear();
  this->delegate_of_target.clear();
  for (auto& [name, delegate] : this->delegates) {
    delegate.reached.reset();
    delegate.calls.clear();
    delegate.verdicts.clear();
  }
}

bool CallDelegator::IsReady(base::TimePoint now) const {
  if (this->reports.target_count() < this->settings.min_targets) return true;
  const base::Duration elapsed = now - this->term_start;
  return elapsed >=
         (this->usable.empty() ? this->settings.max_settling : this->settings.min_settling);
}

void CallDelegator::Start(const TargetEndpoint& to, const StartRequest& request, OnResponse done) {
  if (!this->PassOn(to, request, {}, done)) this->direct.Start(to, request, std::move(done));
}

void CallDelegator::Stop(const TargetEndpoint& to, const StopRequest& request, OnResponse done) {
  if (!this->PassOn(to, request, {}, done)) this->direct.Stop(to, request, std::move(done));
}

void CallDelegator::Throttle(const TargetEndpoint& to, const ThrottleRequest& request,
                             OnResponse done) {
  if (!this->PassOn(to, request, {}, done)) this->direct.Throttle(to, request, std::move(done));
}

void CallDelegator::Poll(const TargetEndpoint& to, const PollRequest& request,
                         OnPollResponse done) {
  if (!this->PassOn(to, request, request.wait, done)) {
    this->direct.Poll(to, request, std::move(done));
  }
}

bool CallDelegator::PassOn(const TargetEndpoint& to, DelegatedRequest request, base::Duration wait,
                           Callback done) {
  const std::string name = this->DelegateOf(to);
  if (name.empty()) return false;
  const std::uint64_t number = ++this->last_number;
  this->pending.emplace(number, PendingCall{name, std::move(done),
                                            this->settings.result_timeout + wait, std::nullopt});
  this->delegates.at(name).calls.push_back({number, to, std::move(request)});
  this->link.RequestFlush();
  return true;
}

std::string CallDelegator::DelegateOf(const TargetEndpoint& to) {
  if (this->usable.empty()) return {};
  const auto known = this->delegate_of_target.find(to.target.id);
  if (known != this->delegate_of_target.end()) return known->second;
  const std::string chosen = ChooseDelegate(this->usable, to.target.id, to.failure_domain);
  this->delegate_of_target.emplace(to.target.id, chosen);
  return chosen;
}

void CallDelegator::Respond(base::TimePoint now, const Callback& done, CallStatus status) {
  if (const auto* on_response = std::get_if<OnResponse>(&done)) {
    (*on_response)(now, {status, {}});
  } else {
    std::get<OnPollResponse>(done)(now, {status, {}});
  }
}

std::vector<std::uint64_t> CallDelegator::CallsOf(const std::string& delegate) const {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, call] : this->pending) {
    if (call.delegate == delegate) numbers.push_back(number);
  }
  return numbers;
}

CallDelegator::PendingCall CallDelegator::TakePending(CallsByNumber::iterator found) {
  PendingCall call = std::move(found->second);
  if (call.expires) this->expiries.erase({*call.expires, found->first});
  this->pending.erase(found);
  return call;
}

void CallDelegator::GiveUp(base::TimePoint now, const std::vector<std::uint64_t>& numbers) {
  for (const std::uint64_t number : numbers) {
    const auto found = this->pending.find(number);
    if (found == this->pending.end()) continue;
    const PendingCall call = this->TakePending(found);
    Respond(now, call.done, call.expires ? CallStatus::kDelegateLost : CallStatus::kNotCarried);
  }
}

void CallDelegator::OnResults(base::TimePoint now, const std::string& delegate,
                              const ResultBatch& batch) {
  Delegate& sender = this->delegates[delegate];
  std::vector<std::uint64_t> lost;
  if (sender.incarnation != batch.incarnation) {
    // A batch that has waited may come from an earlier process than the latest heartbeat.
    if (!batch.IsHeartbeat()) return;
    // The process was restarted and knows nothing of earlier calls.
    lost = this->CallsOf(delegate);
    sender.calls.clear();
    sender.clock_us = 0;
    sender.reached.reset();
  }
  if (this->leading && !sender.reached) {
    // The delegate waits for the clock of this term's leader.
    sender.last_heartbeat = {};
    this->link.RequestFlush();
  }
  sender.failure_domain = batch.failure_domain;
  sender.incarnation = batch.incarnation;
  sender.clock_us = std::max(sender.clock_us, batch.clock_us);
  sender.last_heard = now;
  if (!this->leading) return;
  if (batch.fence == this->fence && batch.leader_clock_us != 0) {
    const base::TimePoint sent{base::Duration(batch.leader_clock_us)};
    sender.reached = std::max(sender.reached.value_or(sent), sent);
  }
  this->UpdateUsable(now);
  this->GiveUp(now, lost);
  for (const TargetContact& contact : batch.contacts) this->reports.on_contact(now, contact);
  for (const RelayedReport& report : batch.reports) {
    this->reports.on_report(now, report.announcement,
                            [this, delegate, number = report.number](bool accepted) {
                              this->delegates[delegate].verdicts.push_back({number, accepted});
                              this->link.RequestFlush();
                            });
  }
  if (batch.fence != this->fence) return;
  bool refused = false;
  for (const DelegatedResult& result : batch.results) {
    const auto found = this->pending.find(result.number);
    if (found == this->pending.end() || found->second.delegate != delegate) continue;
    const PendingCall call = this->TakePending(found);
    refused = refused || result.status == CallStatus::kNotCarried;
    if (const auto* on_response = std::get_if<OnResponse>(&call.done)) {
      (*on_response)(now, {result.status, result.clock});
    } else if (result.status == CallStatus::kDone && !result.lists) {
      Respond(now, call.done, CallStatus::kInvalid);
    } else {
      std::get<OnPollResponse>(call.done)(
          now, {result.status, result.lists.value_or(dispatch::TargetLists{})});
    }
  }
  if (refused) {
    this->delegates[delegate].avoid_until = now + this->settings.avoid_after_refusal;
    this->UpdateUsable(now);
  }
}

CallBatch CallDelegator::MakeBatch(base::TimePoint now, const Delegate& delegate) const {
  CallBatch batch;
  batch.fence = this->fence;
  batch.delegate_incarnation = delegate.incarnation;
  batch.delegate_clock_us = delegate.clock_us;
  batch.leader_clock_us = now.time_since_epoch().count();
  batch.delegates = this->usable;
  return batch;
}

bool CallDelegator::SendBatch(base::TimePoint now, const std::string& name, Delegate& delegate) {
  CallBatch batch = this->MakeBatch(now, delegate);
  batch.verdicts = std::exchange(delegate.verdicts, {});
  const auto count =
      static_cast<std::ptrdiff_t>(std::min(delegate.calls.size(), this->settings.max_batch));
  batch.calls.assign(std::make_move_iterator(delegate.calls.begin()),
                     std::make_move_iterator(delegate.calls.begin() + count));
  delegate.calls.erase(delegate.calls.begin(), delegate.calls.begin() + count);
  if (batch.IsHeartbeat()) return false;
  const bool is_sent = this->link.SendCalls(name, batch);
  std::vector<std::uint64_t> unsent;
  for (const DelegatedCall& call : batch.calls) {
    const auto found = this->pending.find(call.number);
    if (found == this->pending.end()) continue;
    if (!is_sent) {
      unsent.push_back(call.number);
      continue;
    }
    const base::TimePoint expires = now + found->second.timeout;
    found->second.expires = expires;
    this->expiries.emplace(expires, call.number);
  }
  this->GiveUp(now, unsent);
  return is_sent;
}

void CallDelegator::GiveUpUnsent(base::TimePoint now) {
  std::vector<std::uint64_t> numbers;
  for (auto& [name, delegate] : this->delegates) {
    for (const DelegatedCall& call : delegate.calls) numbers.push_back(call.number);
    delegate.calls.clear();
  }
  this->GiveUp(now, numbers);
}

void CallDelegator::Flush(base::TimePoint now) {
  if (!this->leading) return;
  // After a suspension of the process another replica may lead.
  if (now - this->last_tick > this->settings.max_silence) this->GiveUpUnsent(now);
  // Responses to calls that can't be sent may lead to further ones, which the next flush sends.
  for (auto& [name, delegate] : this->delegates) {
    const bool is_silent = now - delegate.last_heard > this->settings.max_silence;
    if (!is_silent && now - delegate.last_heartbeat >= kDelegationHeartbeat) {
      delegate.last_heartbeat = now;
      this->link.SendCalls(name, this->MakeBatch(now, delegate));
    }
    while (this->SendBatch(now, name, delegate)) {
    }
  }
}

bool CallDelegator::IsReached(base::TimePoint now, const Delegate& delegate) const {
  return delegate.reached && now - *delegate.reached <= this->settings.max_silence;
}

void CallDelegator::UpdateUsable(base::TimePoint now) {
  std::vector<DelegateAddress> next;
  if (this->leading && this->reports.target_count() >= this->settings.min_targets) {
    for (const auto& [name, delegate] : this->delegates) {
      const bool is_avoided = now < delegate.avoid_until;
      if (this->IsReached(now, delegate) && !is_avoided) {
        next.push_back({delegate.failure_domain, name});
      }
    }
  }
  if (next == this->usable) return;
  this->usable = std::move(next);
  this->delegate_of_target.clear();
  log::Info(log::Category::kPlacement, "delegates changed",
            {{"delegates", this->usable.size()}, {"fence", this->fence}});
}

void CallDelegator::Tick(base::TimePoint now) {
  if (!this->leading) return;
  if (now - this->last_tick > this->settings.max_silence) this->GiveUpUnsent(now);
  this->last_tick = now;
  this->UpdateUsable(now);
  std::vector<std::uint64_t> overdue;
  for (const auto& [expires, number] : this->expiries) {
    if (expires > now) break;
    overdue.push_back(number);
  }
  for (auto& [name, delegate] : this->delegates) {
    if (this->IsReached(now, delegate)) continue;
    const std::vector<std::uint64_t> lost = this->CallsOf(name);
    if (lost.empty()) continue;
    delegate.calls.clear();
    log::Warning(log::Category::kPlacement, "delegate lost",
                 {{"delegate", name}, {"calls", lost.size()}});
    overdue.insert(overdue.end(), lost.begin(), lost.end());
  }
  this->GiveUp(now, overdue);
  this->Flush(now);
}

}  // namespace mangoroad::controller
