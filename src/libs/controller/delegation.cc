#include "controller/delegation.h"

#include <utility>

#include "log/log.h"
#include "net/event_loop.h"

namespace mangoroad::controller {
namespace {

constexpr const char* kCallsKind = "calls";
constexpr const char* kResultsKind = "results";

}  // namespace

struct Delegation::Private : DelegationLink {
  net::EventLoop& loop;
  Delegation::Send send;
  bool flush_posted = false;
  CallDelegator delegator;
  CallDelegate delegate;
  net::PostScope posts{this->loop};

  Private(net::EventLoop& event_loop, TargetCalls& calls, const workload::WorkloadState& state,
          std::string failure_domain, ReportHandlers handlers, Delegation::Send send_envelope,
          DelegationSettings settings)
      : loop(event_loop),
        send(std::move(send_envelope)),
        delegator(calls, *this, std::move(handlers), settings),
        delegate(calls, *this, state, std::move(failure_domain), event_loop.RandomBits()) {}

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
                       ReportHandlers handlers, Send send, DelegationSettings settings)
    : d(std::make_unique<Private>(loop, calls, state, std::move(failure_domain),
                                  std::move(handlers), std::move(send), settings)) {}

Delegation::~Delegation() = default;

CallDelegator& Delegation::Calls() { return this->d->delegator; }

CallDelegate& Delegation::Delegate() { return this->d->delegate; }

bool Delegation::OnEnvelope(const std::string& from, const wire::Envelope& envelope,
                            const KnownLeader& leader) {
  const auto malformed = [&] {
    log::Error(log::Category::kNet, "malformed message ignored",
               {{"from", from}, {"kind", envelope.kind}, {"bytes", envelope.payload.size()}});
    return true;
  };
  if (envelope.kind == kCallsKind) {
    const auto batch = DecodeCallBatch(envelope.payload);
    if (!batch) return malformed();
    this->d->delegate.OnCalls(this->d->loop.Now(), from, *batch, leader);
    return true;
  }
  if (envelope.kind == kResultsKind) {
    const auto batch = DecodeResultBatch(envelope.payload);
    if (!batch) return malformed();
    this->d->delegator.OnResults(this->d->loop.Now(), from, *batch);
    return true;
  }
  return false;
}

void Delegation::Tick(const KnownLeader& leader) {
  const base::TimePoint now = this->d->loop.Now();
  this->d->delegate.Tick(now, leader);
  this->d->delegator.Tick(now);
}

}  // namespace mangoroad::controller
