#include "lending/owner.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <ranges>
#include <utility>

#include "base/random.h"
#include "lending/fair_share.h"

namespace mangoroad::lending {
namespace internal {

using base::Duration;
using base::TimePoint;

struct CapacityLease {
  std::uint64_t number = 0;
  Amount granted;
  Amount committed;  // Not returned by the holder.
  TimePoint end;     // As seen by the owner, including LeaseMargin().
};

// The demand, leases and use of one holder at one target.
struct HolderRecord {
  Amount wanted;
  Amount limit;                      // The limit that the holder stated in its last BorrowRequest.
  std::deque<CapacityLease> leases;  // The adopted one and all later ones, ordered by number.
  TimePoint last_end;                // Of all leases, including those replaced by newer ones.
  Amount reported;                   // Use last reported by the target.
  TimePoint reported_from;           // The report was taken after this time.
  TimePoint lowered_at;              // Time of the last return of capacity by the holder.
  TimePoint last_demand;
  std::uint64_t last_request_number = 0;
  Duration last_lease_duration{};

  [[nodiscard]] bool MayStartAt(TimePoint now) const {
    return std::ranges::any_of(this->leases, [&](const CapacityLease& lease) {
      return now < lease.end && lease.granted != Amount{};
    });
  }

  // Capacity that can't be lent to other holders.
  [[nodiscard]] Amount Committed() const {
    Amount total = this->limit;
    for (const CapacityLease& lease : this->leases) total = Max(total, lease.committed);
    if (this->reported_from >= this->lowered_at) total = Max(total, this->reported);
    return total;
  }

  // A report taken after the end of all leases is authoritative, since use can only decrease from
  // then on.
  void OnReport(Amount use, TimePoint taken_after) {
    this->reported = use;
    this->reported_from = taken_after;
    if (taken_after < this->last_end) return;
    this->leases.clear();
    this->limit = use;
  }

  void OnBorrow(TimePoint now, const BorrowItem& item) {
    const Amount before = this->Committed();
    this->wanted = item.wanted;
    this->limit = item.limit;
    this->last_demand = now;
    std::erase_if(this->leases,
                  [&](const CapacityLease& lease) { return lease.number < item.adopted_lease; });
    // The adopted lease stays until a report taken after its end arrives, in case the holder dies.
    if (!this->leases.empty() && this->leases.front().number == item.adopted_lease) {
      this->leases.front().committed = item.limit;
    }
    const Amount after = this->Committed();
    if (after.slots < before.slots || after.connections < before.connections ||
        item.limit.slots < this->reported.slots ||
        item.limit.connections < this->reported.connections) {
      this->lowered_at = now;
    }
  }
};

struct IssuedNonce {
  std::uint64_t value = 0;
  TimePoint issued;
};

struct TargetRecord {
  std::string address;
  Fence fence;
  Amount capacity;
  bool leaving = false;
  bool draining = false;
  std::deque<IssuedNonce> nonces;  // In order of issue.
  TimePoint owned_until;
  TimePoint last_contact;
  std::uint64_t last_lease_number = 0;
  std::size_t rotation = 0;
  std::map<std::string, HolderRecord, std::less<>> holders;

  [[nodiscard]] bool IsLending(TimePoint now) const {
    return now < this->owned_until && !this->leaving && !this->draining;
  }

  [[nodiscard]] Amount Committed() const {
    Amount total;
    for (const auto& record : this->holders | std::views::values) {
      total = total + record.Committed();
    }
    return total;
  }

  // Demand is valid for as long as a lease granted for it could last.
  [[nodiscard]] static bool HasDemand(TimePoint now, const HolderRecord& record) {
    return now - record.last_demand < kCapacityLeaseDuration + LeaseMargin(kCapacityLeaseDuration);
  }

  [[nodiscard]] std::map<std::string, Amount, std::less<>> Shares(TimePoint now) const {
    std::vector<std::int32_t> slots;
    std::vector<std::int32_t> connections;
    for (const auto& record : this->holders | std::views::values) {
      const bool counts = HasDemand(now, record);
      slots.push_back(counts ? record.wanted.slots : 0);
      connections.push_back(counts ? record.wanted.connections : 0);
    }
    // Targets start the circular order at different holders, so that the indivisible slots of all
    // targets don't go to the same holder. With more holders than slots, the start advances every
    // second so that each holder gets a slot in turn.
    const auto demands = std::ranges::count_if(slots, [](auto wanted) { return wanted > 0; });
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    const auto turn = demands > this->capacity.slots ? static_cast<std::size_t>(second) : 0;
    const std::size_t first = (this->rotation + turn) % std::max<std::size_t>(1, slots.size());
    slots = FairShares(this->capacity.slots, slots, first);
    connections = FairShares(this->capacity.connections, connections, first);
    std::map<std::string, Amount, std::less<>> shares;
    std::size_t i = 0;
    for (const auto& name : this->holders | std::views::keys) {
      shares[name] = {slots[i], connections[i]};
      ++i;
    }
    return shares;
  }

  // Fair share of a holder, limited to what the other holders leave free.
  [[nodiscard]] Amount Grant(TimePoint now, const std::string& holder) const {
    if (!this->IsLending(now)) return {};
    const Amount others = this->Committed() - this->holders.find(holder)->second.Committed();
    const Amount free = Max(this->capacity - others, {});
    return Min(this->Shares(now)[holder], free);
  }

  LendItem AddLease(TimePoint now, const std::string& name, const std::string& holder,
                    Amount amount, Duration duration) {
    HolderRecord& record = this->holders[holder];
    const std::uint64_t number = ++this->last_lease_number;
    if (amount != Amount{}) {
      const base::TimePoint end = now + duration + LeaseMargin(duration);
      record.leases.push_back({number, amount, amount, end});
      record.last_end = std::max(record.last_end, end);
    }
    return {name, this->fence, number, amount, duration};
  }
};

}  // namespace internal

using internal::HolderRecord;
using internal::TargetRecord;

struct Owner::Private {
  std::string identity;
  base::Random random;
  std::map<std::string, TargetRecord, std::less<>> targets;

  std::uint64_t IssueNonce(base::TimePoint now, TargetRecord& record) {
    std::erase_if(record.nonces,
                  [&](const auto& nonce) { return nonce.issued + kOwnershipLeaseDuration <= now; });
    // At the normal announcement rate there are three; the limit bounds the list when announcements
    // arrive faster.
    constexpr std::size_t kMaxNonces = 16;
    if (record.nonces.size() >= kMaxNonces) record.nonces.pop_front();
    record.nonces.push_back({this->random.Bits() | 1U, now});
    return record.nonces.back().value;
  }

  // Applies the state that a target reported when it returned a nonce issued at `issued`.
  static void ApplyReport(TargetRecord& record, const Announcement& announcement,
                          base::TimePoint issued) {
    record.address = announcement.address;
    record.capacity = announcement.capacity;
    for (const auto& holder : announcement.in_use | std::views::keys) record.holders[holder];
    for (auto& [name, holder] : record.holders) {
      const auto use = announcement.in_use.find(name);
      holder.OnReport(use == announcement.in_use.end() ? Amount{} : use->second, issued);
    }
  }
};

Owner::Owner(std::string identity, std::uint64_t seed)
    : d(std::make_unique<Private>(Private{std::move(identity), base::Random(seed), {}})) {}
Owner::~Owner() = default;
Owner::Owner(Owner&&) noexcept = default;
Owner& Owner::operator=(Owner&&) noexcept = default;

AnnouncementResponse Owner::OnAnnouncement(base::TimePoint now, const Announcement& announcement) {
  AnnouncementResponse response{this->d->identity, announcement.fence, 0, false,
                                kAnnouncementInterval};
  TargetRecord& record = this->d->targets[announcement.target];
  if (announcement.fence < record.fence) return response;
  if (record.fence < announcement.fence) {
    // A newer fence ends the previous ownership and invalidates all its leases at the target.
    const bool draining = record.draining;
    record = {};
    record.fence = announcement.fence;
    record.draining = draining;
    record.rotation = this->d->random.Below(1U << 16U);
  }
  record.last_contact = now;
  // `leaving` stays set until the next incarnation, so that a late announcement can't revert it.
  record.leaving = record.leaving || announcement.leaving;

  const auto returned =
      std::ranges::find(record.nonces, announcement.nonce, &internal::IssuedNonce::value);
  if (announcement.nonce != 0 && returned != record.nonces.end() &&
      now < returned->issued + kOwnershipLeaseDuration) {
    const base::TimePoint issued = returned->issued;
    // Older nonces than the returned one are dropped, so that an announcement that was sent earlier
    // and arrives later doesn't replace the newer report.
    record.nonces.erase(record.nonces.begin(), returned);
    record.owned_until = std::max(record.owned_until, issued + kOwnershipLeaseDuration);
    Private::ApplyReport(record, announcement, issued);
  }
  response.owned = now < record.owned_until;
  response.nonce = this->d->IssueNonce(now, record);
  return response;
}

LendMessage Owner::OnBorrowRequest(base::TimePoint now, const BorrowRequest& borrow) {
  LendMessage lend{this->d->identity, borrow.holder, borrow.number, {}};
  for (const BorrowItem& item : borrow.items) {
    const auto found = this->d->targets.find(item.target);
    if (found == this->d->targets.end() || found->second.fence != item.fence) {
      lend.items.push_back({item.target, item.fence, 0, {}, {}});
      continue;
    }
    TargetRecord& record = found->second;
    HolderRecord& holder = record.holders[borrow.holder];
    if (borrow.number <= holder.last_request_number) continue;  // Late or duplicate message.
    holder.OnBorrow(now, item);
    holder.last_request_number = borrow.number;
    const Amount amount = record.Grant(now, borrow.holder);
    // No lease outlives the ownership, so the next owner need not consider any.
    const base::Duration duration =
        amount == Amount{} ? base::Duration{}
                           : std::min(kCapacityLeaseDuration, record.owned_until - now);
    holder.last_lease_duration = duration;
    lend.items.push_back(record.AddLease(now, item.target, borrow.holder, amount, duration));
  }
  return lend;
}

void Owner::SetDraining(std::string_view target, bool draining) {
  const auto found = this->d->targets.find(target);
  if (found != this->d->targets.end()) found->second.draining = draining;
}

std::vector<LendMessage> Owner::Tick(base::TimePoint now) {
  std::vector<LendMessage> recalls;
  std::erase_if(this->d->targets, [&](const auto& entry) {
    return std::max(entry.second.owned_until, entry.second.last_contact) +
               kRetentionAfterOwnership <
           now;
  });
  for (auto& [name, record] : this->d->targets) {
    std::erase_if(record.holders, [&](const auto& entry) {
      return !TargetRecord::HasDemand(now, entry.second) && entry.second.Committed() == Amount{};
    });
    const auto shares = record.Shares(now);
    const bool is_lending = record.IsLending(now);
    const bool short_of_slots = record.Committed().slots >= record.capacity.slots;
    const bool short_of_connections = record.Committed().connections >= record.capacity.connections;
    for (auto& [holder_name, holder] : record.holders) {
      if (!holder.MayStartAt(now)) continue;
      const Amount newest = holder.leases.back().granted;
      Amount target = newest;
      const Amount share = is_lending ? shares.find(holder_name)->second : Amount{};
      if (!is_lending || short_of_slots) target.slots = std::min(target.slots, share.slots);
      if (!is_lending || short_of_connections) {
        target.connections = std::min(target.connections, share.connections);
      }
      if (target == newest) continue;
      // The recall keeps the end of the lease, since its duration counts from the same
      // BorrowRequest.
      LendMessage recall{this->d->identity, holder_name, holder.last_request_number, {}};
      const std::uint64_t number = ++record.last_lease_number;
      holder.leases.push_back({number, target, target, holder.leases.back().end});
      recall.items.push_back({name, record.fence, number, target, holder.last_lease_duration});
      recalls.push_back(std::move(recall));
    }
  }
  return recalls;
}

std::optional<OwnedTarget> Owner::Find(base::TimePoint now, std::string_view target) const {
  const auto found = this->d->targets.find(target);
  if (found == this->d->targets.end() || now >= found->second.owned_until) return std::nullopt;
  const TargetRecord& record = found->second;
  return OwnedTarget{found->first,       record.address,     record.fence,  record.capacity,
                     record.Committed(), record.owned_until, record.leaving};
}

std::vector<OwnedTarget> Owner::Targets(base::TimePoint now) const {
  std::vector<OwnedTarget> owned;
  for (const auto& name : this->d->targets | std::views::keys) {
    if (auto target = this->Find(now, name)) owned.push_back(std::move(*target));
  }
  return owned;
}

bool Owner::HasStoppedLending(base::TimePoint now, std::string_view target) const {
  const auto found = this->d->targets.find(target);
  if (found == this->d->targets.end()) return true;
  const auto may_start = [&](const auto& entry) { return entry.second.MayStartAt(now); };
  return !found->second.IsLending(now) && std::ranges::none_of(found->second.holders, may_start);
}

}  // namespace mangoroad::lending
