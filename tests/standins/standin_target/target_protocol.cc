#include "target_protocol.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>

#include "base/soft_assert.h"

namespace mangoroad::standin {
namespace {

constexpr base::Duration kAnnounceEvery = std::chrono::milliseconds(500);
constexpr base::Duration kShortestInterval = std::chrono::milliseconds(20);
// An entry VM that answers but never owns, e.g. while it drains, is left after this many answers.
constexpr int kAnswersWithoutOwnership = 4;

std::uint32_t Sum(const std::map<std::string, std::uint32_t, std::less<>>& counts) {
  return std::accumulate(counts.begin(), counts.end(), 0U,
                         [](std::uint32_t sum, const auto& entry) { return sum + entry.second; });
}

}  // namespace

TargetProtocol::TargetProtocol(Identity target, std::size_t entry_count, std::size_t first_entry)
    : identity(std::move(target)),
      entries(std::max<std::size_t>(entry_count, 1)),
      entry(first_entry % entries) {}

std::string TargetProtocol::Fence() const {
  return fmt::format("{}.{}", this->identity.incarnation, this->epoch);
}

std::uint32_t TargetProtocol::InProgress() const { return Sum(this->in_progress); }

std::optional<Announcement> TargetProtocol::Tick(base::TimePoint now) {
  if (this->is_waiting || now < this->next_announcement || now < this->quiet_until) {
    return std::nullopt;
  }
  this->is_waiting = true;
  this->next_announcement = now + kAnnounceEvery;
  return Announcement{this->entry, this->epoch, this->Body()};
}

std::string TargetProtocol::Body() const {
  const Identity& t = this->identity;
  const nlohmann::json body{{"address", t.address},
                            {"incarnation", t.incarnation},
                            {"epoch", this->epoch},
                            {"nonce", this->nonce},
                            {"failure_domain", t.failure_domain},
                            {"rack", t.rack},
                            {"processors", t.processors},
                            {"memory_mib", t.memory_mib},
                            {"accelerators", t.accelerators},
                            {"slots", t.slots},
                            {"connections", t.connections},
                            {"kinds", t.kinds},
                            {"in_progress", this->in_progress},
                            {"open_connections", this->open_connections},
                            {"leaving", this->is_leaving}};
  return body.dump();
}

void TargetProtocol::OnReply(base::TimePoint now, std::uint64_t reply_epoch, int status,
                             std::string_view body) {
  if (reply_epoch != this->epoch) return;
  this->is_waiting = false;
  const auto reply = nlohmann::json::parse(body, nullptr, false);
  if (status == 200 && reply.is_object() && reply.contains("nonce") &&
      reply["nonce"].is_number_unsigned()) {
    this->nonce = reply["nonce"].get<std::uint64_t>();
    this->nonce_received = now;
    const auto owned = reply.find("owned");
    this->is_owned = owned != reply.end() && owned->is_boolean() && owned->get<bool>();
    this->answers_without_ownership = this->is_owned ? 0 : this->answers_without_ownership + 1;
    // The first nonce is returned at once, since ownership begins with its return.
    if (!this->is_owned && this->answers_without_ownership == 1) this->next_announcement = now;
    const auto every = reply.find("announce_every_ms");
    if (this->is_owned && every != reply.end() && every->is_number_unsigned()) {
      const base::Duration wanted = std::chrono::milliseconds(every->get<std::uint32_t>());
      this->next_announcement = now + std::clamp(wanted, kShortestInterval, kAnnounceEvery);
    }
    if (this->answers_without_ownership < kAnswersWithoutOwnership) return;
  } else {
    this->is_owned = false;
  }
  const bool may_recover = this->answers_without_ownership < kAnswersWithoutOwnership;
  if (may_recover && this->nonce_received &&
      now < *this->nonce_received + kOwnership + kAllowance) {
    return;
  }
  this->ChangeOwner();
}

void TargetProtocol::ChangeOwner() {
  // The last owner's right has ended before another entry VM hears of the new epoch.
  if (this->nonce_received) this->quiet_until = *this->nonce_received + kOwnership + kAllowance;
  this->entry = (this->entry + 1) % this->entries;
  this->epoch += 1;
  this->nonce = 0;
  this->nonce_received.reset();
  this->is_owned = false;
  this->answers_without_ownership = 0;
}

void TargetProtocol::Leave(base::TimePoint now) {
  this->is_leaving = true;
  this->next_announcement = now;
}

std::optional<Refusal> TargetProtocol::StartRequest(std::string_view holder, std::string_view fence,
                                                    std::string_view row) {
  if (holder.empty() || fence.empty()) {
    return Refusal{400, "bad-request", "Mangoroad-Holder and Mangoroad-Fence are required"};
  }
  if (fence != this->Fence()) {
    return Refusal{409, "old-fence",
                   fmt::format("fence '{}' is not the present '{}'", fence, this->Fence())};
  }
  if (this->has_left) return Refusal{503, "leaving", "the target has left"};
  const auto& kinds = this->identity.kinds;
  if (!kinds.empty() && std::ranges::find(kinds, row) == kinds.end()) {
    return Refusal{503, "wrong-kind", fmt::format("row '{}' doesn't run here", row)};
  }
  if (this->InProgress() >= this->identity.slots) {
    return Refusal{503, "no-slot", fmt::format("all {} slots are in use", this->identity.slots)};
  }
  this->in_progress[std::string(holder)] += 1;
  return std::nullopt;
}

void TargetProtocol::EndRequest(std::string_view holder) {
  const auto found = this->in_progress.find(holder);
  MANGOROAD_SOFT_ASSERT(found != this->in_progress.end(), return);
  if (--found->second == 0) this->in_progress.erase(found);
}

bool TargetProtocol::OpenConnection(std::string_view holder) {
  if (Sum(this->open_connections) >= this->identity.connections) return false;
  this->open_connections[std::string(holder)] += 1;
  return true;
}

void TargetProtocol::CloseConnection(std::string_view holder) {
  const auto found = this->open_connections.find(holder);
  MANGOROAD_SOFT_ASSERT(found != this->open_connections.end(), return);
  if (--found->second == 0) this->open_connections.erase(found);
}

}  // namespace mangoroad::standin
