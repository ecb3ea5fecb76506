#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "membership/gap_estimator.h"
#include "membership/membership.h"
#include "membership/membership_codec.h"

namespace mangoroad::membership {
namespace {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Entry VMs in virtual time, with seeded delay and loss. A link can be cut in one direction or
// stall until it is replaced.
class Cluster {
 public:
  explicit Cluster(std::uint64_t seed) : random(seed) {}

  void Start(const std::string& name, std::uint64_t incarnation = 1) {
    MembershipConfig config;
    config.name = name;
    config.failure_domain = this->domains.at(name);
    config.incarnation = incarnation;
    for (const auto& [peer, domain] : this->domains) {
      if (peer != name) config.peers.push_back({peer, domain});
    }
    this->vms.insert_or_assign(name, Membership(config, this->now));
  }
  void StartAll() {
    for (const auto& [name, domain] : this->domains) this->Start(name);
  }

  void Run(Duration time) {
    for (const TimePoint end = this->now + time; this->now < end; this->now += milliseconds(5)) {
      this->Deliver();
      for (auto& [name, vm] : this->vms) {
        MembershipOutput output = vm.Tick(this->now);
        for (const auto& change : output.changes) this->log[{name, change.peer}].push_back(change);
        for (const std::string& peer : output.replace_links) {
          this->replaced[{name, peer}] += 1;
          this->stalled.erase({name, peer});
        }
        for (OutgoingGossip& message : output.messages) this->Send(name, message);
      }
    }
  }

  Membership& Vm(const std::string& name) { return this->vms.at(name); }
  PeerState State(const std::string& of, const std::string& peer) {
    return this->Vm(of).StateOf(peer);
  }
  int CountState(PeerState state) {
    int count = 0;
    for (const auto& [link, changes] : this->log) {
      count += static_cast<int>(std::ranges::count(changes, state, &StateChange::state));
    }
    return count;
  }

  using Link = std::pair<std::string, std::string>;
  std::map<std::string, std::string> domains{{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"b1", "b"}};
  std::map<std::string, Membership> vms;
  std::map<Link, bool> cut;
  std::map<Link, bool> stalled;
  std::map<Link, int> replaced;
  std::map<Link, std::vector<StateChange>> log;
  double loss = 0.0;
  Duration max_delay = milliseconds(8);
  TimePoint now{};

 private:
  struct Message {
    TimePoint due;
    Link link;
    std::string bytes;
  };

  void Send(const std::string& from, const OutgoingGossip& message) {
    const Link link{from, message.peer};
    if (this->cut.contains(link) || this->stalled.contains(link)) return;
    Duration delay = this->random.Between(milliseconds(1), this->max_delay);
    // TCP retransmits a lost segment after at least 200 ms.
    while (this->random.Chance(this->loss)) delay += milliseconds(200);
    TimePoint& last = this->last_due[link];
    last = std::max(last, this->now + delay);
    this->wire.push_back({last, link, Encode(message.message)});
  }
  void Deliver() {
    const std::vector<Message> all = std::exchange(this->wire, {});
    for (const Message& message : all) {
      if (message.due > this->now) {
        this->wire.push_back(message);
        continue;
      }
      const auto vm = this->vms.find(message.link.second);
      if (vm == this->vms.end() || this->cut.contains(message.link)) continue;
      const auto gossip = DecodeGossip(message.bytes);
      REQUIRE(base::Ok(gossip));
      vm->second.OnGossip(this->now, message.link.first, base::ValueOf(gossip));
    }
  }

  base::Random random;
  std::vector<Message> wire;
  std::map<Link, TimePoint> last_due;
};

// Guards against live peers that become unreachable because their link is slow or loses packets.
TEST_CASE("slow and lossy links cause no unreachable peers") {
  Cluster cluster(GENERATE(1, 2, 3, 4, 5));
  cluster.loss = 0.05;
  cluster.max_delay = milliseconds(60);
  cluster.StartAll();
  cluster.Run(seconds(60));
  CHECK(cluster.CountState(PeerState::kUnreachable) == 0);
  CHECK(cluster.CountState(PeerState::kOneWay) == 0);
  for (const auto& [name, vm] : cluster.vms) CHECK(vm.Alive().size() == 3);
}

// Guards against traffic that continues to a dead VM.
TEST_CASE("a dead VM is unreachable within 1.5 s, after a new connection was tried") {
  Cluster cluster(GENERATE(1, 2, 3, 4, 5));
  cluster.StartAll();
  cluster.Run(seconds(5));
  REQUIRE(cluster.State("a1", "a2") == PeerState::kAlive);
  cluster.vms.erase("a2");
  cluster.Run(milliseconds(1500));
  CHECK(cluster.State("a1", "a2") == PeerState::kUnreachable);
  CHECK(cluster.replaced[{"a1", "a2"}] >= 1);
  CHECK(cluster.State("a1", "a3") == PeerState::kAlive);
}

// Guards against a VM that counts as dead because one of its connections stalled permanently.
TEST_CASE("a silent connection is replaced and its peer stays reachable") {
  Cluster cluster(GENERATE(1, 2, 3));
  cluster.StartAll();
  cluster.Run(seconds(5));
  cluster.stalled[{"a2", "a1"}] = true;
  cluster.Run(seconds(3));
  CHECK(cluster.replaced[{"a2", "a1"}] >= 1);
  CHECK(cluster.State("a1", "a2") == PeerState::kAlive);
  CHECK(cluster.State("a2", "a1") == PeerState::kAlive);
}

// Guards against a cut in one direction that only one side notices.
TEST_CASE("both sides notice a cut in one direction, and its end") {
  Cluster cluster(GENERATE(1, 2, 3));
  cluster.StartAll();
  cluster.Run(seconds(5));
  cluster.cut[{"a2", "a1"}] = true;
  cluster.Run(seconds(3));
  CHECK(cluster.State("a1", "a2") == PeerState::kUnreachable);
  CHECK(cluster.State("a2", "a1") == PeerState::kOneWay);
  CHECK(cluster.Vm("a2").Alive("a") == std::vector<std::string>{"a3"});
  cluster.cut.clear();
  cluster.Run(seconds(3));
  CHECK(cluster.State("a1", "a2") == PeerState::kAlive);
  CHECK(cluster.State("a2", "a1") == PeerState::kAlive);
}

// Guards against messages of a terminated process that are attributed to its successor.
TEST_CASE("a restart is detected by the incarnation and old messages are ignored") {
  Cluster cluster(1);
  cluster.StartAll();
  cluster.Run(seconds(2));
  cluster.vms.erase("a2");
  cluster.Start("a2", 2);
  cluster.log.clear();
  cluster.Run(seconds(1));
  CHECK(cluster.Vm("a1").IncarnationOf("a2") == 2);
  const auto& changes = cluster.log[{"a1", "a2"}];
  REQUIRE_FALSE(changes.empty());
  CHECK(changes.front().is_restarted);
  Gossip old;
  old.incarnation = 1;
  old.sequence = 1'000'000;
  cluster.Vm("a1").OnGossip(cluster.now, "a2", old);
  CHECK(cluster.Vm("a1").IncarnationOf("a2") == 2);
}

// Guards against a router that misses targets or sends work to removed ones.
TEST_CASE("targets spread in the domain, also around a cut link, and expire") {
  Cluster cluster(GENERATE(1, 2, 3));
  cluster.loss = 0.02;
  cluster.StartAll();
  cluster.cut[{"a1", "a2"}] = true;
  cluster.Run(seconds(1));
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "t" + std::to_string(i);
    cluster.Vm("a1").Publish(cluster.now, {id, {1, 1, 1}, false, "p", {}});
  }
  cluster.Run(seconds(3));
  CHECK(cluster.Vm("a2").Targets(cluster.now).size() == 1000);
  CHECK(cluster.Vm("a3").Targets(cluster.now).size() == 1000);
  CHECK(cluster.Vm("b1").Targets(cluster.now).empty());
  cluster.Vm("a3").Publish(cluster.now, {"t5", {1, 2, 1}, false, "moved", {}});
  cluster.Vm("a1").Publish(cluster.now, {"t6", {1, 1, 2}, true, "", {}});
  cluster.Run(seconds(2));
  CHECK(cluster.Vm("a2").FindTarget("t5")->payload == "moved");
  CHECK(cluster.Vm("a2").Targets(cluster.now).size() == 999);
  cluster.Run(seconds(20));
  CHECK(cluster.Vm("a2").Targets(cluster.now).empty());
}

// Guards against targets that a restarted VM never learns again.
TEST_CASE("a restarted VM gets the current targets") {
  Cluster cluster(1);
  cluster.StartAll();
  cluster.Run(seconds(1));
  cluster.Vm("a1").Publish(cluster.now, {"t", {1, 1, 1}, false, "p", {}});
  cluster.Run(seconds(1));
  cluster.vms.erase("a2");
  cluster.Start("a2", 2);
  cluster.Run(seconds(1));
  CHECK(cluster.Vm("a2").Targets(cluster.now).size() == 1);
}

// Guards against work that is sent to a domain whose state is no longer known.
TEST_CASE("summaries of other domains arrive and expire after 10 s") {
  Cluster cluster(1);
  cluster.StartAll();
  DomainSummary summary;
  summary.free_slots = 17;
  cluster.Vm("a1").SetSummary(summary);
  cluster.Run(seconds(1));
  const auto received = cluster.Vm("b1").SummaryOf(cluster.now, "a");
  CHECK(received.value_or(DomainSummary()).free_slots == 17);
  CHECK_FALSE(cluster.Vm("a2").SummaryOf(cluster.now, "a"));
  cluster.cut[{"a1", "b1"}] = true;
  cluster.Run(seconds(9));
  CHECK(cluster.Vm("b1").SummaryOf(cluster.now, "a"));
  cluster.Run(seconds(2));
  CHECK_FALSE(cluster.Vm("b1").SummaryOf(cluster.now, "a"));
}

// Guards against a suspicion timeout that doesn't adapt to the link.
TEST_CASE("the suspicion timeout adapts to the gaps and stays within its bounds") {
  GapEstimator estimator{milliseconds(100)};
  for (int i = 0; i < 200; ++i) estimator.OnGap(milliseconds(100));
  CHECK(estimator.SuspicionTimeout() == milliseconds(300));
  for (int i = 0; i < 200; ++i) estimator.OnGap(milliseconds(i % 2 == 0 ? 20 : 180));
  CHECK(estimator.SuspicionTimeout() > milliseconds(600));
  for (int i = 0; i < 200; ++i) estimator.OnGap(seconds(100));
  CHECK(estimator.SuspicionTimeout() == milliseconds(1500));
}

// Guards against a decoder that loses a field or accepts truncated messages.
TEST_CASE("gossip is decoded as it was encoded, and truncated messages are refused") {
  Gossip gossip{
      3, 9, {{"a1", 4}}, 5, 6, 7, {{"t", {1, 2, 3}, true, "p", milliseconds(4)}}, DomainSummary{}};
  gossip.summary->queued = 8;
  const std::string bytes = Encode(gossip);
  const auto decoded = DecodeGossip(bytes);
  REQUIRE(base::Ok(decoded));
  CHECK(base::ValueOf(decoded) == gossip);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    REQUIRE_FALSE(base::Ok(DecodeGossip(bytes.substr(0, size))));
  }
}

}  // namespace
}  // namespace mangoroad::membership
