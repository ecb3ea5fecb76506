// Histories of several owners, holders and targets in virtual time with faults.
#include <catch2/catch.hpp>
#include <memory>

#include "lending/holder.h"
#include "lending/owner.h"
#include "lending/target_side.h"
#include "support/virtual_network.h"

namespace mangoroad::lending {
namespace {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;
using testing::VirtualNetwork;

constexpr int kEntries = 3;
constexpr int kTargets = 3;
constexpr Amount kCapacity{4, 6};

struct Entry {
  std::unique_ptr<Owner> owner;
  std::unique_ptr<Holder> holder;
};

// Entry VMs are nodes 0 to 2 and targets nodes 3 to 5.
class World {
 public:
  explicit World(std::uint64_t seed) : network(seed, kEntries + kTargets) {
    this->network.faults = {0.02, 0.02, milliseconds(1), milliseconds(60)};
    for (int entry = 0; entry < kEntries; ++entry) this->StartEntry(entry);
    for (int target = 0; target < kTargets; ++target) this->StartTarget(target);
  }

  // Returns a description of the first violation, or an empty string.
  std::string Run(Duration length) {
    const TimePoint end{length};
    while (this->network.Now() < end && this->violation.empty()) {
      this->network.RunUntil(this->network.Now() + milliseconds(10));
      if (this->network.random.Chance(0.03)) this->InjectFault();
      this->CheckLoans();
    }
    return this->violation;
  }

  int completed = 0;

 private:
  static std::string TargetName(int target) { return "t" + std::to_string(target); }
  static int EntryOf(const std::string& identity) { return std::stoi(identity.substr(1)); }
  static int NodeOf(int target) { return kEntries + target; }

  void StartEntry(int entry) {
    const std::string identity =
        "e" + std::to_string(entry) + "#" + std::to_string(this->network.Generation(entry));
    this->entries[entry] = {std::make_unique<Owner>(identity, this->network.random.Bits()),
                            std::make_unique<Holder>(identity)};
    this->TickEntry(entry);
  }

  void StartTarget(int target) {
    TargetSettings settings{TargetName(target), "", 0, kCapacity, {}};
    settings.incarnation = static_cast<std::uint64_t>(this->network.Generation(NodeOf(target)));
    for (int i = 0; i < kEntries; ++i) {
      settings.entries.push_back(std::to_string((target + i) % kEntries));
    }
    this->targets[target] = std::make_unique<TargetSide>(settings);
    this->left[target] = false;
    this->TickTarget(target);
  }

  void TickTarget(int target) {
    TargetSide& side = *this->targets[target];
    if (const auto sent = side.Tick(this->network.LocalNow(NodeOf(target)))) {
      const int entry = std::stoi(sent->entry);
      this->network.Send(NodeOf(target), entry, [this, target, entry, message = sent->message] {
        const AnnounceReply reply =
            this->entries[entry].owner->OnAnnouncement(this->network.LocalNow(entry), message);
        this->network.Send(entry, NodeOf(target), [this, target, entry, reply] {
          this->targets[target]->OnReply(this->network.LocalNow(NodeOf(target)),
                                         std::to_string(entry), reply);
        });
      });
    }
    this->network.After(NodeOf(target), milliseconds(10),
                        [this, target] { this->TickTarget(target); });
  }

  void TickEntry(int entry) {
    Entry& self = this->entries[entry];
    const TimePoint now = this->network.LocalNow(entry);
    for (const OwnedTarget& owned : self.owner->Targets(now)) this->Gossip(entry, owned);
    for (const Lend& recall : self.owner->Tick(now)) this->SendLend(entry, recall);
    for (const Borrow& borrow : self.holder->Tick(now)) {
      const int owner = EntryOf(borrow.owner);
      this->network.Send(entry, owner, [this, owner, message = borrow] {
        this->SendLend(
            owner, this->entries[owner].owner->OnBorrow(this->network.LocalNow(owner), message));
      });
    }
    for (int target = 0; target < kTargets; ++target) this->UseTarget(entry, target);
    this->network.After(entry, milliseconds(20), [this, entry] { this->TickEntry(entry); });
  }

  void Gossip(int from, const OwnedTarget& owned) {
    const std::string identity = this->entries[from].holder->Identity();
    const auto learn = [this, identity, owned](int entry) {
      this->entries[entry].holder->SetOwner(owned.name, identity, owned.fence);
    };
    for (int entry = 0; entry < kEntries; ++entry) {
      this->network.Send(from, entry, [learn, entry] { learn(entry); });
    }
  }

  void SendLend(int from, const Lend& lend) {
    const int entry = EntryOf(lend.holder);
    this->network.Send(from, entry, [this, entry, lend] {
      this->entries[entry].holder->OnLend(this->network.LocalNow(entry), lend);
    });
  }

  void UseTarget(int entry, int target) {
    Holder& holder = *this->entries[entry].holder;
    const auto index = holder.Find(TargetName(target));
    if (!index) return;
    if (this->network.random.Chance(0.05)) {
      holder.SetDemand(*index, {static_cast<int>(this->network.random.Below(6)),
                                static_cast<int>(this->network.random.Below(6))});
    }
    if (!this->network.random.Chance(0.3)) return;
    const auto fence = holder.Start(this->network.LocalNow(entry), *index);
    if (fence) this->SendRequest(entry, target, *index, *fence);
  }

  // A request is delivered within 40 ms or not at all, less than the allowance of a loan. Later
  // ones are refused by the target when it is full, which the routing tests cover.
  void SendRequest(int entry, int target, TargetIndex index, Fence fence) {
    if (this->left[target] && this->network.Now() > this->left_at[target] + milliseconds(2000)) {
      this->violation = "a target got a request 2 s after it began to leave";
    }
    const std::string holder = this->entries[entry].holder->Identity();
    const int generation = this->network.Generation(entry);
    const auto done = std::make_shared<bool>(false);
    const auto finish = [this, entry, index, generation, done] {
      if (this->network.Generation(entry) != generation || std::exchange(*done, true)) return;
      this->entries[entry].holder->End(index);
    };
    const testing::LinkFaults link{0.01, 0.0, milliseconds(1), milliseconds(40)};
    this->network.Send(entry, NodeOf(target), link, [=, this] {
      if (this->targets[target]->StartRequest(holder, fence) != Refusal::kNone) {
        this->network.Send(NodeOf(target), entry, link, finish);
        return;
      }
      const Duration service = this->network.random.Between(milliseconds(20), milliseconds(900));
      this->network.After(NodeOf(target), service, [=, this] {
        this->targets[target]->EndRequest(holder);
        this->completed += 1;
        this->network.Send(NodeOf(target), entry, link, finish);
      });
    });
    // Without an answer, the slot is kept until the target has surely ended the request.
    this->network.After(entry, milliseconds(1500), [=, this] {
      if (std::exchange(*done, true)) return;
      this->entries[entry].holder->Abandon(index,
                                           this->network.LocalNow(entry) + milliseconds(1500));
    });
  }

  void InjectFault() {
    base::Random& random = this->network.random;
    const int node = static_cast<int>(random.Below(kEntries + kTargets));
    const Duration length = random.Between(milliseconds(50), milliseconds(4000));
    switch (random.Below(6)) {
      case 0:
        if (node < kEntries) {
          this->network.EndProcess(node);
          this->StartEntry(node);
        } else if (random.Chance(0.3)) {
          this->network.EndProcess(node);
          this->StartTarget(node - kEntries);
        }
        break;
      case 1:
        // A target that pauses for long would stretch the service time past the abandonment.
        this->network.Pause(
            node, node < kEntries ? length : std::min<Duration>(length, milliseconds(300)));
        break;
      case 2:
        if (node >= kEntries && random.Chance(0.1)) {
          this->targets[node - kEntries]->Leave(this->network.LocalNow(node));
          this->left[node - kEntries] = true;
          this->left_at[node - kEntries] = this->network.Now();
        }
        break;
      default:
        this->network.Cut(node, static_cast<int>(random.Below(kEntries + kTargets)), length);
    }
  }

  // A restart of the target voids all loans; a change of owner doesn't count as one here, since
  // the old ownership must have ended before. What holders may use, or still use at the target,
  // never exceeds what the target holds.
  void CheckLoans() {
    for (int target = 0; target < kTargets; ++target) {
      const Fence fence = this->targets[target]->CurrentFence();
      Amount total;
      std::map<std::string, Amount> use = this->targets[target]->InUseByHolder();
      for (int entry = 0; entry < kEntries; ++entry) {
        const Holder& holder = *this->entries[entry].holder;
        const auto index = holder.Find(TargetName(target));
        if (!index || holder.FenceOf(*index).incarnation != fence.incarnation) continue;
        Amount& own = use[holder.Identity()];
        own = Max(own, holder.Lent(this->network.LocalNow(entry), *index));
      }
      for (const auto& [name, amount] : use) total = total + amount;
      if (total.slots > kCapacity.slots || total.connections > kCapacity.connections) {
        this->violation = "target " + std::to_string(target) + ": " + std::to_string(total.slots) +
                          " slots and " + std::to_string(total.connections) +
                          " connections lent or in use at " +
                          std::to_string(this->network.Now().time_since_epoch().count()) + " us";
      }
    }
  }

  VirtualNetwork network;
  Entry entries[kEntries];
  std::unique_ptr<TargetSide> targets[kTargets];
  bool left[kTargets] = {};
  TimePoint left_at[kTargets];
  std::string violation;
};

// Guards against two owners or holders that use the same slot, after any mix of faults.
TEST_CASE("lent and used capacity never exceeds the target's") {
  int completed = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    World world(seed);
    const std::string violation = world.Run(std::chrono::seconds(20));
    INFO("seed " << seed << ": " << violation);
    REQUIRE(violation.empty());
    completed += world.completed;
  }
  // The histories are worthless if the faults stop all work.
  CHECK(completed > 300 * 50);
}

}  // namespace
}  // namespace mangoroad::lending
