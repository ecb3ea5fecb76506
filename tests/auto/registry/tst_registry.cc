#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

#include "registry/home.h"
#include "registry/key_registry.h"
#include "registry/registry_codec.h"
#include "support/virtual_network.h"

namespace mangoroad::registry {
namespace {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;
using testing::VirtualNetwork;

const TimePoint kStart{std::chrono::seconds(100)};

ClaimRequest RequestFor(RequestNumber number, const std::string& key, const std::string& digest) {
  return {number, key, digest, {"north", "south"}, 0, kStart + std::chrono::seconds(1)};
}

// Claims in a view with a single member, which decides immediately.
DecisionKind Ask(KeyRegistry& registry, TimePoint now, const ClaimRequest& request) {
  registry.Claim(now, request);
  const Output output = registry.TakeOutput();
  REQUIRE(output.decisions.size() == 1);
  return output.decisions.front().decision.kind;
}

// Guards against keys that move when an unrelated domain is retired.
TEST_CASE("retirement moves only the keys of the retired domain") {
  const std::vector<std::string> place{"a", "b", "c"};
  for (int i = 0; i < 1000; ++i) {
    const std::string key = std::to_string(i);
    const auto home = HomeDomainOf(key, place, {});
    if (home != "b") REQUIRE(HomeDomainOf(key, place, {"b"}) == home);
  }
  CHECK(HomeDomainOf("k", {"a"}, {}) == "a");
  CHECK_FALSE(HomeDomainOf("k", {"a"}, {"a"}));
}

// Guards against a wrong decision for a repeated key, and against a claim that expires too early.
TEST_CASE("a repeated key gets the recorded response, a conflict or an in-doubt decision") {
  KeyRegistry registry("a#1", 100000);
  registry.SetView(kStart, {1, {"a#1"}, {}});
  CHECK(Ask(registry, kStart, RequestFor(1, "k", "d")) == DecisionKind::kRun);
  CHECK(Ask(registry, kStart, RequestFor(2, "k", "d")) == DecisionKind::kInDoubt);
  CHECK(Ask(registry, kStart, RequestFor(3, "k", "e")) == DecisionKind::kKeyReused);
  registry.Finish(kStart, "k", {200, {}, "body"});
  CHECK(Ask(registry, kStart, RequestFor(4, "k", "d")) == DecisionKind::kRecordedResponse);
  registry.Tick(kStart + kRetention - Duration(1));
  CHECK(Ask(registry, kStart, RequestFor(5, "k", "d")) == DecisionKind::kRecordedResponse);
  registry.Tick(kStart + kRetention + std::chrono::seconds(2));
  CHECK(Ask(registry, kStart, RequestFor(6, "k", "d")) == DecisionKind::kRun);
  registry.Release(kStart, "k");
  CHECK(Ask(registry, kStart, RequestFor(7, "k", "d")) == DecisionKind::kRun);
}

// Guards against unbounded memory and against evicting an unexpired claim.
TEST_CASE("a full registry refuses new claims and keeps the old ones") {
  KeyRegistry registry("a#1", 1000);
  registry.SetView(kStart, {1, {"a#1"}, {}});
  int accepted = 0;
  while (Ask(registry, kStart, RequestFor(1, std::to_string(accepted), "d")) ==
         DecisionKind::kRun) {
    ++accepted;
  }
  CHECK(registry.Bytes() <= 1000);
  for (int i = 0; i < accepted; ++i) {
    CHECK(Ask(registry, kStart, RequestFor(1, std::to_string(i), "d")) == DecisionKind::kInDoubt);
  }
}

// Guards against running a request again that a lost domain may have run.
TEST_CASE("keys of a retired home are in doubt unless they are newer than the retirement") {
  KeyRegistry registry("a#1", 100000);
  registry.SetView(kStart, {1, {"a#1"}, {}});
  registry.Retire(kStart, "south", 5000);
  for (int i = 0; i < 20; ++i) {
    ClaimRequest request = RequestFor(1, "k" + std::to_string(i), "d");
    const bool lost = HomeDomainOf(request.key, request.place, {}) == "south";
    CHECK(Ask(registry, kStart, request) == (lost ? DecisionKind::kInDoubt : DecisionKind::kRun));
    request.key_time_ms = 5001;
    if (lost) CHECK(Ask(registry, kStart, request) == DecisionKind::kRun);
  }
}

// Guards against a decoder that accepts damaged input or loses a field.
TEST_CASE("registry messages are decoded as they were encoded, and damaged ones are refused") {
  const ClaimRecord record{"k", "d", {"a#1", 4}, Duration(9), Response{200, {{"h", "v"}}, "body"}};
  const auto message = GENERATE_COPY(values<Message>(
      {ClaimMessage{1, "k", "d", {"a#1", 2}},
       ClaimAckMessage{1, "k", {"a#1", 2}, ClaimStatus::kTaken, record},
       FinishMessage{record, true}, FinishAckMessage{"k", {"a#1", 2}}, FetchClaims{2, "k", false},
       ViewClaims{2, "k", false, true, 1, Duration(3), {record}}}));
  const std::string bytes = Encode(message);
  const auto read = Decode(bytes);
  REQUIRE(base::Ok(read));
  CHECK(Encode(base::ValueOf(read)) == bytes);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(base::Ok(Decode(bytes.substr(0, size))));
  }
  CHECK_FALSE(base::Ok(Decode(bytes + "x")));
}

constexpr int kMembers = 4;
constexpr int kKeys = 12;

// Simulates entry VMs 0 to 3, callers that resend keys to any of them, and a log that sets views.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : network(seed, kMembers) {
    this->network.faults = {0.05, 0.05, milliseconds(1), milliseconds(80)};
    for (int node = 0; node < kMembers; ++node) this->Start(node);
    this->ChangeView();
  }

  std::string Run(Duration length) {
    const TimePoint end{length};
    while (this->network.Now() < end && this->violation.empty()) {
      this->network.RunUntil(this->network.Now() + milliseconds(10));
      if (this->network.random.Chance(0.3)) this->Resend();
      if (this->network.random.Chance(0.02)) this->InjectFault();
    }
    return this->violation;
  }

  int runs = 0;
  int responses = 0;

 private:
  std::string Identity(int node) const {
    return std::to_string(node) + "#" + std::to_string(this->network.Generation(node));
  }

  void Start(int node) {
    this->registries[node] = std::make_unique<KeyRegistry>(this->Identity(node), 100000);
    this->Tick(node);
  }

  void Tick(int node) {
    this->registries[node]->Tick(this->network.LocalNow(node));
    this->Flush(node);
    this->network.After(node, milliseconds(25), [this, node] { this->Tick(node); });
  }

  void Flush(int node) {
    const Output output = this->registries[node]->TakeOutput();
    const std::string from = this->Identity(node);
    for (const OutgoingMessage& sent : output.messages) {
      const int to = std::stoi(sent.to);
      this->network.Send(node, to, [this, to, from, sent] {
        if (sent.to != this->Identity(to)) return;
        this->registries[to]->OnMessage(this->network.LocalNow(to), from, sent.message);
        this->Flush(to);
      });
    }
    for (const DecidedClaim& decided : output.decisions) this->OnDecision(node, decided);
  }

  void OnDecision(int node, const DecidedClaim& decided) {
    const std::string key = this->key_of[decided.request];
    if (decided.decision.kind == DecisionKind::kRecordedResponse) {
      ++this->responses;
      if (decided.decision.response.body != key) this->violation = "another key's response";
    }
    if (decided.decision.kind != DecisionKind::kRun) return;
    ++this->runs;
    if (!this->ran.insert(key).second) this->violation = "key " + key + " ran twice";
    const bool finishes = this->network.random.Chance(0.8);
    this->network.After(node, milliseconds(100), [this, node, key, finishes] {
      if (!finishes) return;
      this->registries[node]->Finish(this->network.LocalNow(node), key, {200, {}, key});
      this->Flush(node);
    });
  }

  void Resend() {
    base::Random& random = this->network.random;
    const int node = static_cast<int>(random.Below(kMembers));
    const std::string key =
        std::to_string(this->network.Now().time_since_epoch().count() / 2000000) + "-" +
        std::to_string(random.Below(kKeys));
    const RequestNumber number = ++this->last_request;
    this->key_of[number] = key;
    this->network.After(node, Duration(0), [this, node, key, number] {
      const TimePoint now = this->network.LocalNow(node);
      this->registries[node]->Claim(now, {number, key, "d", {"x"}, 0, now + milliseconds(600)});
      this->Flush(node);
    });
  }

  // Sets a view of the processes that run now, at random with one of them left out.
  void ChangeView() {
    View next{this->view.number + 1, {}, this->view.members};
    const auto left_out = this->network.random.Below(kMembers + 2);
    for (int node = 0; node < kMembers; ++node) {
      if (static_cast<std::uint32_t>(node) != left_out) {
        next.members.push_back(this->Identity(node));
      }
    }
    this->view = next;
    for (int node = 0; node < kMembers; ++node) this->DeliverView(node);
  }

  void DeliverView(int node) {
    const Duration delay = this->network.random.Between(milliseconds(1), milliseconds(700));
    this->network.After(node, delay, [this, node, learned = this->view] {
      this->registries[node]->SetView(this->network.LocalNow(node), learned);
      this->Flush(node);
    });
  }

  void InjectFault() {
    base::Random& random = this->network.random;
    const int node = static_cast<int>(random.Below(kMembers));
    const Duration length = random.Between(milliseconds(50), milliseconds(1500));
    switch (random.Below(4)) {
      case 0:
        this->network.EndProcess(node);
        this->Start(node);
        this->ChangeView();
        break;
      case 1:
        this->network.Pause(node, length);
        break;
      case 2:
        this->network.Cut(node, static_cast<int>(random.Below(kMembers)), length);
        break;
      default:
        this->ChangeView();
    }
  }

  VirtualNetwork network;
  std::unique_ptr<KeyRegistry> registries[kMembers];
  View view;
  std::map<RequestNumber, std::string> key_of;
  std::set<std::string> ran;
  RequestNumber last_request = 0;
  std::string violation;
};

// Guards against a request that runs twice when its key is resent to another entry VM, after any
// combination of faults and view changes.
TEST_CASE("a key runs at most once and gets its own response") {
  int runs = 0;
  int responses = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Simulation simulation(seed);
    const std::string violation = simulation.Run(std::chrono::seconds(20));
    INFO("seed " << seed << ": " << violation);
    REQUIRE(violation.empty());
    runs += simulation.runs;
    responses += simulation.responses;
  }
  // The simulations test nothing if the faults stop all work.
  CHECK(runs > 300 * 10);
  CHECK(responses > 300 * 10);
}

}  // namespace
}  // namespace mangoroad::registry
