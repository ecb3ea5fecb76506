#include <catch2/catch.hpp>
#include <numeric>

#include "lending/fair_share.h"
#include "lending/holder.h"
#include "lending/lending_codec.h"
#include "lending/lending_target.h"
#include "lending/owner.h"

namespace mangoroad::lending {
namespace {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};

LendingTarget MakeTarget(Amount capacity = {8, 64}) {
  return LendingTarget({"t1", "127.0.0.1:9", 1, capacity, {"a", "b"}});
}

// Returns the announcement of `target`, which must be due at `now`.
OutgoingAnnouncement Due(TimePoint now, LendingTarget& target) {
  auto sent = target.Tick(now);
  if (!sent) FAIL("no announcement is due");
  return sent.value_or(OutgoingAnnouncement{});
}

// Announces `target` twice, after which `owner` owns it.
void Acquire(TimePoint now, Owner& owner, LendingTarget& target) {
  for (int i = 0; i < 2; ++i) {
    const OutgoingAnnouncement sent = Due(now + kAnnouncementInterval * i, target);
    target.OnResponse(now, sent.entry, owner.OnAnnouncement(now, sent.message));
  }
}

void Exchange(TimePoint now, Holder& holder, Owner& owner) {
  for (const BorrowRequest& sent : holder.Tick(now)) {
    holder.OnLendMessage(now, owner.OnBorrowRequest(now, sent));
  }
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

// Guards against ownership without proof that the target has received a response of this process.
TEST_CASE("a target is owned once it returns a nonce, until 1.5 s after the nonce was issued") {
  Owner owner("a#1", 1);
  LendingTarget target = MakeTarget();
  const AnnouncementResponse response = owner.OnAnnouncement(kStart, Due(kStart, target).message);
  CHECK_FALSE(response.owned);
  target.OnResponse(kStart + milliseconds(400), "a", response);
  const TimePoint later = kStart + milliseconds(400);
  CHECK(owner.OnAnnouncement(later, Due(later, target).message).owned);
  CHECK(owner.Find(kStart + milliseconds(1499), "t1"));
  CHECK_FALSE(owner.Find(kStart + milliseconds(1500), "t1"));
}

// Guards against an announcement that arrives after a newer one and replaces its state.
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

// Guards against two owners at once when the responses to the target are lost.
TEST_CASE("a target waits for the end of the old ownership and changes its epoch") {
  Owner owner("a#1", 1);
  LendingTarget target = MakeTarget();
  Acquire(kStart, owner, target);
  const TimePoint end = kStart + kOwnershipLeaseDuration + LeaseMargin(kOwnershipLeaseDuration);
  for (TimePoint now = kStart; now < end; now += milliseconds(5)) {
    target.Tick(now);
    REQUIRE(target.Entry() == "a");
  }
  const OutgoingAnnouncement next = Due(end + kAnnouncementInterval, target);
  CHECK(next.entry == "b");
  CHECK(next.message.fence == Fence{1, 2});
  CHECK(next.message.nonce == 0);
}

// Guards against a restarted entry VM that lends capacity under leases of its earlier process.
TEST_CASE("a restarted entry VM counts as another owner") {
  Owner before("a#1", 1);
  Owner after("a#2", 2);
  LendingTarget target = MakeTarget();
  Acquire(kStart, before, target);
  TimePoint now = kStart;
  while (target.CurrentFence() == Fence{1, 1}) {
    if (const auto sent = target.Tick(now)) {
      const AnnouncementResponse response = after.OnAnnouncement(now, sent->message);
      REQUIRE_FALSE(response.owned);
      target.OnResponse(now, "a", response);
    }
    now += milliseconds(5);
  }
  CHECK(now - kStart >= kOwnershipLeaseDuration);
}

// Guards against a request that starts after the process was paused for longer than the lease.
TEST_CASE("a holder acquires nothing after the end of its lease") {
  Owner owner("a#1", 1);
  LendingTarget target = MakeTarget();
  Acquire(kStart, owner, target);
  Holder holder("b#1");
  const TargetIndex index = holder.SetOwner("t1", "a#1", target.CurrentFence());
  holder.SetDemand(index, {2, 1});
  Exchange(kStart, holder, owner);
  CHECK(holder.AcquireSlot(kStart, index) == target.CurrentFence());
  CHECK(holder.AcquireSlot(kStart + kCapacityLeaseDuration - Duration(1), index));
  CHECK_FALSE(holder.AcquireSlot(kStart, index));
  holder.ReleaseSlot(index);
  CHECK_FALSE(holder.AcquireSlot(kStart + kCapacityLeaseDuration, index));
  CHECK(holder.OpenConnection(kStart, index));
  CHECK_FALSE(holder.OpenConnection(kStart, index));
}

// Guards against lending the slot of a dead holder to another one while its request may still run.
TEST_CASE(
    "the capacity of an expired lease is lent again only after a report taken after its end") {
  Owner owner("a#1", 1);
  LendingTarget target = MakeTarget({4, 4});
  Acquire(kStart, owner, target);
  Holder dead("b#1");
  const TargetIndex index = dead.SetOwner("t1", "a#1", target.CurrentFence());
  dead.SetDemand(index, {4, 0});
  Exchange(kStart, dead, owner);
  REQUIRE(target.StartRequest("b#1", dead.AcquireSlot(kStart, index).value_or(Fence{})) ==
          Refusal::kNone);

  Holder other("c#1");
  const TargetIndex other_index = other.SetOwner("t1", "a#1", target.CurrentFence());
  other.SetDemand(other_index, {4, 0});
  const TimePoint end = kStart + kCapacityLeaseDuration + LeaseMargin(kCapacityLeaseDuration);
  TimePoint now = kStart;
  TimePoint nonce_issued = kStart;
  while (now < kStart + milliseconds(4000)) {
    now += milliseconds(50);
    if (const auto sent = target.Tick(now)) {
      target.OnResponse(now, sent->entry, owner.OnAnnouncement(now, sent->message));
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
      target.OnResponse(now, sent->entry, owner.OnAnnouncement(now, sent->message));
    }
    Exchange(now, other, owner);
  }
  CHECK(other.Lent(now, other_index).slots == 4);
}

// Guards against a holder that keeps all slots while another holder has unmet demand.
TEST_CASE("slots are recalled, returned and lent to a holder with unmet demand") {
  Owner owner("a#1", 1);
  LendingTarget target = MakeTarget();
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
  for (const LendMessage& recall : owner.Tick(kStart)) {
    CHECK(recall.holder == "a#1");
    first.OnLendMessage(kStart, recall);
  }
  Exchange(kStart, first, owner);
  const TimePoint now = kStart + kRenewalInterval;
  Exchange(now, second, owner);
  CHECK(first.Lent(now, index).slots == 4);
  CHECK(second.Lent(now, index).slots == 4);
}

// Guards against new work on a leaving target, also when an earlier announcement arrives late.
TEST_CASE("a leaving target lends nothing") {
  Owner owner("a#1", 1);
  LendingTarget target = MakeTarget();
  Acquire(kStart, owner, target);
  Holder holder("b#1");
  const TargetIndex index = holder.SetOwner("t1", "a#1", target.CurrentFence());
  holder.SetDemand(index, {3, 0});
  Exchange(kStart, holder, owner);
  const auto late = target.Tick(kStart + kAnnouncementInterval);
  target.Leave(kStart);
  owner.OnAnnouncement(kStart, Due(kStart, target).message);
  if (late) owner.OnAnnouncement(kStart, late->message);
  CHECK_FALSE(owner.HasStoppedLending(kStart, "t1"));
  for (const LendMessage& recall : owner.Tick(kStart)) holder.OnLendMessage(kStart, recall);
  Exchange(kStart, holder, owner);
  CHECK(holder.Lent(kStart, index) == Amount{});
  CHECK(owner.HasStoppedLending(kStart, "t1"));
  CHECK(target.StartRequest("b#1", target.CurrentFence()) == Refusal::kLeaving);
}

// Guards against a decoder that accepts damaged input or loses a field.
TEST_CASE("messages are decoded as they were encoded, and damaged ones are refused") {
  const BorrowRequest borrow{
      "a#1", "b#1", 7, {{"t1", {3, 4}, 5, {6, 7}, {8, 9}}, {"t2", {}, 0, {}, {}}}};
  const LendMessage lend{"a#1", "b#1", 7, {{"t1", {3, 4}, 6, {1, 2}, milliseconds(900)}}};
  const auto borrow_read = DecodeBorrowRequest(Encode(borrow));
  REQUIRE(base::Ok(borrow_read));
  CHECK(Encode(base::ValueOf(borrow_read)) == Encode(borrow));
  CHECK(base::ValueOf(borrow_read).items[0].limit == Amount{8, 9});
  const auto lend_read = DecodeLendMessage(Encode(lend));
  REQUIRE(base::Ok(lend_read));
  CHECK(base::ValueOf(lend_read).items[0].duration == milliseconds(900));
  const std::string bytes = Encode(lend);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(base::Ok(DecodeLendMessage(std::string_view(bytes).substr(0, size))));
  }
  CHECK_FALSE(base::Ok(DecodeLendMessage(bytes + "x")));
  const std::string newer_version = std::string("\x95\x02") + Encode(borrow).substr(2);
  CHECK(base::ErrorOf(DecodeBorrowRequest(newer_version)).kind == CodecErrorKind::kUnknownVersion);
}

}  // namespace
}  // namespace mangoroad::lending
