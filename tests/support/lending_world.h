// Entry VMs and targets that lend capacity over a virtual network.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>

#include "lending/holder.h"
#include "lending/lending_target.h"
#include "lending/owner.h"
#include "support/virtual_network.h"

namespace mangoroad::testing {

using std::chrono::milliseconds;

/// Entry VMs are nodes 0 to kEntries - 1, targets the nodes after them. Derived classes add the use
/// of the lent capacity.
class LendingWorld {
 public:
  static constexpr int kEntries = 3;
  static constexpr int kTargets = 3;
  static constexpr lending::Amount kCapacity{4, 6};

  explicit LendingWorld(std::uint64_t seed) : network(seed, kEntries + kTargets) {
    this->network.faults = {0.02, 0.02, milliseconds(1), milliseconds(60)};
  }
  virtual ~LendingWorld() = default;

  /// Returns a description of the first violation, or an empty string.
  std::string Run(Duration length) {
    for (int entry = 0; entry < kEntries; ++entry) this->StartEntry(entry);
    for (int target = 0; target < kTargets; ++target) this->StartTarget(target);
    const TimePoint end{length};
    while (this->network.Now() < end && this->violation.empty()) {
      this->network.RunUntil(this->network.Now() + milliseconds(10));
      if (this->network.random.Chance(0.03)) this->InjectFault();
      this->OnStep();
      this->CheckLoans();
    }
    return this->violation;
  }

 protected:
  /// A request is delivered within 40 ms or not at all, which is less than the allowance of a loan.
  static constexpr LinkFaults kRequestLink{0.01, 0.0, milliseconds(1), milliseconds(40)};

  virtual void OnEntryStarted(int /*entry*/) {}
  virtual void OnEntryTick(int /*entry*/) {}
  virtual void OnStep() {}

  static std::string TargetName(int target) { return "t" + std::to_string(target); }
  static int NodeOf(int target) { return kEntries + target; }
  std::string Identity(int entry) const {
    return std::to_string(entry) + "#" + std::to_string(this->network.Generation(entry));
  }

  /// Records a violation when a request is sent to a target that began to leave 2 s ago.
  void CheckLeaving(int target) {
    if (this->left[target] && this->network.Now() > this->left_at[target] + milliseconds(2000)) {
      this->violation = "a request was sent to a target 2 s after it began to leave";
    }
  }

  VirtualNetwork network;
  std::unique_ptr<lending::Owner> owners[kEntries];
  std::unique_ptr<lending::Holder> holders[kEntries];
  std::unique_ptr<lending::LendingTarget> targets[kTargets];
  std::string violation;

 private:
  void StartEntry(int entry) {
    const std::string identity = this->Identity(entry);
    this->owners[entry] = std::make_unique<lending::Owner>(identity, this->network.random.Bits());
    this->holders[entry] = std::make_unique<lending::Holder>(identity);
    this->OnEntryStarted(entry);
    this->TickEntry(entry);
  }

  void StartTarget(int target) {
    lending::TargetSettings settings{TargetName(target), "", 0, kCapacity, {}};
    settings.incarnation = static_cast<std::uint64_t>(this->network.Generation(NodeOf(target)));
    for (int i = 0; i < kEntries; ++i) {
      settings.entries.push_back(std::to_string((target + i) % kEntries));
    }
    this->targets[target] = std::make_unique<lending::LendingTarget>(settings);
    this->left[target] = false;
    this->TickTarget(target);
  }

  void TickTarget(int target) {
    const int node = NodeOf(target);
    if (const auto sent = this->targets[target]->Tick(this->network.LocalNow(node))) {
      const int entry = std::stoi(sent->entry);
      this->network.Send(node, entry, [this, target, node, entry, message = sent->message] {
        const lending::AnnouncementResponse reply =
            this->owners[entry]->OnAnnouncement(this->network.LocalNow(entry), message);
        this->network.Send(entry, node, [this, target, node, entry, reply] {
          this->targets[target]->OnResponse(this->network.LocalNow(node), std::to_string(entry),
                                            reply);
        });
      });
    }
    this->network.After(node, milliseconds(10), [this, target] { this->TickTarget(target); });
  }

  void TickEntry(int entry) {
    const TimePoint now = this->network.LocalNow(entry);
    for (const lending::OwnedTarget& owned : this->owners[entry]->Targets(now)) {
      this->Gossip(entry, owned);
    }
    for (const lending::LendMessage& recall : this->owners[entry]->Tick(now)) {
      this->SendLend(entry, recall);
    }
    for (const lending::BorrowRequest& borrow : this->holders[entry]->Tick(now)) {
      const int owner = std::stoi(borrow.owner);
      this->network.Send(entry, owner, [this, owner, borrow] {
        this->SendLend(owner,
                       this->owners[owner]->OnBorrowRequest(this->network.LocalNow(owner), borrow));
      });
    }
    this->OnEntryTick(entry);
    this->network.After(entry, milliseconds(20), [this, entry] { this->TickEntry(entry); });
  }

  void Gossip(int from, const lending::OwnedTarget& owned) {
    const std::string identity = this->Identity(from);
    for (int entry = 0; entry < kEntries; ++entry) {
      this->network.Send(from, entry, [this, entry, identity, owned] {
        this->holders[entry]->SetOwner(owned.name, identity, owned.fence);
      });
    }
  }

  void SendLend(int from, const lending::LendMessage& lend) {
    const int entry = std::stoi(lend.holder);
    this->network.Send(from, entry, [this, entry, lend] {
      this->holders[entry]->OnLendMessage(this->network.LocalNow(entry), lend);
    });
  }

  void InjectFault() {
    base::Random& random = this->network.random;
    const int node = static_cast<int>(random.Below(kEntries + kTargets));
    const Duration length = random.Between(milliseconds(50), milliseconds(4000));
    switch (random.Below(6)) {
      case 0:
        this->Restart(node);
        break;
      case 1:
        // A target that pauses for long would stretch the service time past the abandonment.
        this->network.Pause(
            node, node < kEntries ? length : std::min<Duration>(length, milliseconds(300)));
        break;
      case 2:
        if (node >= kEntries && random.Chance(0.1)) this->Leave(node - kEntries);
        break;
      default:
        this->network.Cut(node, static_cast<int>(random.Below(kEntries + kTargets)), length);
    }
  }

  void Restart(int node) {
    if (node < kEntries) {
      this->network.EndProcess(node);
      this->StartEntry(node);
    } else if (this->network.random.Chance(0.3)) {
      this->network.EndProcess(node);
      this->StartTarget(node - kEntries);
    }
  }

  void Leave(int target) {
    if (this->left[target]) return;
    this->targets[target]->Leave(this->network.LocalNow(NodeOf(target)));
    this->left[target] = true;
    this->left_at[target] = this->network.Now();
    // The entry VM that hears it may die.
    if (this->network.random.Chance(0.5)) this->Restart(std::stoi(this->targets[target]->Entry()));
  }

  // A restart of the target voids all loans; a change of owner doesn't count as one here, since the
  // old ownership must have ended before. What holders may use, or still use at the target, never
  // exceeds what the target holds.
  void CheckLoans() {
    for (int target = 0; target < kTargets; ++target) {
      const lending::Fence fence = this->targets[target]->CurrentFence();
      std::map<std::string, lending::Amount> use = this->targets[target]->InUseByHolder();
      for (int entry = 0; entry < kEntries; ++entry) {
        const lending::Holder& holder = *this->holders[entry];
        const auto index = holder.Find(TargetName(target));
        if (!index || holder.FenceOf(*index).incarnation != fence.incarnation) continue;
        lending::Amount& own = use[holder.Identity()];
        own = lending::Max(own, holder.Lent(this->network.LocalNow(entry), *index));
      }
      lending::Amount total;
      for (const auto& [name, amount] : use) total = total + amount;
      if (total.slots > kCapacity.slots || total.connections > kCapacity.connections) {
        this->violation = "target " + std::to_string(target) + ": " + std::to_string(total.slots) +
                          " slots and " + std::to_string(total.connections) +
                          " connections lent or in use at " +
                          std::to_string(this->network.Now().time_since_epoch().count()) + " us";
      }
    }
  }

  bool left[kTargets] = {};
  TimePoint left_at[kTargets];
};

}  // namespace mangoroad::testing
