#include "lending/lending_target.h"

#include <ranges>
#include <utility>

namespace mangoroad::lending {

using base::TimePoint;

struct LendingTarget::Private {
  TargetSettings settings;
  Fence fence;
  std::size_t entry = 0;
  std::string owner;  // Identity of the process whose nonces this target returns; empty for none.
  std::uint64_t nonce = 0;
  TimePoint nonce_received;
  TimePoint next_announcement;
  int unanswered = 0;
  std::map<std::string, Amount, std::less<>> in_use;
  bool leaving = false;

  [[nodiscard]] TimePoint OwnershipEnd() const {
    return this->nonce_received + kOwnershipLeaseDuration + LeaseMargin(kOwnershipLeaseDuration);
  }

  // Moves on to the next entry VM. The new epoch invalidates requests under leases of the last
  // owner.
  void ChangeEntry() {
    this->entry = (this->entry + 1) % this->settings.entries.size();
    this->fence.epoch += 1;
    this->owner.clear();
    this->nonce = 0;
    this->unanswered = 0;
  }

  void ChangeEntryIfSilent(TimePoint now) {
    if (this->owner.empty()) {
      // No wait is needed: an entry VM that issued no nonce in this epoch can't own the target.
      constexpr int kMaxUnanswered = 1;
      if (this->unanswered > kMaxUnanswered) this->ChangeEntry();
    } else if (now >= this->OwnershipEnd()) {
      this->ChangeEntry();
    }
  }

  [[nodiscard]] Amount Total() const {
    Amount total;
    for (const Amount& use : this->in_use | std::views::values) total = total + use;
    return total;
  }

  [[nodiscard]] Refusal CheckAdmission(Fence request_fence) const {
    if (request_fence != this->fence) return Refusal::kStaleFence;
    return this->leaving ? Refusal::kLeaving : Refusal::kNone;
  }

  Amount& Use(std::string_view holder) {
    const auto found = this->in_use.find(holder);
    if (found != this->in_use.end()) return found->second;
    return this->in_use.emplace(std::string(holder), Amount{}).first->second;
  }

  void Release(std::string_view holder, Amount amount) {
    Amount& use = this->Use(holder);
    use = Max(use - amount, {});
    if (use == Amount{}) this->in_use.erase(this->in_use.find(holder));
  }
};

LendingTarget::LendingTarget(TargetSettings settings) : d(std::make_unique<Private>()) {
  this->d->fence = {settings.incarnation, 1};
  this->d->settings = std::move(settings);
}
LendingTarget::~LendingTarget() = default;
LendingTarget::LendingTarget(LendingTarget&&) noexcept = default;
LendingTarget& LendingTarget::operator=(LendingTarget&&) noexcept = default;

std::optional<OutgoingAnnouncement> LendingTarget::Tick(TimePoint now) {
  if (this->d->settings.entries.empty()) return std::nullopt;
  this->d->ChangeEntryIfSilent(now);
  if (now < this->d->next_announcement) return std::nullopt;
  this->d->next_announcement = now + kAnnouncementInterval;
  this->d->unanswered += 1;
  Announcement message{this->d->settings.name, this->d->settings.address,  this->d->fence,
                       this->d->nonce,         this->d->settings.capacity, this->InUseByHolder(),
                       this->d->leaving};
  return OutgoingAnnouncement{this->Entry(), std::move(message)};
}

void LendingTarget::OnResponse(TimePoint now, std::string_view entry,
                               const AnnouncementResponse& response) {
  if (response.fence != this->d->fence || entry != this->Entry() || response.nonce == 0) return;
  // A restarted entry VM has another identity. Leases granted by its earlier process may still be
  // in use, so the target waits as for any other change of owner.
  if (!this->d->owner.empty() && response.owner != this->d->owner) return;
  const bool first = this->d->owner.empty();
  this->d->owner = response.owner;
  this->d->nonce = response.nonce;
  this->d->nonce_received = now;
  this->d->unanswered = 0;
  // The next announcement returns the nonce, which starts the ownership without further delay.
  if (first) this->d->next_announcement = now;
}

void LendingTarget::Leave(TimePoint now) {
  this->d->leaving = true;
  this->d->next_announcement = now;
}

Refusal LendingTarget::StartRequest(std::string_view holder, Fence fence) {
  if (const Refusal refusal = this->d->CheckAdmission(fence); refusal != Refusal::kNone) {
    return refusal;
  }
  if (this->d->Total().slots >= this->d->settings.capacity.slots) return Refusal::kNoSlot;
  this->d->Use(holder).slots += 1;
  return Refusal::kNone;
}

void LendingTarget::EndRequest(std::string_view holder) { this->d->Release(holder, {1, 0}); }

Refusal LendingTarget::OpenConnection(std::string_view holder, Fence fence) {
  if (const Refusal refusal = this->d->CheckAdmission(fence); refusal != Refusal::kNone) {
    return refusal;
  }
  if (this->d->Total().connections >= this->d->settings.capacity.connections) {
    return Refusal::kNoConnection;
  }
  this->d->Use(holder).connections += 1;
  return Refusal::kNone;
}

void LendingTarget::CloseConnection(std::string_view holder) { this->d->Release(holder, {0, 1}); }

Fence LendingTarget::CurrentFence() const { return this->d->fence; }

Amount LendingTarget::InUse() const { return this->d->Total(); }

std::map<std::string, Amount> LendingTarget::InUseByHolder() const {
  return {this->d->in_use.begin(), this->d->in_use.end()};
}

const std::string& LendingTarget::Entry() const {
  static const std::string kNone;
  return this->d->settings.entries.empty() ? kNone : this->d->settings.entries[this->d->entry];
}

}  // namespace mangoroad::lending
