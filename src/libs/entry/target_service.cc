#include "entry/target_service.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "entry/answers.h"
#include "entry/json_reader.h"
#include "lending/lease_lengths.h"
#include "lending/lending_codec.h"
#include "log/log.h"

namespace mangoroad::entry {
namespace {

/// Interval at which an owner shares the records of its targets with its failure domain.
constexpr base::Duration kShareEvery = std::chrono::milliseconds(500);
/// Interval at which operators' marks are looked at; small beside the 2 s in which a drained target
/// has to be left alone.
constexpr base::Duration kMarksEvery = std::chrono::milliseconds(100);
/// A `leave` request whose loans haven't ended by then is answered with an unknown outcome.
constexpr base::Duration kLeaveTimeout = std::chrono::seconds(5);

constexpr std::int64_t kMaxProcessors = 4'096;
constexpr std::int64_t kMaxMemoryMib = 64LL * 1024 * 1024;
constexpr std::int64_t kMaxAmount = 1'000'000;

}  // namespace

struct TargetService::Private {
  struct Leaving {
    net::HttpExchangePtr exchange;
    std::string target;
    base::TimePoint since;
  };

  NodeContext& node;
  lending::Owner owner;
  lending::Holder holder;
  std::vector<Leaving> leaving;
  std::map<std::string, std::uint64_t> left;  // incarnations that said that they leave
  base::TimePoint shared;
  base::TimePoint marks_applied;

  explicit Private(NodeContext& context)
      : node(context),
        owner(context.identity, context.loop.RandomBits()),
        holder(context.identity) {}

  void OnAnnounce(const net::HttpExchangePtr& exchange, const std::string& target);
  void OnLeave(const net::HttpExchangePtr& exchange, const std::string& target);
  void Learn(TargetInfo info);
  void Borrow(base::TimePoint now);
  void Share(base::TimePoint now);
  void AnswerLeaving(base::TimePoint now);
  void SendTo(const std::string& identity, std::string_view kind, std::string payload);
  void ApplyMarks(base::TimePoint now);
};

void TargetService::Private::SendTo(const std::string& identity, std::string_view kind,
                                    std::string payload) {
  this->node.send(NameOfIdentity(identity), kind, std::move(payload));
}

/// Takes a record of a target and lets the holder borrow from its owner.
void TargetService::Private::Learn(TargetInfo info) {
  const std::string id = info.id;
  if (!this->node.directory.Update(std::move(info))) return;
  const TargetInfo& known = *this->node.directory.Find(id);
  if (known.owner_identity.empty()) return;
  this->holder.SetOwner(id, known.owner_identity, known.fence);
}

void TargetService::Private::OnAnnounce(const net::HttpExchangePtr& exchange,
                                        const std::string& target) {
  const base::TimePoint now = this->node.loop.Now();
  JsonReader reader(exchange->body);
  TargetInfo info;
  lending::Announcement announcement;
  info.id = target;
  info.address = reader.Text("address", Presence::kRequired, 64);
  info.fence.incarnation =
      static_cast<std::uint64_t>(reader.Integer("incarnation", Presence::kRequired, 1));
  info.fence.epoch = static_cast<std::uint64_t>(reader.Integer("epoch", Presence::kRequired));
  announcement.nonce = reader.Unsigned("nonce", Presence::kOptional);
  info.failure_domain = reader.Text("failure_domain", Presence::kRequired, 64);
  info.rack = reader.Text("rack", Presence::kRequired, 64);
  info.resources.millicores = static_cast<std::int64_t>(
      reader.Number("processors", Presence::kRequired, 0, kMaxProcessors) * 1000);
  info.resources.memory_mib = reader.Integer("memory_mib", Presence::kRequired, 0, kMaxMemoryMib);
  info.resources.accelerators = reader.Integer("accelerators", Presence::kOptional, 0, kMaxAmount);
  info.capacity.slots =
      static_cast<std::int32_t>(reader.Integer("slots", Presence::kRequired, 0, kMaxAmount));
  info.capacity.connections =
      static_cast<std::int32_t>(reader.Integer("connections", Presence::kRequired, 0, kMaxAmount));
  info.kinds = reader.Texts("kinds", Presence::kOptional);
  for (const auto& [holder_name, count] : reader.IntegerMap("in_progress", Presence::kOptional)) {
    announcement.in_use[holder_name].slots = static_cast<std::int32_t>(count);
  }
  for (const auto& [holder_name, count] :
       reader.IntegerMap("open_connections", Presence::kOptional)) {
    announcement.in_use[holder_name].connections = static_cast<std::int32_t>(count);
  }
  info.leaving = reader.Flag("leaving", Presence::kOptional);
  std::string fault = reader.Fault();
  if (fault.empty() && !net::ParseAddress(info.address)) {
    fault = "field 'address' must be ip:port, not '" + info.address + "'";
  }
  if (fault.empty() && info.failure_domain != this->node.settings.failure_domain) {
    fault = "field 'failure_domain' is '" + info.failure_domain + "', this entry VM is in '" +
            this->node.settings.failure_domain + "'";
  }
  if (!fault.empty()) {
    ReplyError(*exchange, ErrorKind::kBadRequest, fault);
    return;
  }
  announcement.target = target;
  announcement.address = info.address;
  announcement.fence = info.fence;
  announcement.capacity = info.capacity;
  announcement.leaving = info.leaving;
  for (const auto& [name, amount] : announcement.in_use) info.in_use = info.in_use + amount;

  const lending::AnnouncementResponse reply = this->owner.OnAnnouncement(now, announcement);
  if (reply.owned) {
    info.owner = this->node.settings.name;
    info.owner_identity = this->node.identity;
    info.heard = now;
    if (this->node.directory.Find(target) == nullptr) {
      log::Info(log::Category::kLending, "target owned",
                {{"target", target}, {"address", info.address}, {"rack", info.rack}});
    }
    this->Learn(std::move(info));
  }
  const nlohmann::json body{{"nonce", reply.nonce},
                            {"owned", reply.owned},
                            {"owner", reply.owner},
                            {"epoch", reply.fence.epoch},
                            {"incarnation", reply.fence.incarnation},
                            {"announce_every_ms", base::ToMilliseconds(reply.announce_every)}};
  ReplyJson(*exchange, 200, body.dump());
}

void TargetService::Private::OnLeave(const net::HttpExchangePtr& exchange,
                                     const std::string& target) {
  const base::TimePoint now = this->node.loop.Now();
  const auto owned = this->owner.Find(now, target);
  if (!owned) {
    ReplyError(*exchange, ErrorKind::kNotFound, "target '" + target + "' isn't owned here");
    return;
  }
  this->owner.SetDraining(target, true);
  this->left[target] = owned->fence.incarnation;
  this->leaving.push_back({exchange, target, now});
  log::Info(log::Category::kLending, "target leaves", {{"target", target}});
}

void TargetService::Private::AnswerLeaving(base::TimePoint now) {
  std::erase_if(this->leaving, [&](const Leaving& item) {
    if (this->owner.HasStoppedLending(now, item.target)) {
      ReplyJson(*item.exchange, 200, R"({"stopped":true})");
      return true;
    }
    if (now - item.since < kLeaveTimeout) return false;
    ReplyError(*item.exchange, ErrorKind::kNoTarget, "loans haven't ended yet", Outcome::kUnknown);
    return true;
  });
}

void TargetService::Private::Borrow(base::TimePoint now) {
  for (const lending::BorrowRequest& borrow : this->holder.Tick(now)) {
    if (borrow.owner == this->node.identity) {
      this->holder.OnLendMessage(now, this->owner.OnBorrowRequest(now, borrow));
    } else {
      this->SendTo(borrow.owner, message_kind::kBorrow, lending::Encode(borrow));
    }
  }
}

/// Sends the records of owned targets to the other entry VMs of the failure domain.
void TargetService::Private::Share(base::TimePoint now) {
  if (now - this->shared < kShareEvery) return;
  this->shared = now;
  std::vector<TargetInfo> owned;
  for (const lending::OwnedTarget& target : this->owner.Targets(now)) {
    if (const TargetInfo* info = this->node.directory.Find(target.name);
        info != nullptr && info->owner_identity == this->node.identity) {
      owned.push_back(*info);
    }
  }
  if (owned.empty()) return;
  const std::string payload = EncodeTargets(owned);
  for (const settings::Peer& peer : this->node.settings.peers) {
    if (peer.failure_domain != this->node.settings.failure_domain) continue;
    this->node.send(peer.name, message_kind::kTargets, payload);
  }
}

/// Operators' drain marks and the targets' own word stop lending of the targets that are owned
/// here.
void TargetService::Private::ApplyMarks(base::TimePoint now) {
  if (now - this->marks_applied < kMarksEvery) return;
  this->marks_applied = now;
  const state::TargetState& marks = this->node.machine.State().Targets();
  for (const lending::OwnedTarget& target : this->owner.Targets(now)) {
    const auto entry = this->left.find(target.name);
    const bool has_left =
        target.leaving || (entry != this->left.end() && entry->second == target.fence.incarnation);
    this->owner.SetDraining(target.name, has_left || marks.IsDrained(target.name));
  }
}

TargetService::TargetService(NodeContext& node) : d(std::make_unique<Private>(node)) {}
TargetService::~TargetService() = default;

void TargetService::AddRoutes(HttpRouter& router) {
  router.Add(net::HttpMethod::kPost, "/v1/targets/{}/announce",
             [this](const auto& exchange, const auto& parts) {
               this->d->OnAnnounce(exchange, parts.front());
             });
  router.Add(net::HttpMethod::kPost, "/v1/targets/{}/leave",
             [this](const auto& exchange, const auto& parts) {
               this->d->OnLeave(exchange, parts.front());
             });
}

void TargetService::Tick() {
  const base::TimePoint now = this->d->node.loop.Now();
  this->d->ApplyMarks(now);
  for (const lending::LendMessage& recall : this->d->owner.Tick(now)) {
    if (recall.holder == this->d->node.identity) {
      this->d->holder.OnLendMessage(now, recall);
    } else {
      this->d->SendTo(recall.holder, message_kind::kLend, lending::Encode(recall));
    }
  }
  this->d->Borrow(now);
  this->d->Share(now);
  this->d->AnswerLeaving(now);
  for (const std::string& gone : this->d->node.directory.DropSilent(now)) {
    this->d->holder.Remove(gone);
  }
}

void TargetService::OnBorrow(std::string_view peer, std::string_view payload) {
  const auto borrow = lending::DecodeBorrowRequest(payload);
  if (!base::Ok(borrow)) {
    log::Warning(log::Category::kLending, "malformed borrow refused", {{"peer", peer}});
    return;
  }
  const lending::LendMessage lend =
      this->d->owner.OnBorrowRequest(this->d->node.loop.Now(), base::ValueOf(borrow));
  this->d->node.send(peer, message_kind::kLend, lending::Encode(lend));
}

void TargetService::OnLend(std::string_view payload) {
  const auto lend = lending::DecodeLendMessage(payload);
  if (!base::Ok(lend)) {
    log::Warning(log::Category::kLending, "malformed lend refused",
                 {{"reason", base::ErrorOf(lend).message}});
    return;
  }
  this->d->holder.OnLendMessage(this->d->node.loop.Now(), base::ValueOf(lend));
}

void TargetService::OnTargets(std::string_view peer, std::string_view payload) {
  auto records = DecodeTargets(payload);
  if (!records) {
    log::Warning(log::Category::kLending, "malformed target records refused", {{"peer", peer}});
    return;
  }
  for (TargetInfo& info : *records) {
    info.heard = this->d->node.loop.Now();
    this->d->Learn(std::move(info));
  }
}

lending::Holder& TargetService::Holder() { return this->d->holder; }
const lending::Owner& TargetService::Owner() const { return this->d->owner; }

}  // namespace mangoroad::entry
