#include <catch2/catch.hpp>
#include <numeric>

#include "lending/fair_share.h"
#include "lending/holder.h"
#include "lending/lending_codec.h"
#include "lending/owner.h"
#include "lending/target_side.h"

namespace mangoroad::lending {
namespace {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};

TargetSide MakeTarget(Amount capacity = {8, 64}) {
  return TargetSide({"t1", "127.0.0.1:9", 1, capacity, {"a", "b"}});
}

// The announcement that must be due at `now`.
OutgoingAnnouncement Due(TimePoint now, TargetSide& target) {
  auto sent = target.Tick(now);
  if (!sent) FAIL("no announcement is due");
  return sent.value_or(OutgoingAnnouncement{});
}

// Announces twice, so that `owner` owns the target.
void Acquire(TimePoint now, Owner& owner, TargetSide& target) {
  for (int i = 0; i < 2; ++i) {
    const OutgoingAnnouncement sent = Due(now + kAnnounceEvery * i, target);
    target.OnReply(now, sent.entry, owner.OnAnnouncement(now, sent.message));
  }
}

void Exchange(TimePoint now, Holder& holder, Owner& owner) {
  for (const Borrow& sent : holder.Tick(now)) holder.OnLend(now, owner.OnBorrow(now, sent));
}

// Guards against a starved holder and against shares beyond demand or capacity.
TEST_CASE("fair shares") {
  struct Row {
    std::int32_t capacity;
    std::vector<std::int32_t> demand;
    std::size_t first;
    std::vector<std::int32_t> shares;
  };
  const auto row = GENERATE(Row{8, {8, 8, 8}, 0, {3, 3, 2}}, Row{8, {1, 20, 2}, 0, {1, 5, 2}},
                            Row{8, {100, 1}, 0, {7, 1}}, Row{2, {5, 5, 5}, 1, {0, 1, 1}},
                            Row{8, {2, 0, 1}, 0, {2, 0, 1}}, Row{0, {3}, 0, {0}});
  CHECK(FairShares(row.capacity, row.demand, row.first) == row.shares);
}

// Guards against ownership without proof that the target has heard this process.
TEST_CASE("a target is owned once it returns a nonce, until 1.5 s after the issue") {
  Owner owner("a#1", 1);
  TargetSide target = MakeTarget();
  const AnnounceReply reply = owner.OnAnnouncement(kStart, Due(kStart, target).message);
  CHECK_FALSE(reply.owned);
  target.OnReply(kStart + milliseconds(400), "a", reply);
  const TimePoint later = kStart + milliseconds(400);
  CHECK(owner.OnAnnouncement(later, Due(later, target).message).owned);
  CHECK(owner.Find(kStart + milliseconds(1499), "t1"));
  CHECK_FALSE(owner.Find(kStart + milliseconds(1500), "t1"));
}

// Guards against an announcement that was sent before a newer one and arrives after it.
TEST_CASE("an announcement with an older nonce than the last returned one changes nothing") {
  Owner owner("a#1", 1);
  Announcement announcement{"t1", "", {1, 1}, 0, {8, 64}, {}, false};
  const std::uint64_t older = owner.OnAnnouncement(kStart, announcement).nonce;
  announcement.nonce = owner.OnAnnouncement(kStart, announcement).nonce;
  announcement.capacity = {2, 2};
  REQUIRE(owner.OnAnnouncement(kStart, announcement).owned);
  announcement.nonce = older;
  announcement.capacity = {8, 64};
  owner.OnAnnouncement(kStart, announcement);
  CHECK(owner.Targets(kStart).at(0).capacity == Amount{2, 2});
}

// Guards against two owners at once when the answers to the target are lost.
TEST_CASE("a target waits for the end of the old ownership and changes its epoch") {
  Owner owner("a#1", 1);
  TargetSide target = MakeTarget();
  Acquire(kStart, owner, target);
  const TimePoint end = kStart + kOwnershipLength + Allowance(kOwnershipLength);
  for (TimePoint now = kStart; now < end; now += milliseconds(5)) {
    target.Tick(now);
    REQUIRE(target.Entry() == "a");
  }
  const OutgoingAnnouncement next = Due(end + kAnnounceEvery, target);
  CHECK(next.entry == "b");
  CHECK(next.message.fence == Fence{1, 2});
  CHECK(next.message.nonce == 0);
}

// Guards against a new process of an entry VM that lends what its earlier process has lent.
TEST_CASE("a restarted entry VM counts as another owner") {
  Owner before("a#1", 1);
  Owner after("a#2", 2);
  TargetSide target = MakeTarget();
  Acquire(kStart, before, target);
  TimePoint now = kStart;
  while (target.CurrentFence() == Fence{1, 1}) {
    if (const auto sent = target.Tick(now)) {
      const AnnounceReply reply = after.OnAnnouncement(now, sent->message);
      REQUIRE_FALSE(reply.owned);
      target.OnReply(now, "a", reply);
    }
    now += milliseconds(5);
  }
  CHECK(now - kStart >= kOwnershipLength);
}

// Guards against a request that starts after a pause longer than the loan.
TEST_CASE("a holder starts nothing after the end of its loan") {
  Owner owner("a#1", 1);
  TargetSide target = MakeTarget();
  Acquire(kStart, owner, target);
  Holder holder("b#1");
  const TargetIndex index = holder.SetOwner("t1", "a#1", target.CurrentFence());
  holder.SetDemand(index, {2, 1});
  Exchange(kStart, holder, owner);
  CHECK(holder.Start(kStart, index) == target.CurrentFence());
  CHECK(holder.Start(kStart + kLoanLength - Duration(1), index));
  CHECK_FALSE(holder.Start(kStart, index));
  holder.End(index);
  CHECK_FALSE(holder.Start(kStart + kLoanLength, index));
  CHECK(holder.OpenConnection(kStart, index));
  CHECK_FALSE(holder.OpenConnection(kStart, index));
}

// Guards against lending a slot of a dead holder again while its request may still run.
TEST_CASE("an ended loan is lent again only on a report taken after its end") {
  Owner owner("a#1", 1);
  TargetSide target = MakeTarget({4, 4});
  Acquire(kStart, owner, target);
  Holder dead("b#1");
  const TargetIndex index = dead.SetOwner("t1", "a#1", target.CurrentFence());
  dead.SetDemand(index, {4, 0});
  Exchange(kStart, dead, owner);
  REQUIRE(target.StartRequest("b#1", dead.Start(kStart, index).value_or(Fence{})) ==
          Refusal::kNone);

  Holder other("c#1");
  const TargetIndex other_index = other.SetOwner("t1", "a#1", target.CurrentFence());
  other.SetDemand(other_index, {4, 0});
  const TimePoint end = kStart + kLoanLength + Allowance(kLoanLength);
  TimePoint now = kStart;
  TimePoint nonce_issued = kStart;
  while (now < kStart + milliseconds(4000)) {
    now += milliseconds(50);
    if (const auto sent = target.Tick(now)) {
      target.OnReply(now, sent->entry, owner.OnAnnouncement(now, sent->message));
      if (nonce_issued < end) REQUIRE(other.Lent(now, other_index) == Amount{});
      nonce_issued = now;
    }
    Exchange(now, other, owner);
  }
  CHECK(other.Lent(now, other_index).slots == 3);
  target.EndRequest("b#1");
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(50);
    if (const auto sent = target.Tick(now)) {
      target.OnReply(now, sent->entry, owner.OnAnnouncement(now, sent->message));
    }
    Exchange(now, other, owner);
  }
  CHECK(other.Lent(now, other_index).slots == 4);
}

// Guards against a holder that keeps everything while another one has unmet demand.
TEST_CASE("slots move to the holder with unmet demand by recall and return") {
  Owner owner("a#1", 1);
  TargetSide target = MakeTarget();
  Acquire(kStart, owner, target);
  Holder first("a#1");
  Holder second("b#1");
  const TargetIndex index = first.SetOwner("t1", "a#1", target.CurrentFence());
  second.SetOwner("t1", "a#1", target.CurrentFence());
  first.SetDemand(index, {8, 0});
  Exchange(kStart, first, owner);
  CHECK(first.Lent(kStart, index).slots == 8);
  second.SetDemand(index, {8, 0});
  Exchange(kStart, second, owner);
  CHECK(second.Lent(kStart, index).slots == 0);
  for (const Lend& recall : owner.Tick(kStart)) {
    CHECK(recall.holder == "a#1");
    first.OnLend(kStart, recall);
  }
  Exchange(kStart, first, owner);
  const TimePoint now = kStart + kRenewEvery;
  Exchange(now, second, owner);
  CHECK(first.Lent(now, index).slots == 4);
  CHECK(second.Lent(now, index).slots == 4);
}

// Guards against new work on a target that leaves, and against undoing it by a late announcement.
TEST_CASE("a leaving target lends nothing") {
  Owner owner("a#1", 1);
  TargetSide target = MakeTarget();
  Acquire(kStart, owner, target);
  Holder holder("b#1");
  const TargetIndex index = holder.SetOwner("t1", "a#1", target.CurrentFence());
  holder.SetDemand(index, {3, 0});
  Exchange(kStart, holder, owner);
  const auto late = target.Tick(kStart + kAnnounceEvery);
  target.Leave(kStart);
  owner.OnAnnouncement(kStart, Due(kStart, target).message);
  if (late) owner.OnAnnouncement(kStart, late->message);
  CHECK_FALSE(owner.StoppedLending(kStart, "t1"));
  for (const Lend& recall : owner.Tick(kStart)) holder.OnLend(kStart, recall);
  Exchange(kStart, holder, owner);
  CHECK(holder.Lent(kStart, index) == Amount{});
  CHECK(owner.StoppedLending(kStart, "t1"));
  CHECK(target.StartRequest("b#1", target.CurrentFence()) == Refusal::kLeaving);
}

// Guards against a decoder that accepts damaged input or loses a field.
TEST_CASE("messages survive encoding, and damaged ones are refused") {
  const Borrow borrow{"a#1", "b#1", 7, {{"t1", {3, 4}, 5, {6, 7}, {8, 9}}, {"t2", {}, 0, {}, {}}}};
  const Lend lend{"a#1", "b#1", 7, {{"t1", {3, 4}, 6, {1, 2}, milliseconds(900)}}};
  const auto borrow_read = DecodeBorrow(Encode(borrow));
  REQUIRE(base::Ok(borrow_read));
  CHECK(Encode(base::ValueOf(borrow_read)) == Encode(borrow));
  CHECK(base::ValueOf(borrow_read).items[0].held == Amount{8, 9});
  const auto lend_read = DecodeLend(Encode(lend));
  REQUIRE(base::Ok(lend_read));
  CHECK(base::ValueOf(lend_read).items[0].length == milliseconds(900));
  const std::string bytes = Encode(lend);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(base::Ok(DecodeLend(std::string_view(bytes).substr(0, size))));
  }
  CHECK_FALSE(base::Ok(DecodeLend(bytes + "x")));
  const std::string newer_version = std::string("\x95\x02") + Encode(borrow).substr(2);
  CHECK(base::ErrorOf(DecodeBorrow(newer_version)).kind == CodecErrorKind::kUnknownVersion);
}

}  // namespace
}  // namespace mangoroad::lending
