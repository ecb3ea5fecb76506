// Fault-injection simulations of callers, entry VMs and targets in virtual time.
#include <catch2/catch.hpp>
#include <set>

#include "registry/key_registry.h"
#include "routing/connections.h"
#include "routing/holder_slots.h"
#include "routing/router.h"
#include "support/lending_world.h"

namespace mangoroad::routing {
namespace {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;

constexpr RowIndex kIdempotentRow = 0;
constexpr RowIndex kKeyedRow = 2;

struct Call {
  RowIndex row = 0;
  std::string key;  // Runs at most once: the caller's key, or a key unique to the request.
  int entry = 0;
  std::string identity;
  int resends = 0;
  bool ended = false;
  bool not_run = false;
  int runs = 0;
  TimePoint deadline;  // In the time of the simulated network.
};

struct Connection {
  TimePoint last_contact;
  bool open = false;
  bool unresponsive = false;
};

class Simulation : public testing::LendingWorld {
 public:
  using LendingWorld::LendingWorld;
  int completed = 0;
  int refused = 0;

 protected:
  void OnEntryStarted(int entry) override {
    this->slots[entry] = std::make_unique<HolderSlots>(*this->holders[entry]);
    RouterSettings settings;
    settings.seed = this->network.random.Bits();
    this->routers[entry] = std::make_unique<Router>(settings, *this->slots[entry]);
    this->routers[entry]->SetRows({{"watch", 1, 0, 0, 2, true, {}},
                                   {"push", 2, 0, 0, 1, false, {}},
                                   {"keyed", 2, 0, 0, 1, false, {}}});
    this->registries[entry] =
        std::make_unique<registry::KeyRegistry>(this->Identity(entry), 1000000);
    for (Connection& connection : this->connections[entry]) connection = {};
    this->ChangeView();
  }

  void OnEntryTick(int entry) override {
    const TimePoint now = this->network.LocalNow(entry);
    Router& router = *this->routers[entry];
    lending::Holder& holder = *this->holders[entry];
    std::vector<TargetIndex> known;
    for (int target = 0; target < kTargets; ++target) {
      const auto index = holder.Find(TargetName(target));
      if (!index) continue;
      router.SetTarget(now, *index, true);
      known.push_back(*index);
    }
    this->slots[entry]->SpreadDemand(known, router.WantedSlots(), 0);
    router.Tick(now);
    this->registries[entry]->Tick(now);
    this->Flush(entry);
  }

  void OnStep() override {
    base::Random& random = this->network.random;
    if (random.Chance(0.5)) {
      const auto row = static_cast<RowIndex>(random.Below(3));
      this->StartCall(row, std::to_string(this->calls.size()), 0);
    }
    if (random.Chance(0.02)) {
      this->connections[random.Below(kEntries)][random.Below(kTargets)].unresponsive = true;
    }
  }

 private:
  void StartCall(RowIndex row, const std::string& key, int resends) {
    const RequestId id = this->calls.size();
    const int entry = static_cast<int>(this->network.random.Below(kEntries));
    this->calls.push_back({row, key, entry, this->Identity(entry), resends, false, false, 0, {}});
    this->network.Send(entry, entry, kRequestLink, [this, id] { this->Accept(id); });
    // Without a response, a caller resends a keyed request to any entry VM.
    if (row != kKeyedRow || resends >= 3) return;
    this->network.After(kEntries, milliseconds(900), [this, id] {
      const Call& call = this->calls[id];
      if (!call.ended) this->StartCall(call.row, std::string(call.key), call.resends + 1);
    });
  }

  void Accept(RequestId id) {
    const Call& call = this->calls[id];
    if (this->Identity(call.entry) != call.identity) return;
    const TimePoint now = this->network.LocalNow(call.entry);
    if (call.row == kKeyedRow) {
      this->registries[call.entry]->Claim(
          now, {id, call.key, "digest", {"home"}, 0, now + milliseconds(400)});
    } else {
      this->Submit(call.entry, id);
    }
    this->Flush(call.entry);
  }

  void Flush(int entry) {
    const registry::Output output = this->registries[entry]->TakeOutput();
    const std::string from = this->Identity(entry);
    for (const registry::OutgoingMessage& sent : output.messages) {
      const int to = std::stoi(sent.to);
      this->network.Send(entry, to, [this, to, from, sent] {
        if (sent.to != this->Identity(to)) return;
        this->registries[to]->OnMessage(this->network.LocalNow(to), from, sent.message);
        this->Flush(to);
      });
    }
    for (const registry::DecidedClaim& decided : output.decisions) this->OnDecision(entry, decided);
    const Actions actions = this->routers[entry]->TakeActions();
    for (const SendAction& send : actions.send) this->SendAttempt(entry, send);
    for (const CompleteAction& complete : actions.complete) this->OnComplete(entry, complete.id);
    for (const RefuseAction& refuse : actions.refuse) this->OnRefuse(entry, refuse);
  }

  void Submit(int entry, RequestId id) {
    constexpr Duration kDeadline = milliseconds(800);
    this->calls[id].deadline = this->network.Now() + kDeadline;
    const TimePoint now = this->network.LocalNow(entry);
    this->routers[entry]->Submit(now, {id, this->calls[id].row, now + kDeadline});
  }

  void OnDecision(int entry, const registry::DecidedClaim& decided) {
    const RequestId id = decided.request;
    switch (decided.decision.kind) {
      case registry::DecisionKind::kRun:
        this->Submit(entry, id);
        break;
      case registry::DecisionKind::kRecordedResponse:
        if (decided.decision.response.body != this->calls[id].key) {
          this->violation = "request " + std::to_string(id) + " got the response of another key";
        }
        this->calls[id].ended = true;
        break;
      case registry::DecisionKind::kNotRun:
        this->ReportNotRun(id);
        break;
      default:
        break;
    }
  }

  void ReportNotRun(RequestId id) {
    this->calls[id].not_run = true;
    if (this->calls[id].runs > 0) this->violation = "a request reported as not-run had run";
  }

  void OnComplete(int entry, RequestId id) {
    const TimePoint now = this->network.LocalNow(entry);
    this->completed += 1;
    this->calls[id].ended = true;
    if (this->calls[id].runs == 0) this->violation = "a response to a request that did not run";
    if (this->calls[id].row != kKeyedRow) return;
    this->registries[entry]->Finish(now, this->calls[id].key, {200, {}, this->calls[id].key});
  }

  void OnRefuse(int entry, const RefuseAction& refuse) {
    this->refused += 1;
    if (refuse.outcome != Outcome::kNotRun) return;
    this->ReportNotRun(refuse.id);
    if (this->calls[refuse.id].row != kKeyedRow) return;
    this->registries[entry]->Release(this->network.LocalNow(entry), this->calls[refuse.id].key);
  }

  void SendAttempt(int entry, const SendAction& send) {
    const std::string name = this->holders[entry]->NameOf(send.target);
    const int target = std::stoi(name.substr(1));
    this->CheckLeaving(target);
    const TimePoint now = this->network.LocalNow(entry);
    Connection& connection = this->connections[entry][target];
    const bool idempotent = this->calls[send.id].row == kIdempotentRow;
    if (!connection.open ||
        !MayUseConnection(now, connection.last_contact, connection.last_contact, idempotent)) {
      connection = {now, true, false};
    }
    const std::string holder = this->Identity(entry);
    const auto done = std::make_shared<bool>(false);
    const auto end = [this, entry, target, holder, done, send](AttemptResult result) {
      if (this->Identity(entry) != holder || std::exchange(*done, true)) return;
      Connection& used = this->connections[entry][target];
      used.last_contact = this->network.LocalNow(entry);
      if (result == AttemptResult::kBroken) used.open = false;
      this->routers[entry]->OnAttemptEnd(this->network.LocalNow(entry),
                                         {send.id, send.attempt, result});
      this->Flush(entry);
    };
    // Without a response, the entry VM closes the connection; the outcome is unknown.
    this->network.After(entry, milliseconds(500), [end] { end(AttemptResult::kBroken); });
    if (connection.unresponsive) return;
    this->network.Send(entry, NodeOf(target), kRequestLink, [=, this] {
      if (this->targets[target]->StartRequest(holder, send.fence) != lending::Refusal::kNone) {
        this->network.Send(NodeOf(target), entry, kRequestLink,
                           [end] { end(AttemptResult::kRefused); });
        return;
      }
      this->OnRun(send.id);
      // A target stops a request at its deadline without a response.
      const Duration service = this->network.random.Between(milliseconds(20), milliseconds(400));
      const Duration time_left = this->calls[send.id].deadline - this->network.Now();
      this->network.After(NodeOf(target), std::min(service, std::max(time_left, Duration(0))),
                          [=, this] {
                            this->targets[target]->EndRequest(holder);
                            if (time_left < service) return;
                            this->network.Send(NodeOf(target), entry, kRequestLink,
                                               [end] { end(AttemptResult::kRan); });
                          });
    });
  }

  void OnRun(RequestId id) {
    Call& call = this->calls[id];
    call.runs += 1;
    if (call.not_run) this->violation = "a request reported as not-run ran later";
    if (call.row == kIdempotentRow) return;
    if (!this->ran.insert(call.key).second) this->violation = "request " + call.key + " ran twice";
  }

  // Sets a new view after each restart, as the replicated log does.
  void ChangeView() {
    registry::View next{this->view.number + 1, {}, this->view.members};
    for (int entry = 0; entry < kEntries; ++entry) next.members.push_back(this->Identity(entry));
    this->view = next;
    for (int entry = 0; entry < kEntries; ++entry) {
      const Duration delay = this->network.random.Between(milliseconds(1), milliseconds(300));
      this->network.After(entry, delay, [this, entry, next] {
        this->registries[entry]->SetView(this->network.LocalNow(entry), next);
        this->Flush(entry);
      });
    }
  }

  std::unique_ptr<HolderSlots> slots[kEntries];
  std::unique_ptr<Router> routers[kEntries];
  std::unique_ptr<registry::KeyRegistry> registries[kEntries];
  Connection connections[kEntries][kTargets];
  registry::View view;
  std::vector<Call> calls;
  std::set<std::string> ran;
};

// Guards against a non-idempotent request that runs twice, a false `not-run`, the response of
// another request, a target over its capacity, and new work on a leaving target, after any
// combination of faults.
TEST_CASE("requests run at most once and their reported outcomes are correct") {
  int completed = 0;
  int refused = 0;
  for (std::uint64_t seed = 1; seed <= 250; ++seed) {
    Simulation simulation(seed);
    const std::string violation = simulation.Run(std::chrono::seconds(20));
    INFO("seed " << seed << ": " << violation);
    REQUIRE(violation.empty());
    completed += simulation.completed;
    refused += simulation.refused;
  }
  // The simulations test nothing if the faults stop all work or none.
  CHECK(completed > 250 * 100);
  CHECK(refused > 250 * 5);
}

}  // namespace
}  // namespace mangoroad::routing
