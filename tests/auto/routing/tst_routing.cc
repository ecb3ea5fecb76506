#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "lending/owner.h"
#include "routing/connections.h"
#include "routing/fair_queue.h"
#include "routing/holder_slots.h"
#include "routing/limits.h"
#include "routing/router.h"

namespace mangoroad::routing {
namespace {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};

// Slots without capacity leases: each target has a fixed number.
class FixedSlots : public SlotSource {
 public:
  FixedSlots(int targets, int slots) : free(targets, slots) {}
  std::optional<lending::Fence> Acquire(TimePoint /*now*/, TargetIndex target) override {
    if (this->free[target] <= 0) return std::nullopt;
    --this->free[target];
    return lending::Fence{1, 1};
  }
  void Release(TargetIndex target) override { ++this->free[target]; }
  void Abandon(TargetIndex target, TimePoint /*until*/) override { ++this->abandoned[target]; }
  int FreeSlots(TimePoint /*now*/, TargetIndex target) const override { return this->free[target]; }

  std::vector<int> free;
  std::map<TargetIndex, int> abandoned;
};

struct Fixture {
  explicit Fixture(std::vector<RowSpec> rows, int targets = 2, int slot_count = 1,
                   const RouterSettings& settings = {})
      : slots(targets, slot_count), router(settings, slots) {
    this->router.SetRows(std::move(rows));
    for (int target = 0; target < targets; ++target) {
      this->router.SetTarget(kStart, static_cast<TargetIndex>(target), true);
    }
  }
  Actions Submit(TimePoint now, RequestId id, RowIndex row = 0,
                 Duration deadline = milliseconds(1000), bool relayed = false) {
    this->router.Submit(now, {id, row, now + deadline, relayed});
    return this->router.TakeActions();
  }
  Actions End(TimePoint now, RequestId id, int attempt, AttemptResult result) {
    this->router.OnAttemptEnd(now, {id, attempt, result});
    return this->router.TakeActions();
  }
  Actions Tick(TimePoint now) {
    this->router.Tick(now);
    return this->router.TakeActions();
  }

  FixedSlots slots;
  Router router;
};

RowSpec Row(bool idempotent, int retries) { return {"r", 1, 0, 0, retries, idempotent, {}}; }

// Guards against a strategy that chooses a target without free slots or never chooses one with free
// slots.
TEST_CASE("each strategy chooses only targets with free slots, and all of them") {
  const auto entry = GENERATE(from_range(kStrategyNames));
  const auto strategy = MakeStrategy(entry.first);
  LoadIndex index;
  base::Random random(3);
  CHECK_FALSE(strategy->Choose(index, random, std::nullopt));
  for (TargetIndex target = 0; target < 20; ++target) {
    index.SetFree(target, target % 2 == 0 ? 2 : 0);
  }
  std::set<TargetIndex> chosen;
  for (int i = 0; i < 40; ++i) {
    const auto target = strategy->Choose(index, random, std::nullopt);
    if (!target) break;
    REQUIRE(*target % 2 == 0);
    chosen.insert(*target);
    TargetLoad& load = index.Load(*target);
    ++load.in_flight;
    index.SetFree(*target, load.free - 1);
  }
  CHECK(chosen.size() == 10);
  CHECK(index.Available().empty());
  CHECK(index.MostFree() == nullptr);
}

// Guards against a row that gets more than its share by weight while another row waits.
TEST_CASE("the fair queue serves rows by weight") {
  FairQueue queue;
  queue.SetWeight(0, 1);
  queue.SetWeight(1, 3);
  for (RequestId id = 0; id < 100; ++id) {
    queue.Push(0, id);
    queue.Push(1, id);
  }
  CHECK(queue.Share(1) == Approx(0.75));
  int of_second = 0;
  for (int i = 0; i < 80; ++i) {
    of_second += queue.Pop().value_or(std::pair(RowIndex{0}, RequestId{0})).first == 1 ? 1 : 0;
  }
  CHECK(of_second == Approx(60).margin(1));
}

// Guards against a second run of a non-idempotent request whose first attempt may have run.
TEST_CASE("only idempotent requests and those that provably did not run are retried") {
  struct Case {
    bool idempotent;
    AttemptResult result;
    bool retried;
    Outcome outcome;
  };
  const auto c = GENERATE(Case{false, AttemptResult::kBroken, false, Outcome::kUnknown},
                          Case{true, AttemptResult::kBroken, true, Outcome::kUnknown},
                          Case{false, AttemptResult::kRefused, true, Outcome::kNotRun},
                          Case{false, AttemptResult::kNotSent, true, Outcome::kNotRun});
  Fixture fixture({Row(c.idempotent, 1)});
  REQUIRE(fixture.Submit(kStart, 1).send.size() == 1);
  Actions actions = fixture.End(kStart, 1, 1, c.result);
  CHECK(actions.refuse.empty() == c.retried);
  if (c.retried) {
    actions = fixture.Tick(kStart + milliseconds(200));
    REQUIRE(actions.send.size() == 1);
    actions = fixture.End(kStart + milliseconds(200), 1, 2, c.result);
  }
  REQUIRE(actions.refuse.size() == 1);
  CHECK(actions.refuse[0].outcome == c.outcome);
}

// Guards against a retry storm: retries must stay a small fraction of the first attempts.
TEST_CASE("the retry budget bounds retries") {
  Fixture fixture({Row(true, 5)}, 4, 1000);
  TimePoint now = kStart;
  for (RequestId id = 0; id < 500; ++id) {
    now += milliseconds(2);
    std::vector<SendAction> sends = fixture.Submit(now, id).send;
    while (!sends.empty()) {
      const SendAction send = sends.back();
      sends.pop_back();
      fixture.End(now, send.id, send.attempt, AttemptResult::kRefused);
    }
    for (const SendAction& send : fixture.Tick(now).send) {
      fixture.End(now, send.id, send.attempt, AttemptResult::kRefused);
    }
  }
  CHECK(fixture.router.Counts().retries <= 10 + 50);
  CHECK(fixture.router.Counts().retries >= 10);
}

// Guards against an attempt after the deadline and against a wrong outcome of an expired request.
TEST_CASE("a request past its deadline is refused, as not-run only when it was never sent") {
  Fixture fixture({Row(false, 0)}, 1, 1);
  fixture.Submit(kStart, 1, 0, milliseconds(10));
  fixture.Submit(kStart, 2, 0, milliseconds(10));
  const Actions actions = fixture.Tick(kStart + milliseconds(10));
  REQUIRE(actions.refuse.size() == 2);
  for (const RefuseAction& refuse : actions.refuse) {
    CHECK(refuse.kind == RefusalKind::kDeadline);
    CHECK(refuse.outcome == (refuse.id == 1 ? Outcome::kUnknown : Outcome::kNotRun));
  }
  CHECK(actions.send.empty());
  CHECK(fixture.slots.abandoned[0] == 1);
}

// Guards against limits that aren't enforced and refusals with the wrong kind.
TEST_CASE("each refusal has the kind of its cause") {
  RowSpec inflight = Row(false, 0);
  inflight.limit_inflight = 1;
  RowSpec rate = Row(false, 0);
  rate.limit_rate = 10;
  Fixture fixture({inflight, rate}, 2, 5);
  CHECK(fixture.Submit(kStart, 1, 9).refuse.at(0).kind == RefusalKind::kUnknownRow);
  CHECK(fixture.Submit(kStart, 2, 0).refuse.empty());
  CHECK(fixture.Submit(kStart, 3, 0).refuse.at(0).kind == RefusalKind::kOverLimit);
  CHECK(fixture.Submit(kStart, 4, 1).refuse.empty());
  const Actions limited = fixture.Submit(kStart, 5, 1);
  CHECK(limited.refuse.at(0).kind == RefusalKind::kOverLimit);
  CHECK(limited.refuse.at(0).retry_after == milliseconds(100));
  CHECK(fixture.Submit(kStart + milliseconds(100), 6, 1).refuse.empty());
  for (TargetIndex target = 0; target < 2; ++target) {
    fixture.router.SetTarget(kStart, target, false);
  }
  CHECK(fixture.Submit(kStart + milliseconds(500), 7, 1).refuse.at(0).kind ==
        RefusalKind::kNoTarget);
  fixture.router.Drain();
  CHECK(fixture.Submit(kStart, 8, 1).refuse.at(0).kind == RefusalKind::kDraining);
}

// Guards against two responses to one caller, and against a hedge of a non-idempotent request.
TEST_CASE("a slow idempotent request is hedged and the loser is cancelled") {
  const bool idempotent = GENERATE(true, false);
  Fixture fixture({Row(idempotent, 1)}, 4, 4);
  TimePoint now = kStart;
  for (RequestId id = 0; id < 50; ++id) {
    fixture.Submit(now, id);
    now += milliseconds(10);
    fixture.End(now, id, 1, AttemptResult::kRan);
  }
  const TargetIndex first = fixture.Submit(now, 100).send.at(0).target;
  now += milliseconds(100);
  const Actions hedged = fixture.Tick(now);
  REQUIRE(hedged.send.size() == (idempotent ? 1 : 0));
  if (!idempotent) return;
  CHECK(hedged.send[0].hedge);
  CHECK(hedged.send[0].target != first);
  const Actions ended = fixture.End(now, 100, 2, AttemptResult::kRan);
  REQUIRE(ended.complete.size() == 1);
  CHECK(ended.complete[0].attempt == 2);
  REQUIRE(ended.cancel.size() == 1);
  CHECK(ended.cancel[0].attempt == 1);
  CHECK(fixture.End(now, 100, 1, AttemptResult::kRan).complete.empty());
}

// Guards against a failing target that keeps its traffic, and against ejecting healthy targets
// because of a row that fails everywhere.
TEST_CASE("outlier detection distinguishes a failing target from a failing kind of work") {
  TargetHealth health(1);
  health.SetTargetCount(10);
  base::Random random(5);
  TimePoint now = kStart;
  for (int i = 0; i < 4000; ++i) {
    now += milliseconds(1);
    const TargetIndex target = random.Below(10);
    const RowIndex row = random.Below(2);
    // Row 1 fails everywhere from the start; target 3 fails all rows from the middle on.
    const bool fault = row == 1 || (i > 2000 && target == 3);
    health.OnResult(now, target, row, fault, false);
    if (i <= 2000) {
      for (TargetIndex t = 0; t < 10; ++t) REQUIRE(health.StateOf(t) == BreakerState::kClosed);
    }
  }
  for (TargetIndex t = 0; t < 10; ++t) {
    CHECK((health.StateOf(t) == BreakerState::kClosed) == (t != 3));
  }
}

// Guards against a common fault that ejects all targets, and against a recovery at full load.
TEST_CASE("at most 30% of the targets are ejected, and they recover gradually") {
  TargetHealth health(1);
  health.SetTargetCount(10);
  for (int i = 0; i < 50; ++i) {
    for (TargetIndex t = 0; t < 10; ++t) health.OnResult(kStart, t, 0, true, true);
  }
  std::vector<TargetIndex> open;
  for (TargetIndex t = 0; t < 10; ++t) {
    if (health.StateOf(t) == BreakerState::kOpen) open.push_back(t);
  }
  REQUIRE(open.size() == 3);
  const TimePoint later = kStart + std::chrono::seconds(2);
  CHECK(health.Tick(later).size() == 3);
  std::vector<int> limits;
  while (health.StateOf(open[0]) == BreakerState::kHalfOpen) {
    const int max_in_flight = health.MaxInFlight(open[0]);
    if (limits.empty() || limits.back() != max_in_flight) limits.push_back(max_in_flight);
    health.OnResult(later, open[0], 0, false, false);
  }
  CHECK(limits == std::vector<int>{1, 2, 4, 8});
  health.OnResult(later, open[1], 0, true, true);
  CHECK(health.StateOf(open[1]) == BreakerState::kOpen);
}

// Guards against a concurrency limit that stays low after an overload.
TEST_CASE("the adaptive limit decreases when latency rises and recovers afterwards") {
  AdaptiveLimit limit;
  TimePoint now = kStart;
  // Beyond `knee` requests in flight, latency grows with their number.
  const auto run = [&](int responses, int offered, int knee) {
    for (int i = 0; i < responses; ++i) {
      const int in_flight = std::min(offered, limit.Limit());
      const Duration latency = Duration(10000 * std::max(knee, in_flight) / knee);
      now += latency / in_flight;
      limit.OnResponse(now, latency, in_flight);
    }
  };
  run(5000, 50, 50);
  run(50000, 400, 50);
  const int low = limit.Limit();
  CHECK(low <= 165);
  run(200000, 400, 400);
  CHECK(limit.Limit() >= 400);
}

// Guards against a limit that falls to its minimum because only short requests complete before
// their deadline, for example after a start with a load of ten times the capacity.
TEST_CASE("the adaptive limit ignores the short latencies of an interval with cancelled requests") {
  AdaptiveLimit limit;
  TimePoint now = kStart;
  for (int i = 0; i < 5000; ++i) {
    now += milliseconds(1);
    limit.OnResponse(now, milliseconds(1), 100);
    limit.OnCancelled(milliseconds(1));
  }
  for (int i = 0; i < 5000; ++i) {
    now += milliseconds(1);
    limit.OnResponse(now, milliseconds(10), 100);
  }
  CHECK(limit.Limit() >= 1000);
}

// Guards against a relay that takes longer than waiting here, and against a second relay.
TEST_CASE("requests spill over only when the next domain responds sooner than the local queue") {
  RowSpec row = Row(false, 0);
  row.place = {"north", "south"};
  RouterSettings settings;
  settings.domain = "north";
  Fixture fixture({row}, 1, 1, settings);
  TimePoint now = kStart;
  for (RequestId id = 0; id < 50; ++id) {
    fixture.Submit(now, id);
    now += milliseconds(10);
    fixture.End(now, id, 1, AttemptResult::kRan);
  }
  fixture.router.SetDomains({{"south", milliseconds(8), Duration(0), true}});
  CHECK(fixture.Submit(now, 100).send.size() == 1);
  CHECK(fixture.Submit(now, 101).relay.empty());
  CHECK(fixture.Submit(now, 102, 0, milliseconds(1000), true).relay.empty());
  CHECK(fixture.Submit(now, 103).relay.at(0).domain == "south");
  fixture.router.OnRelayEnd(now, 103, Outcome::kNotRun);
  CHECK(fixture.router.TakeActions().relay.empty());
  CHECK(fixture.router.Waiting() == 3);
}

// Guards against a request on a connection whose peer may be unreachable.
TEST_CASE("the reuse of a connection depends on its idle time and last contact") {
  struct Case {
    Duration idle, since_last_contact;
    bool idempotent, usable;
  };
  const auto c = GENERATE(Case{milliseconds(900), milliseconds(900), false, true},
                          Case{milliseconds(1100), milliseconds(1100), false, false},
                          Case{milliseconds(5000), milliseconds(500), false, true},
                          Case{milliseconds(5000), milliseconds(5000), true, true},
                          Case{milliseconds(100), milliseconds(11000), true, false});
  CHECK(MayUseConnection(kStart, kStart - c.idle, kStart - c.since_last_contact, c.idempotent) ==
        c.usable);
}

// Guards against sessions that use slots, concentrate on one target or exceed the lent connections.
TEST_CASE("sessions use connections and spread over the targets") {
  lending::Owner owner("a#1", 1);
  lending::Holder holder("a#1");
  HolderSlots slots(holder);
  std::vector<TargetIndex> targets;
  for (const std::string name : {"t1", "t2", "t3"}) {
    lending::Announcement announcement{name, "", {1, 1}, 0, {8, 10}, {}, false};
    announcement.nonce = owner.OnAnnouncement(kStart, announcement).nonce;
    owner.OnAnnouncement(kStart, announcement);
    targets.push_back(holder.SetOwner(name, "a#1", {1, 1}));
  }
  slots.SpreadDemand(targets, 8, 21);
  for (const lending::BorrowRequest& borrow : holder.Tick(kStart)) {
    holder.OnLendMessage(kStart, owner.OnBorrowRequest(kStart, borrow));
  }
  base::Random random(4);
  int opened = 0;
  while (slots.OpenSession(kStart, targets, random)) {
    ++opened;
    if (opened == 12) {
      for (const TargetIndex target : targets) {
        CHECK(holder.InUse(target).connections >= 2);
        CHECK(holder.InUse(target).slots == 0);
      }
    }
  }
  CHECK(opened <= 21);
  CHECK(opened >= 19);
  CHECK_FALSE(slots.OpenSession(kStart + lending::kCapacityLeaseDuration, targets, random));
}

// Guards against a burst of reconnects when a target with many sessions leaves.
TEST_CASE("sessions of a leaving target reconnect at a limited rate") {
  SessionTracker tracker(50);
  for (SessionId session = 0; session < 64; ++session) tracker.Open(session, 1);
  tracker.Open(100, 2);
  tracker.Drain(1);
  std::size_t reconnected = 0;
  TimePoint now = kStart;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(10);
    const auto due = tracker.TakeReconnects(now);
    REQUIRE(due.size() <= 5);
    reconnected += due.size();
    if (i == 50) CHECK(reconnected <= 32);
  }
  CHECK(reconnected == 64);
}

}  // namespace
}  // namespace mangoroad::routing
