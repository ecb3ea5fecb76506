#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "target_protocol.h"

namespace mangoroad::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

Identity SmallTarget() {
  Identity identity;
  identity.id = "t1";
  identity.incarnation = 7;
  identity.slots = 2;
  identity.connections = 2;
  return identity;
}

std::string Reply(std::uint64_t nonce, bool owned) {
  return json{{"nonce", nonce}, {"owned", owned}, {"announce_every_ms", 500}}.dump();
}

// Status of the refusal, or 200.
int StatusOf(const std::optional<Refusal>& refusal) { return refusal ? refusal->status : 200; }

class Announcing {
 public:
  // Runs until the next announcement and returns it.
  Announcement Next() {
    for (int i = 0; i < 10'000; ++i) {
      if (auto due = this->target.Tick(this->now)) return *due;
      this->now += milliseconds(1);
    }
    FAIL("no announcement in 10 s");
    return {};
  }
  void Answer(const Announcement& announcement, int status, const std::string& body) {
    this->target.OnReply(this->now, announcement.epoch, status, body);
  }

  TargetProtocol target{SmallTarget(), 3, 0};
  base::TimePoint now{};
};

// Guards against two owners at once: the old one's right must have ended before another hears of
// the target.
TEST_CASE("another entry VM is announced to only after the last nonce has aged out") {
  const bool never_owns = GENERATE(false, true);
  Announcing a;
  const Announcement first = a.Next();
  CHECK(json::parse(first.body)["nonce"] == 0);
  a.Answer(first, 200, Reply(41, false));
  base::TimePoint received = a.now;
  const Announcement second = a.Next();
  CHECK(json::parse(second.body)["nonce"] == 41);
  CHECK(second.entry == first.entry);
  for (Announcement next = second; next.entry == first.entry; next = a.Next()) {
    REQUIRE(a.now < base::TimePoint(std::chrono::seconds(10)));
    if (never_owns) {
      a.Answer(next, 200, Reply(42, false));
      received = a.now;
    } else {
      a.Answer(next, 0, "");
    }
  }
  CHECK(a.target.Entry() != first.entry);
  CHECK(a.target.Epoch() == first.epoch + 1);
  CHECK(a.now - received >= TargetProtocol::kOwnership + TargetProtocol::kAllowance);
}

// Guards against a leave that skips the wait for the old owner's right to end.
TEST_CASE("leaving doesn't shorten the wait before a change of owner") {
  Announcing a;
  while (a.target.Epoch() == 1) a.Answer(a.Next(), 200, Reply(41, false));
  const base::TimePoint received = a.now;
  a.target.Leave(a.now);
  CHECK(a.Next().entry == 1);
  CHECK(a.now - received >= TargetProtocol::kOwnership + TargetProtocol::kAllowance);
}

// Guards against an answer that arrives after the change of owner and revives the old one.
TEST_CASE("a late answer of an earlier epoch is ignored") {
  Announcing a;
  const Announcement first = a.Next();
  a.Answer(first, 0, "");
  REQUIRE(a.target.Epoch() == first.epoch + 1);
  a.Answer(first, 200, Reply(99, true));
  CHECK_FALSE(a.target.IsOwned());
  CHECK(json::parse(a.Next().body)["nonce"] == 0);
}

// Guards against work beyond the slots, and against work sent under an ended ownership.
TEST_CASE("requests are refused with an old fence and beyond the slots") {
  Announcing a;
  const std::string old_fence = a.target.Fence();
  CHECK_FALSE(a.target.StartRequest("vm1", old_fence, "row"));
  a.Answer(a.Next(), 0, "");
  CHECK(StatusOf(a.target.StartRequest("vm1", old_fence, "row")) == 409);
  CHECK(StatusOf(a.target.StartRequest("", a.target.Fence(), "row")) == 400);
  CHECK_FALSE(a.target.StartRequest("vm2", a.target.Fence(), "row"));
  CHECK(StatusOf(a.target.StartRequest("vm2", a.target.Fence(), "row")) == 503);
  CHECK(json::parse(a.Next().body)["in_progress"] == json{{"vm1", 1}, {"vm2", 1}});
  a.target.EndRequest("vm1");
  CHECK_FALSE(a.target.StartRequest("vm2", a.target.Fence(), "row"));
  a.target.OnLeft();
  a.target.EndRequest("vm2");
  CHECK(StatusOf(a.target.StartRequest("vm2", a.target.Fence(), "row")) == 503);
}

// Guards against more open connections than declared.
TEST_CASE("connections are bounded and counted by holder") {
  Announcing a;
  CHECK(a.target.OpenConnection("vm1"));
  CHECK(a.target.OpenConnection("vm1"));
  CHECK_FALSE(a.target.OpenConnection("vm2"));
  a.target.CloseConnection("vm1");
  CHECK(a.target.OpenConnection("vm2"));
  CHECK(json::parse(a.Next().body)["open_connections"] == json{{"vm1", 1}, {"vm2", 1}});
}

}  // namespace
}  // namespace mangoroad::standin
