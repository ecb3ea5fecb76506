#include "controller/delegation.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "controller/run_statistics.h"
#include "log/log.h"
#include "net/event_loop.h"

namespace mangoroad::controller {
namespace {

constexpr const char* kCallsKind = "calls";
constexpr const char* kResultsKind = "results";
constexpr const char* kLeaderHeartbeatKind = "calls-heartbeat";
constexpr const char* kDelegateHeartbeatKind = "results-heartbeat";
/// Waiting messages are handled for at most this long in one turn of the loop, several times below
/// the shortest time-out of the replicated log.
constexpr base::Duration kMaxHandlingTime = std::chrono::milliseconds(10);
/// Results and calls that follow a message this closely are sent together. Four delegates with time
/// to spare otherwise send 2,900 messages a second, one for each result or two, and the leader
/// falls behind reading them.
constexpr base::Duration kMinFlushInterval = std::chrono::milliseconds(4);
constexpr base::Duration kLoadLogInterval = std::chrono::seconds(1);

}  // namespace

struct Delegation::Private : DelegationLink {
  struct Received {
    std::string from;
    wire::Envelope envelope;
    base::TimePoint at;
  };
  /// Since the last log line.
  struct Load {
    std::uint64_t messages = 0;
    std::size_t most_waiting = 0;
    base::Duration longest_wait{};
  };

  net::EventLoop& loop;
  Delegation::Send send;
  Delegation::FindLeader find_leader;
  bool flush_requested = false;
  base::TimePoint last_flush;
  bool handling_posted = false;
  /// Messages not handled yet. They share the links with the replicated log, whose messages are
  /// urgent; these wait their turn among the other events.
  std::deque<Received> waiting;
  Load load;
  base::TimePoint next_load_log_at;
  base::Duration logged_processor_time{};
  CallDelegator delegator;
  CallDelegate delegate;
  net::PostScope posts{this->loop};
  net::Timer flush_timer;

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
      this->HandleWaiting();
      if (!this->waiting.empty()) this->PostHandling();
    });
  }
  /// Handles all that waits, so that planning, commits and flushes that follow from the messages
  /// are made once for all of them: the further the loop is behind, the less each message costs.
  void HandleWaiting() {
    const base::TimePoint begin = this->loop.Now();
    base::TimePoint now = begin;
    while (!this->waiting.empty() && now - begin < kMaxHandlingTime) {
      const Received received = std::move(this->waiting.front());
      this->waiting.pop_front();
      this->load.messages += 1;
      this->load.longest_wait = std::max(this->load.longest_wait, now - received.at);
      this->Handle(received);
      now = this->loop.Now();
    }
  }
  void Handle(const Received& received) {
    const std::string& payload = received.envelope.payload;
    const std::string& kind = received.envelope.kind;
    const bool is_calls = kind == kCallsKind || kind == kLeaderHeartbeatKind;
    const auto calls = is_calls ? DecodeCallBatch(payload) : std::nullopt;
    const auto results = is_calls ? std::nullopt : DecodeResultBatch(payload);
    if (calls) {
      this->delegate.OnCalls(this->loop.Now(), received.from, *calls, this->find_leader());
    } else if (results) {
      this->delegator.OnResults(this->loop.Now(), received.from, *results);
    } else {
      log::Error(log::Category::kNet, "malformed message ignored",
                 {{"from", received.from}, {"kind", kind}, {"bytes", payload.size()}});
    }
  }
  /// Logs how long messages between the leader and its delegates waited for this process, and how
  /// long the calls that it carried took.
  void LogLoad(base::TimePoint now) {
    if (now < this->next_load_log_at) return;
    this->next_load_log_at = now + kLoadLogInterval;
    const Load sums = std::exchange(this->load, {});
    const DelaySum calls = this->delegate.TakeCallDelays();
    const base::Duration processor_time = this->loop.ProcessorTime();
    const base::Duration used =
        processor_time - std::exchange(this->logged_processor_time, processor_time);
    if (sums.messages == 0) return;
    log::Info(log::Category::kPlacement, "delegation load",
              {{"processor_ms", base::ToMilliseconds(used)},
               {"messages", sums.messages},
               {"most_waiting", sums.most_waiting},
               {"longest_wait_ms", base::ToMilliseconds(sums.longest_wait)},
               {"carried_calls", calls.count},
               {"mean_call_ms", base::ToMilliseconds(calls.Mean())},
               {"max_call_ms", base::ToMilliseconds(calls.max)}});
  }
  bool SendCalls(const std::string& to, const CallBatch& batch) override {
    return this->send(
        to, {batch.IsHeartbeat() ? kLeaderHeartbeatKind : kCallsKind, EncodeCallBatch(batch)});
  }
  bool SendResults(const std::string& to, const ResultBatch& batch) override {
    return this->send(to, {batch.IsHeartbeat() ? kDelegateHeartbeatKind : kResultsKind,
                           EncodeResultBatch(batch)});
  }
  void RequestFlush() override {
    if (std::exchange(this->flush_requested, true)) return;
    const base::Duration since_last = this->loop.Now() - this->last_flush;
    if (since_last >= kMinFlushInterval) {
      this->posts.Post([this] { this->Flush(); });
    } else {
      this->flush_timer =
          this->loop.After(kMinFlushInterval - since_last, [this] { this->Flush(); });
    }
  }
  void Flush() {
    this->flush_requested = false;
    this->last_flush = this->loop.Now();
    this->delegator.Flush(this->last_flush);
    this->delegate.Flush(this->last_flush);
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
  if (envelope.kind == kLeaderHeartbeatKind || envelope.kind == kDelegateHeartbeatKind) {
    // Whether a VM can be reached must not depend on how much it has to do.
    this->d->Handle({from, std::move(envelope), {}});
    return true;
  }
  if (envelope.kind != kCallsKind && envelope.kind != kResultsKind) return false;
  this->d->waiting.push_back({from, std::move(envelope), this->d->loop.Now()});
  this->d->load.most_waiting = std::max(this->d->load.most_waiting, this->d->waiting.size());
  this->d->PostHandling();
  return true;
}

void Delegation::Tick() {
  const base::TimePoint now = this->d->loop.Now();
  this->d->delegate.Tick(now, this->d->find_leader());
  this->d->delegator.Tick(now);
  this->d->LogLoad(now);
}

}  // namespace mangoroad::controller
