#include "controller/delegation.h"

#include <deque>
#include <utility>

#include "log/log.h"
#include "net/event_loop.h"

namespace mangoroad::controller {
namespace {

constexpr const char* kCallsKind = "calls";
constexpr const char* kResultsKind = "results";

}  // namespace

struct Delegation::Private : DelegationLink {
  struct Received {
    std::string from;
    wire::Envelope envelope;
  };

  net::EventLoop& loop;
  Delegation::Send send;
  Delegation::FindLeader find_leader;
  bool flush_posted = false;
  bool handling_posted = false;
  /// Messages not handled yet. They share the links with the replicated log, whose messages are
  /// urgent; these wait their turn among the other events.
  std::deque<Received> waiting;
  CallDelegator delegator;
  CallDelegate delegate;
  net::PostScope posts{this->loop};

  Private(net::EventLoop& event_loop, TargetCalls& calls, const workload::WorkloadState& state,
          std::string failure_domain, ReportHandlers handlers, Delegation::Send send_envelope,
          Delegation::FindLeader leader_finder, DelegationSettings settings)
      : loop(event_loop),
        send(std::move(send_envelope)),
        find_leader(std::move(leader_finder)),
        delegator(calls, *this, std::move(handlers), settings),
        delegate(calls, *this, state, std::move(failure_domain), event_loop.RandomBits()) {}

  void PostHandling() {
    if (std::exchange(this->handling_posted, true)) return;
    this->posts.Post([this] {
      this->handling_posted = false;
      const Received received = std::move(this->waiting.front());
      this->waiting.pop_front();
      if (!this->waiting.empty()) this->PostHandling();
      this->Handle(received);
    });
  }
  void Handle(const Received& received) {
    const std::string& payload = received.envelope.payload;
    const bool is_calls = received.envelope.kind == kCallsKind;
    const auto calls = is_calls ? DecodeCallBatch(payload) : std::nullopt;
    const auto results = is_calls ? std::nullopt : DecodeResultBatch(payload);
    if (calls) {
      this->delegate.OnCalls(this->loop.Now(), received.from, *calls, this->find_leader());
    } else if (results) {
      this->delegator.OnResults(this->loop.Now(), received.from, *results);
    } else {
      log::Error(
          log::Category::kNet, "malformed message ignored",
          {{"from", received.from}, {"kind", received.envelope.kind}, {"bytes", payload.size()}});
    }
  }
  bool SendCalls(const std::string& to, const CallBatch& batch) override {
    return this->send(to, {kCallsKind, EncodeCallBatch(batch)});
  }
  bool SendResults(const std::string& to, const ResultBatch& batch) override {
    return this->send(to, {kResultsKind, EncodeResultBatch(batch)});
  }
  void RequestFlush() override {
    if (std::exchange(this->flush_posted, true)) return;
    this->posts.Post([this] {
      this->flush_posted = false;
      this->delegator.Flush(this->loop.Now());
      this->delegate.Flush(this->loop.Now());
    });
  }
};

Delegation::Delegation(net::EventLoop& loop, TargetCalls& calls,
                       const workload::WorkloadState& state, std::string failure_domain,
                       ReportHandlers handlers, Send send, FindLeader find_leader,
                       DelegationSettings settings)
    : d(std::make_unique<Private>(loop, calls, state, std::move(failure_domain),
                                  std::move(handlers), std::move(send), std::move(find_leader),
                                  settings)) {}

Delegation::~Delegation() = default;

CallDelegator& Delegation::Calls() { return this->d->delegator; }

CallDelegate& Delegation::Delegate() { return this->d->delegate; }

bool Delegation::OnEnvelope(const std::string& from, wire::Envelope envelope) {
  if (envelope.kind != kCallsKind && envelope.kind != kResultsKind) return false;
  this->d->waiting.push_back({from, std::move(envelope)});
  this->d->PostHandling();
  return true;
}

void Delegation::Tick() {
  const base::TimePoint now = this->d->loop.Now();
  this->d->delegate.Tick(now, this->d->find_leader());
  this->d->delegator.Tick(now);
}

}  // namespace mangoroad::controller
