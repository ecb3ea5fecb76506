#include "lending/holder.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <utility>

#include "base/soft_assert.h"

namespace mangoroad::lending {
namespace internal {

using base::TimePoint;

struct HeldTarget {
  std::string name;
  std::string owner;
  Fence fence;
  Amount wanted;
  Amount in_use;
  std::uint64_t adopted_lease = 0;
  Amount lent;
  TimePoint end;
  TimePoint next_renewal;
  bool known = false;    // Not removed.
  bool returned = true;  // Nothing is lent, in use or wanted, and the owner knows it.
  bool changed = false;  // In the list of changed targets.

  [[nodiscard]] Amount LentAt(TimePoint now) const {
    return now < this->end ? this->lent : Amount{};
  }
};

struct SentBorrow {
  std::uint64_t number = 0;
  TimePoint sent;
};

// The messages sent to one owner.
struct OwnerState {
  std::uint64_t last_request_number = 0;
  std::deque<SentBorrow> sent;  // In order of number.
};

struct AbandonedSlot {
  TimePoint until;
  TargetIndex target = 0;

  friend bool operator>(const AbandonedSlot& a, const AbandonedSlot& b) {
    return a.until > b.until;
  }
};

}  // namespace internal

using internal::HeldTarget;

struct Holder::Private {
  std::string identity;
  std::vector<HeldTarget> targets;
  std::vector<TargetIndex> free_indices;
  std::map<std::string, TargetIndex, std::less<>> index;
  std::map<std::string, internal::OwnerState, std::less<>> owners;
  std::vector<internal::AbandonedSlot> abandoned;  // Heap, earliest first.
  std::vector<TargetIndex> changed;

  void MarkChanged(TargetIndex target) {
    HeldTarget& held = this->targets[target];
    if (std::exchange(held.changed, true)) return;
    this->changed.push_back(target);
  }

  TargetIndex Add(std::string_view name) {
    TargetIndex target = 0;
    if (this->free_indices.empty()) {
      target = static_cast<TargetIndex>(this->targets.size());
      this->targets.emplace_back();
    } else {
      target = this->free_indices.back();
      this->free_indices.pop_back();
      const bool changed_before = this->targets[target].changed;
      this->targets[target] = {};
      this->targets[target].changed = changed_before;
    }
    this->targets[target].name = name;
    this->index.emplace(name, target);
    return target;
  }

  // A removed target keeps its index until its last request and connection have ended.
  void ReuseIfIdle(TargetIndex target) {
    HeldTarget& held = this->targets[target];
    if (held.known || held.in_use != Amount{}) return;
    if (this->index.erase(held.name) > 0) this->free_indices.push_back(target);
  }

  void ReleaseAbandoned(base::TimePoint now) {
    while (!this->abandoned.empty() && this->abandoned.front().until <= now) {
      const TargetIndex target = this->abandoned.front().target;
      std::ranges::pop_heap(this->abandoned, std::greater<>{});
      this->abandoned.pop_back();
      this->targets[target].in_use.slots -= 1;
      this->MarkChanged(target);
      this->ReuseIfIdle(target);
    }
  }
};

Holder::Holder(std::string identity)
    : d(std::make_unique<Private>(Private{std::move(identity), {}, {}, {}, {}, {}, {}})) {}
Holder::~Holder() = default;
Holder::Holder(Holder&&) noexcept = default;
Holder& Holder::operator=(Holder&&) noexcept = default;

const std::string& Holder::Identity() const { return this->d->identity; }

TargetIndex Holder::SetOwner(std::string_view target, std::string_view owner, Fence fence) {
  const auto found = this->d->index.find(target);
  const TargetIndex index = found == this->d->index.end() ? this->d->Add(target) : found->second;
  HeldTarget& held = this->d->targets[index];
  const bool first = !std::exchange(held.known, true);
  if (fence < held.fence || (!first && fence == held.fence && owner == held.owner)) return index;
  // A newer fence invalidates the leases of the older one at the target. What runs there still
  // counts as in use.
  held.owner = owner;
  held.fence = fence;
  held.adopted_lease = 0;
  held.lent = {};
  held.end = {};
  held.next_renewal = {};
  this->d->MarkChanged(index);
  return index;
}

void Holder::Remove(std::string_view target) {
  const auto found = this->d->index.find(target);
  if (found == this->d->index.end()) return;
  const TargetIndex index = found->second;
  HeldTarget& held = this->d->targets[index];
  held.known = false;
  held.lent = {};
  held.wanted = {};
  this->d->MarkChanged(index);
  this->d->ReuseIfIdle(index);
}

std::optional<TargetIndex> Holder::Find(std::string_view target) const {
  const auto found = this->d->index.find(target);
  return found == this->d->index.end() ? std::nullopt : std::optional(found->second);
}

const std::string& Holder::NameOf(TargetIndex target) const {
  return this->d->targets[target].name;
}

void Holder::SetDemand(TargetIndex target, Amount wanted) {
  HeldTarget& held = this->d->targets[target];
  if (held.wanted == wanted) return;
  // Demand beyond the lease and returns are sent at once; other changes wait for the next renewal.
  const bool more = wanted.slots > held.lent.slots || wanted.connections > held.lent.connections;
  const bool less = wanted.slots < held.lent.slots || wanted.connections < held.lent.connections;
  held.wanted = wanted;
  if (more || less) held.next_renewal = {};
  held.lent = Min(held.lent, Max(wanted, held.in_use));
}

std::optional<Fence> Holder::AcquireSlot(base::TimePoint now, TargetIndex target) {
  HeldTarget& held = this->d->targets[target];
  if (held.in_use.slots >= held.LentAt(now).slots) return std::nullopt;
  held.in_use.slots += 1;
  return held.fence;
}

void Holder::ReleaseSlot(TargetIndex target) {
  HeldTarget& held = this->d->targets[target];
  MANGOROAD_SOFT_ASSERT(held.in_use.slots > 0, return);
  held.in_use.slots -= 1;
  this->d->ReuseIfIdle(target);
}

void Holder::AbandonSlot(TargetIndex target, base::TimePoint until) {
  this->d->abandoned.push_back({until, target});
  std::ranges::push_heap(this->d->abandoned, std::greater<>{});
}

bool Holder::OpenConnection(base::TimePoint now, TargetIndex target) {
  HeldTarget& held = this->d->targets[target];
  if (held.in_use.connections >= held.LentAt(now).connections) return false;
  held.in_use.connections += 1;
  return true;
}

void Holder::CloseConnection(TargetIndex target) {
  HeldTarget& held = this->d->targets[target];
  MANGOROAD_SOFT_ASSERT(held.in_use.connections > 0, return);
  held.in_use.connections -= 1;
  this->d->ReuseIfIdle(target);
}

Amount Holder::Free(base::TimePoint now, TargetIndex target) const {
  const HeldTarget& held = this->d->targets[target];
  return Max(held.LentAt(now) - held.in_use, {});
}

Fence Holder::FenceOf(TargetIndex target) const { return this->d->targets[target].fence; }

Amount Holder::InUse(TargetIndex target) const { return this->d->targets[target].in_use; }

Amount Holder::Lent(base::TimePoint now, TargetIndex target) const {
  return this->d->targets[target].LentAt(now);
}

void Holder::OnLendMessage(base::TimePoint now, const LendMessage& lend) {
  const auto owner_state = this->d->owners.find(lend.owner);
  if (owner_state == this->d->owners.end() || lend.holder != this->d->identity) return;
  const auto sent = std::ranges::find(owner_state->second.sent, lend.request_number,
                                      &internal::SentBorrow::number);
  if (sent == owner_state->second.sent.end()) return;
  for (const LendItem& item : lend.items) {
    const auto found = this->d->index.find(item.target);
    if (found == this->d->index.end()) continue;
    HeldTarget& held = this->d->targets[found->second];
    if (!held.known || held.owner != lend.owner || held.fence != item.fence) continue;
    if (item.lease_number <= held.adopted_lease) continue;
    const bool fewer = item.amount.slots < held.LentAt(now).slots ||
                       item.amount.connections < held.LentAt(now).connections;
    held.adopted_lease = item.lease_number;
    held.lent = item.amount;
    held.end = sent->sent + item.duration;
    // A recall is acknowledged at once, so that the owner can lend the difference to others.
    if (fewer) held.next_renewal = {};
    this->d->MarkChanged(found->second);
  }
}

std::vector<BorrowRequest> Holder::Tick(base::TimePoint now) {
  this->d->ReleaseAbandoned(now);
  std::map<std::string, BorrowRequest> messages;
  for (HeldTarget& held : this->d->targets) {
    if (!held.known || now < held.next_renewal) continue;
    const Amount limit = Max(held.LentAt(now), held.in_use);
    // For a target without demand, one last message returns everything; no more messages follow.
    const bool idle = held.wanted == Amount{} && limit == Amount{};
    if (std::exchange(held.returned, idle) && idle) continue;
    held.next_renewal = now + kRenewalInterval;
    messages[held.owner].items.push_back(
        {held.name, held.fence, held.adopted_lease, held.wanted, limit});
  }
  std::vector<BorrowRequest> outgoing;
  for (auto& [owner, message] : messages) {
    internal::OwnerState& state = this->d->owners[owner];
    message.owner = owner;
    message.holder = this->d->identity;
    message.number = ++state.last_request_number;
    state.sent.push_back({message.number, now});
    // A response to an older request would bring a lease that has expired already.
    while (state.sent.front().sent + kCapacityLeaseDuration < now) state.sent.pop_front();
    outgoing.push_back(std::move(message));
  }
  return outgoing;
}

std::vector<TargetIndex> Holder::TakeChanged() {
  for (const TargetIndex target : this->d->changed) this->d->targets[target].changed = false;
  return std::exchange(this->d->changed, {});
}

}  // namespace mangoroad::lending
