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

struct Loan {
  std::uint64_t number = 0;
  Amount granted;
  Amount committed;  // What of it the holder hasn't returned.
  TimePoint end;     // By the owner's count, with allowance.
};

// What one holder has of one target.
struct HolderRecord {
  Amount wanted;
  Amount held;              // The holder's own limit in its last Borrow.
  std::deque<Loan> loans;   // The adopted one and all later ones, in order of number.
  TimePoint last_end;       // Of all loans, also those that newer ones have replaced.
  Amount reported;          // Use as last reported by the target.
  TimePoint reported_from;  // The report was taken after this time.
  TimePoint lowered_at;     // The holder returned something at this time.
  TimePoint last_borrow;
  std::uint64_t answered = 0;
  Duration answered_length{};

  [[nodiscard]] bool MayStartAt(TimePoint now) const {
    return std::ranges::any_of(
        this->loans, [&](const Loan& loan) { return now < loan.end && loan.granted != Amount{}; });
  }

  // Capacity that can't be lent to others.
  [[nodiscard]] Amount Committed() const {
    Amount total = this->held;
    for (const Loan& loan : this->loans) total = Max(total, loan.committed);
    if (this->reported_from >= this->lowered_at) total = Max(total, this->reported);
    return total;
  }

  // A report taken after the end of all loans is the truth: use can only shrink from there.
  void OnReport(Amount use, TimePoint taken_after) {
    this->reported = use;
    this->reported_from = taken_after;
    if (taken_after < this->last_end) return;
    this->loans.clear();
    this->held = use;
  }

  void OnBorrow(TimePoint now, const BorrowItem& item) {
    const Amount before = this->Committed();
    this->wanted = item.wanted;
    this->held = item.held;
    this->last_borrow = now;
    std::erase_if(this->loans, [&](const Loan& loan) { return loan.number < item.adopted; });
    // The adopted loan stays until a report taken after its end, in case the holder dies.
    if (!this->loans.empty() && this->loans.front().number == item.adopted) {
      this->loans.front().committed = item.held;
    }
    const Amount after = this->Committed();
    if (after.slots < before.slots || after.connections < before.connections ||
        item.held.slots < this->reported.slots ||
        item.held.connections < this->reported.connections) {
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
  TimePoint last_heard;
  std::uint64_t last_loan = 0;
  std::size_t rotation = 0;
  std::map<std::string, HolderRecord, std::less<>> holders;

  [[nodiscard]] bool Lends(TimePoint now) const {
    return now < this->owned_until && !this->leaving && !this->draining;
  }

  [[nodiscard]] Amount Committed() const {
    Amount total;
    for (const auto& record : this->holders | std::views::values) {
      total = total + record.Committed();
    }
    return total;
  }

  // Demand counts while its statement is as recent as a loan could be.
  [[nodiscard]] static bool HasDemand(TimePoint now, const HolderRecord& record) {
    return now - record.last_borrow < kLoanLength + Allowance(kLoanLength);
  }

  [[nodiscard]] std::map<std::string, Amount, std::less<>> Shares(TimePoint now) const {
    std::vector<std::int32_t> slots;
    std::vector<std::int32_t> connections;
    for (const auto& record : this->holders | std::views::values) {
      const bool counts = HasDemand(now, record);
      slots.push_back(counts ? record.wanted.slots : 0);
      connections.push_back(counts ? record.wanted.connections : 0);
    }
    // Targets start the circular order at different holders, so that the odd slots of all targets
    // don't go to the same one. With more holders than slots, the start moves on every second and
    // each holder has a turn.
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

  // Fair share of a holder, cut to what the others leave free.
  [[nodiscard]] Amount Grant(TimePoint now, const std::string& holder) const {
    if (!this->Lends(now)) return {};
    const Amount others = this->Committed() - this->holders.find(holder)->second.Committed();
    const Amount free = Max(this->capacity - others, {});
    return Min(this->Shares(now)[holder], free);
  }

  LendItem Lend(TimePoint now, const std::string& name, const std::string& holder, Amount amount,
                Duration length) {
    HolderRecord& record = this->holders[holder];
    const std::uint64_t number = ++this->last_loan;
    if (amount != Amount{}) {
      const base::TimePoint end = now + length + Allowance(length);
      record.loans.push_back({number, amount, amount, end});
      record.last_end = std::max(record.last_end, end);
    }
    return {name, this->fence, number, amount, length};
  }
};

}  // namespace internal

using internal::HolderRecord;
using internal::TargetRecord;

struct Owner::Private {
  std::string identity;
  base::Random random;
  std::map<std::string, TargetRecord, std::less<>> targets;

  std::uint64_t Issue(base::TimePoint now, TargetRecord& record) {
    std::erase_if(record.nonces,
                  [&](const auto& nonce) { return nonce.issued + kOwnershipLength <= now; });
    // At the usual rate there are three; a flood of announcements must not grow the list.
    constexpr std::size_t kMostNonces = 16;
    if (record.nonces.size() >= kMostNonces) record.nonces.pop_front();
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

AnnounceReply Owner::OnAnnouncement(base::TimePoint now, const Announcement& announcement) {
  AnnounceReply reply{this->d->identity, announcement.fence, 0, false, kAnnounceEvery};
  TargetRecord& record = this->d->targets[announcement.target];
  if (announcement.fence < record.fence) return reply;
  if (record.fence < announcement.fence) {
    // A newer fence ends the older ownership and makes all its loans void at the target.
    const bool draining = record.draining;
    record = {};
    record.fence = announcement.fence;
    record.draining = draining;
    record.rotation = this->d->random.Below(1U << 16U);
  }
  record.last_heard = now;
  // Leaving doesn't end before the next incarnation, so that a late announcement can't undo it.
  record.leaving = record.leaving || announcement.leaving;

  const auto returned =
      std::ranges::find(record.nonces, announcement.nonce, &internal::IssuedNonce::value);
  if (announcement.nonce != 0 && returned != record.nonces.end() &&
      now < returned->issued + kOwnershipLength) {
    const base::TimePoint issued = returned->issued;
    // Nonces older than the returned one are dropped: an announcement that was sent earlier and
    // arrives later must not replace the newer report.
    record.nonces.erase(record.nonces.begin(), returned);
    record.owned_until = std::max(record.owned_until, issued + kOwnershipLength);
    Private::ApplyReport(record, announcement, issued);
  }
  reply.owned = now < record.owned_until;
  reply.nonce = this->d->Issue(now, record);
  return reply;
}

Lend Owner::OnBorrow(base::TimePoint now, const Borrow& borrow) {
  Lend lend{this->d->identity, borrow.holder, borrow.number, {}};
  for (const BorrowItem& item : borrow.items) {
    const auto found = this->d->targets.find(item.target);
    if (found == this->d->targets.end() || found->second.fence != item.fence) {
      lend.items.push_back({item.target, item.fence, 0, {}, {}});
      continue;
    }
    TargetRecord& record = found->second;
    HolderRecord& holder = record.holders[borrow.holder];
    if (borrow.number <= holder.answered) continue;  // A late or repeated message.
    holder.OnBorrow(now, item);
    holder.answered = borrow.number;
    const Amount amount = record.Grant(now, borrow.holder);
    // No loan outlives the ownership, so the next owner finds none.
    const base::Duration length =
        amount == Amount{} ? base::Duration{} : std::min(kLoanLength, record.owned_until - now);
    holder.answered_length = length;
    lend.items.push_back(record.Lend(now, item.target, borrow.holder, amount, length));
  }
  return lend;
}

void Owner::SetDraining(std::string_view target, bool draining) {
  const auto found = this->d->targets.find(target);
  if (found != this->d->targets.end()) found->second.draining = draining;
}

std::vector<Lend> Owner::Tick(base::TimePoint now) {
  std::vector<Lend> recalls;
  std::erase_if(this->d->targets, [&](const auto& entry) {
    return std::max(entry.second.owned_until, entry.second.last_heard) + kForgetAfter < now;
  });
  for (auto& [name, record] : this->d->targets) {
    std::erase_if(record.holders, [&](const auto& entry) {
      return !TargetRecord::HasDemand(now, entry.second) && entry.second.Committed() == Amount{};
    });
    const auto shares = record.Shares(now);
    const bool lends = record.Lends(now);
    const bool short_of_slots = record.Committed().slots >= record.capacity.slots;
    const bool short_of_connections = record.Committed().connections >= record.capacity.connections;
    for (auto& [holder_name, holder] : record.holders) {
      if (!holder.MayStartAt(now)) continue;
      const Amount newest = holder.loans.back().granted;
      Amount target = newest;
      const Amount share = lends ? shares.find(holder_name)->second : Amount{};
      if (!lends || short_of_slots) target.slots = std::min(target.slots, share.slots);
      if (!lends || short_of_connections) {
        target.connections = std::min(target.connections, share.connections);
      }
      if (target == newest) continue;
      // The recall keeps the end of the loan: its length counts from the same Borrow.
      Lend recall{this->d->identity, holder_name, holder.answered, {}};
      const std::uint64_t number = ++record.last_loan;
      holder.loans.push_back({number, target, target, holder.loans.back().end});
      recall.items.push_back({name, record.fence, number, target, holder.answered_length});
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

bool Owner::StoppedLending(base::TimePoint now, std::string_view target) const {
  const auto found = this->d->targets.find(target);
  if (found == this->d->targets.end()) return true;
  const auto may_start = [&](const auto& entry) { return entry.second.MayStartAt(now); };
  return !found->second.Lends(now) && std::ranges::none_of(found->second.holders, may_start);
}

}  // namespace mangoroad::lending
