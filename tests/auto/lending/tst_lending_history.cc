// Fault-injection simulations of several owners, holders and targets in virtual time.
#include <catch2/catch.hpp>
#include <memory>

#include "support/lending_world.h"

namespace mangoroad::lending {
namespace {

using base::Duration;
using std::chrono::milliseconds;

class Simulation : public testing::LendingWorld {
 public:
  using LendingWorld::LendingWorld;
  int completed = 0;

 protected:
  void OnEntryTick(int entry) override {
    for (int target = 0; target < kTargets; ++target) this->UseTarget(entry, target);
  }

 private:
  void UseTarget(int entry, int target) {
    Holder& holder = *this->holders[entry];
    const auto index = holder.Find(TargetName(target));
    if (!index) return;
    if (this->network.random.Chance(0.05)) {
      holder.SetDemand(*index, {static_cast<int>(this->network.random.Below(6)),
                                static_cast<int>(this->network.random.Below(6))});
    }
    if (!this->network.random.Chance(0.3)) return;
    const auto fence = holder.AcquireSlot(this->network.LocalNow(entry), *index);
    if (fence) this->SendRequest(entry, target, *index, *fence);
  }

  void SendRequest(int entry, int target, TargetIndex index, Fence fence) {
    this->CheckLeaving(target);
    const std::string holder = this->Identity(entry);
    const auto done = std::make_shared<bool>(false);
    const auto release = [this, entry, index, holder, done] {
      if (this->Identity(entry) != holder || std::exchange(*done, true)) return;
      this->holders[entry]->ReleaseSlot(index);
    };
    this->network.Send(entry, NodeOf(target), kRequestLink, [=, this] {
      if (this->targets[target]->StartRequest(holder, fence) != Refusal::kNone) {
        this->network.Send(NodeOf(target), entry, kRequestLink, release);
        return;
      }
      const Duration service = this->network.random.Between(milliseconds(20), milliseconds(900));
      this->network.After(NodeOf(target), service, [=, this] {
        this->targets[target]->EndRequest(holder);
        this->completed += 1;
        this->network.Send(NodeOf(target), entry, kRequestLink, release);
      });
    });
    // Without a response, the slot stays in use until the target has certainly ended the request.
    this->network.After(entry, milliseconds(1500), [=, this] {
      if (std::exchange(*done, true)) return;
      this->holders[entry]->AbandonSlot(index, this->network.LocalNow(entry) + milliseconds(1500));
    });
  }
};

// Guards against two owners or holders that use the same slot after any combination of faults.
TEST_CASE("lent and used capacity never exceeds the target's") {
  int completed = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Simulation simulation(seed);
    const std::string violation = simulation.Run(std::chrono::seconds(20));
    INFO("seed " << seed << ": " << violation);
    REQUIRE(violation.empty());
    completed += simulation.completed;
  }
  // The simulations test nothing if the faults stop all work.
  CHECK(completed > 300 * 50);
}

}  // namespace
}  // namespace mangoroad::lending
