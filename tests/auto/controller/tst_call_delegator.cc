// What a leader sends to its delegates under load: in which order, how much at once, and what it
// takes for lost.
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "controller/delegation.h"
#include "net/event_loop.h"
#include "support/required.h"

namespace mangoroad::controller {
namespace {

using std::chrono::milliseconds;

constexpr Fence kFence = 3;

base::TimePoint At(std::int64_t ms) { return base::TimePoint(milliseconds(ms)); }

struct NoCalls : TargetCalls {
  void Start(const TargetEndpoint&, const StartRequest&, OnResponse) override {}
  void Stop(const TargetEndpoint&, const StopRequest&, OnResponse) override {}
  void Throttle(const TargetEndpoint&, const ThrottleRequest&, OnResponse) override {}
  void Poll(const TargetEndpoint&, const PollRequest&, OnPollResponse) override {}
};

ReportHandlers ManyTargets() {
  ReportHandlers handlers;
  handlers.on_contact = [](base::TimePoint, const TargetContact&) {};
  handlers.on_report = [](base::TimePoint, const Announcement&, const std::function<void(bool)>&) {
  };
  handlers.target_count = [] { return std::size_t{1'000}; };
  return handlers;
}

struct SentCalls : DelegationLink {
  bool SendCalls(const std::string&, const CallBatch& batch) override {
    this->calls.insert(this->calls.end(), batch.calls.begin(), batch.calls.end());
    return true;
  }
  bool SendResults(const std::string&, const ResultBatch&) override { return false; }
  void RequestFlush() override {}
  std::vector<DelegatedCall> calls;
};

/// A leader with one delegate, "d", which it hears of at 1,000 ms.
struct LeaderFixture {
  NoCalls direct;
  SentCalls link;
  CallDelegator delegator{this->direct, this->link, ManyTargets()};
  std::map<std::string, CallStatus> statuses;

  LeaderFixture() {
    this->delegator.BeginTerm(At(1'000), kFence);
    this->HearOf(1, 1'000);
    REQUIRE(this->delegator.DelegateCount() == 1);
  }
  void HearOf(std::uint64_t incarnation, std::int64_t ms) {
    ResultBatch heartbeat;
    heartbeat.fence = kFence;
    heartbeat.incarnation = incarnation;
    heartbeat.clock_us = 1;
    heartbeat.leader_clock_us = At(ms).time_since_epoch().count();
    this->delegator.OnResults(At(ms), "d", heartbeat);
  }
  void Start(const std::string& job) {
    StartRequest request;
    request.task.job = job;
    this->delegator.Start({"10.0.0.1:80", {"t", 1}, ""}, request,
                          [this, job](base::TimePoint, const CallResponse& response) {
                            this->statuses[job] = response.status;
                          });
  }
  /// The job of each start that was sent, in order.
  std::vector<std::string> SentJobs() const {
    std::vector<std::string> jobs;
    jobs.reserve(this->link.calls.size());
    for (const DelegatedCall& call : this->link.calls) {
      jobs.push_back(std::get<StartRequest>(call.request).task.job);
    }
    return jobs;
  }
  void Confirm(std::uint64_t incarnation, std::uint64_t number, std::int64_t ms) {
    ResultBatch batch;
    batch.fence = kFence;
    batch.incarnation = incarnation;
    batch.results.push_back({number, CallStatus::kDone, {}, {}});
    this->delegator.OnResults(At(ms), "d", batch);
  }
};

// Guards against starts that never left the leader but count as possibly executed, so that their
// tasks wait for the end of a lease.
TEST_CASE("of the calls of a lost delegate only those that were sent are in doubt") {
  LeaderFixture leader;
  leader.Start("sent");
  leader.delegator.Flush(At(1'001));
  leader.Start("waiting");
  SECTION("it is silent") { leader.delegator.Tick(At(2'100)); }
  SECTION("its process was restarted") { leader.HearOf(2, 1'100); }
  CHECK(leader.statuses["sent"] == CallStatus::kDelegateLost);
  CHECK(leader.statuses["waiting"] == CallStatus::kNotCarried);
  CHECK(leader.delegator.PendingCalls() == 0);
  leader.HearOf(2, 2'200);
  leader.delegator.Tick(At(2'200));
  leader.Start("next");
  leader.delegator.Flush(At(2'201));
  CHECK(leader.SentJobs().back() == "next");
}

// Guards against a batch that waited for its turn while its sender was restarted: the leader would
// take the new process for lost.
TEST_CASE("results of an earlier process that waited are ignored") {
  LeaderFixture leader;
  leader.HearOf(2, 1'100);
  leader.Start("job");
  leader.delegator.Flush(At(1'101));
  leader.Confirm(1, leader.link.calls.front().number, 1'110);
  CHECK(leader.statuses.empty());
  CHECK(leader.delegator.PendingCalls() == 1);
  leader.Confirm(2, leader.link.calls.front().number, 1'120);
  CHECK(leader.statuses["job"] == CallStatus::kDone);
}

// Guards against a leader that is behind and takes its delegates for lost because their signs of
// life wait behind their results. It would send all requests itself and fall further behind.
TEST_CASE("heartbeats don't wait behind results, and results are handled together") {
  constexpr int kMessages = 200;
  net::EventLoop loop;
  NoCalls calls;
  const workload::WorkloadState state;
  std::vector<wire::Envelope> sent;
  Delegation delegation(
      loop, calls, state, "z", ManyTargets(),
      [&](const std::string&, const wire::Envelope& envelope) {
        sent.push_back(envelope);
        return true;
      },
      [] { return KnownLeader{"leader", kFence}; }, {});
  CallDelegator& delegator = delegation.Calls();
  delegator.BeginTerm(loop.Now(), kFence);
  ResultBatch batch;
  batch.fence = kFence;
  batch.incarnation = 1;
  batch.clock_us = 1;
  batch.leader_clock_us = loop.Now().time_since_epoch().count();
  // The delegate side of another replica encodes its heartbeat as this one does.
  delegation.Tick();
  REQUIRE(!sent.empty());
  const std::string heartbeat_kind = sent.front().kind;
  std::size_t handled = 0;
  delegation.OnEnvelope("d", {heartbeat_kind, EncodeResultBatch(batch)});
  CHECK(delegator.DelegateCount() == 1);
  for (int i = 0; i < kMessages; ++i) {
    delegator.Start({"10.0.0.1:80", {"t", 1}, ""}, {},
                    [&](base::TimePoint, const CallResponse&) { ++handled; });
  }
  // Other replicas are heard behind 200 messages of this one.
  for (std::uint64_t number = 1; number <= kMessages; ++number) {
    ResultBatch results = batch;
    results.results.push_back({number, CallStatus::kDone, {}, {}});
    delegation.OnEnvelope("d", {"results", EncodeResultBatch(results)});
  }
  delegation.OnEnvelope("e", {heartbeat_kind, EncodeResultBatch(batch)});
  CHECK(delegator.DelegateCount() == 2);
  CHECK(handled == 0);
  loop.Post([&] { loop.Stop(); });
  loop.Run();
  CHECK(handled > kMessages / 4);
}

// Guards against a new leader that polls a large fleet by itself in the moment before it hears of
// its delegates, and has no time for anything else meanwhile.
TEST_CASE("a new leader waits a moment for its delegates") {
  LeaderFixture leader;
  CHECK_FALSE(leader.delegator.IsReady(At(1'149)));
  CHECK(leader.delegator.IsReady(At(1'150)));
  NoCalls direct;
  SentCalls link;
  CallDelegator alone(direct, link, ManyTargets());
  alone.BeginTerm(At(1'000), kFence);
  CHECK_FALSE(alone.IsReady(At(1'399)));
  CHECK(alone.IsReady(At(1'400)));
  ReportHandlers few = ManyTargets();
  few.target_count = [] { return std::size_t{50}; };
  CallDelegator small(direct, link, few);
  small.BeginTerm(At(1'000), kFence);
  CHECK(small.IsReady(At(1'000)));
}

// Guards against a leader that was suspended and sends what it decided before: another replica may
// lead meanwhile.
TEST_CASE("calls that waited while the process was suspended aren't sent") {
  LeaderFixture leader;
  leader.delegator.Tick(At(1'050));
  leader.Start("before");
  leader.HearOf(1, 4'000);
  SECTION("the flush comes first") { leader.delegator.Flush(At(4'000)); }
  SECTION("the timer comes first") { leader.delegator.Tick(At(4'000)); }
  CHECK(leader.link.calls.empty());
  CHECK(leader.statuses["before"] == CallStatus::kNotCarried);
  leader.delegator.Tick(At(4'050));
  leader.Start("after");
  leader.delegator.Flush(At(4'051));
  CHECK(leader.SentJobs() == std::vector<std::string>{"after"});
}

// Guards against a message whose size grows with the number of tasks of a step times the payload.
TEST_CASE("the tasks of a step share their payload in a message") {
  CallBatch batch;
  for (std::uint32_t i = 0; i < 100; ++i) {
    StartRequest start;
    start.task = {"0123456789abcdef", 0, 0, i};
    start.payload = std::string(4'000, i < 50 ? 'a' : 'b');
    batch.calls.push_back({i, {"10.0.0.1:80", {"t", 1}, ""}, start});
    batch.calls.push_back({1'000 + i, {"10.0.0.1:80", {"t", 1}, ""}, PollRequest{}});
  }
  const std::string bytes = EncodeCallBatch(batch);
  CHECK(bytes.size() < 40'000);
  const CallBatch decoded = support::Required(DecodeCallBatch(bytes));
  REQUIRE(decoded.calls.size() == batch.calls.size());
  for (std::size_t i = 0; i < batch.calls.size(); ++i) {
    const auto* sent = std::get_if<StartRequest>(&batch.calls[i].request);
    const auto* received = std::get_if<StartRequest>(&decoded.calls[i].request);
    REQUIRE((sent == nullptr) == (received == nullptr));
    if (sent != nullptr) CHECK(received->payload == sent->payload);
  }
}

}  // namespace
}  // namespace mangoroad::controller
