#include "lending/target_side.h"

#include <ranges>
#include <utility>

namespace mangoroad::lending {

using base::TimePoint;

struct TargetSide::Private {
  TargetSettings settings;
  Fence fence;
  std::size_t entry = 0;
  std::string owner;  // Identity of the process whose nonces are returned; empty for none.
  std::uint64_t nonce = 0;
  TimePoint nonce_received;
  TimePoint next_announcement;
  int unanswered = 0;
  std::map<std::string, Amount, std::less<>> in_use;
  bool leaving = false;

  [[nodiscard]] TimePoint OwnershipEnd() const {
    return this->nonce_received + kOwnershipLength + Allowance(kOwnershipLength);
  }

  // Moves on to the next entry VM. The new epoch makes requests of the last owner's loans void.
  void ChangeEntry() {
    this->entry = (this->entry + 1) % this->settings.entries.size();
    this->fence.epoch += 1;
    this->owner.clear();
    this->nonce = 0;
    this->unanswered = 0;
  }

  void ChangeEntryIfSilent(TimePoint now) {
    if (this->owner.empty()) {
      // An entry VM that never issued a nonce under this epoch can't own the target.
      constexpr int kMostUnanswered = 1;
      if (this->unanswered > kMostUnanswered) this->ChangeEntry();
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
    if (request_fence != this->fence) return Refusal::kOldFence;
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

TargetSide::TargetSide(TargetSettings settings) : d(std::make_unique<Private>()) {
  this->d->fence = {settings.incarnation, 1};
  this->d->settings = std::move(settings);
}
TargetSide::~TargetSide() = default;
TargetSide::TargetSide(TargetSide&&) noexcept = default;
TargetSide& TargetSide::operator=(TargetSide&&) noexcept = default;

std::optional<OutgoingAnnouncement> TargetSide::Tick(TimePoint now) {
  if (this->d->settings.entries.empty()) return std::nullopt;
  this->d->ChangeEntryIfSilent(now);
  if (now < this->d->next_announcement) return std::nullopt;
  this->d->next_announcement = now + kAnnounceEvery;
  this->d->unanswered += 1;
  Announcement message{this->d->settings.name, this->d->settings.address,  this->d->fence,
                       this->d->nonce,         this->d->settings.capacity, this->InUseByHolder(),
                       this->d->leaving};
  return OutgoingAnnouncement{this->Entry(), std::move(message)};
}

void TargetSide::OnReply(TimePoint now, std::string_view entry, const AnnounceReply& reply) {
  if (reply.fence != this->d->fence || entry != this->Entry() || reply.nonce == 0) return;
  // A restarted entry VM has another identity. Loans of its earlier process may still be in use,
  // so the target waits like for any other change of owner.
  if (!this->d->owner.empty() && reply.owner != this->d->owner) return;
  const bool first = this->d->owner.empty();
  this->d->owner = reply.owner;
  this->d->nonce = reply.nonce;
  this->d->nonce_received = now;
  this->d->unanswered = 0;
  // The second announcement returns the nonce and starts the ownership without a pause.
  if (first) this->d->next_announcement = now;
}

void TargetSide::Leave(TimePoint now) {
  this->d->leaving = true;
  this->d->next_announcement = now;
}

Refusal TargetSide::StartRequest(std::string_view holder, Fence fence) {
  if (const Refusal refusal = this->d->CheckAdmission(fence); refusal != Refusal::kNone) {
    return refusal;
  }
  if (this->d->Total().slots >= this->d->settings.capacity.slots) return Refusal::kNoSlot;
  this->d->Use(holder).slots += 1;
  return Refusal::kNone;
}

void TargetSide::EndRequest(std::string_view holder) { this->d->Release(holder, {1, 0}); }

Refusal TargetSide::OpenConnection(std::string_view holder, Fence fence) {
  if (const Refusal refusal = this->d->CheckAdmission(fence); refusal != Refusal::kNone) {
    return refusal;
  }
  if (this->d->Total().connections >= this->d->settings.capacity.connections) {
    return Refusal::kNoConnection;
  }
  this->d->Use(holder).connections += 1;
  return Refusal::kNone;
}

void TargetSide::CloseConnection(std::string_view holder) { this->d->Release(holder, {0, 1}); }

Fence TargetSide::CurrentFence() const { return this->d->fence; }

Amount TargetSide::InUse() const { return this->d->Total(); }

std::map<std::string, Amount> TargetSide::InUseByHolder() const {
  return {this->d->in_use.begin(), this->d->in_use.end()};
}

const std::string& TargetSide::Entry() const {
  static const std::string kNone;
  return this->d->settings.entries.empty() ? kNone : this->d->settings.entries[this->d->entry];
}

}  // namespace mangoroad::lending
