#include "entry/key_service.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "log/log.h"
#include "registry/home.h"
#include "registry/registry_codec.h"
#include "state/state_codec.h"

namespace mangoroad::entry {
namespace {

/// At 16 KiB of claims and answers for each of 4,000 keys in their 10 minutes.
constexpr std::size_t kRegistryBytes = 64UL << 20U;
constexpr base::Duration kViewsEvery = std::chrono::milliseconds(500);
/// A member that isn't heard of for this long is taken out of its view.
constexpr base::Duration kMemberSilence = std::chrono::seconds(3);

}  // namespace

struct KeyService::Private {
  NodeContext& node;
  registry::KeyRegistry registry;
  std::map<registry::RequestNumber, OnDecision> waiting;
  registry::RequestNumber next_request = 1;
  state::View view;  // the one that the registry has
  std::set<std::string, std::less<>> retired;
  std::set<std::string> proposed;  // failure domains with a change of view on its way
  base::TimePoint views_checked;

  explicit Private(NodeContext& context)
      : node(context), registry(context.identity, kRegistryBytes) {}

  void Flush();
  void FollowViews(base::TimePoint now);
  void KeepViews(base::TimePoint now);
  std::map<std::string, std::vector<std::string>> AliveByDomain(base::TimePoint now) const;
  bool IsServed(const std::string& domain, std::uint64_t number) const;
  void ProposeView(const std::string& domain, const state::View& known,
                   const std::vector<std::string>& alive);
};

void KeyService::Private::Flush() {
  registry::Output output = this->registry.TakeOutput();
  for (const registry::OutgoingMessage& message : output.messages) {
    // The receiver has to know which process sent it, since a restarted one has lost its claims.
    this->node.send(
        NameOfIdentity(message.to), message_kind::kClaim,
        message.to + "\n" + this->node.identity + "\n" + registry::Encode(message.message));
  }
  for (registry::DecidedClaim& decided : output.decisions) {
    const auto entry = this->waiting.find(decided.request);
    if (entry == this->waiting.end()) continue;
    this->node.loop.Post([callback = std::move(entry->second),
                          decision = std::move(decided.decision)] { callback(decision); });
    this->waiting.erase(entry);
  }
}

/// Gives the registry the view of its own failure domain, and retired domains.
void KeyService::Private::FollowViews(base::TimePoint now) {
  const auto& views = this->node.machine.State().Views().Views();
  for (const auto& [domain, known] : views) {
    if (!known.retired || this->retired.contains(domain)) continue;
    this->retired.insert(domain);
    this->registry.Retire(now, domain, known.retired_ms);
  }
  const auto own = views.find(this->node.settings.failure_domain);
  if (own == views.end() || own->second.number == this->view.number) return;
  registry::View next;
  next.number = own->second.number;
  next.members = own->second.members;
  if (next.number == this->view.number + 1) {
    next.previous = this->view.members;
  } else if (next.number > 1) {
    // This process has missed views. Asking all present members is enough, since consecutive views
    // share members.
    std::ranges::copy_if(next.members, std::back_inserter(next.previous),
                         [this](const auto& member) { return member != this->node.identity; });
  }
  this->view = own->second;
  this->registry.SetView(now, next);
  log::Info(log::Category::kRegistry, "view changed",
            {{"view", next.number}, {"members", next.members.size()}});
}

/// Identities of the processes that are heard, by failure domain.
std::map<std::string, std::vector<std::string>> KeyService::Private::AliveByDomain(
    base::TimePoint now) const {
  std::map<std::string, std::vector<std::string>> alive;
  alive[this->node.settings.failure_domain].push_back(this->node.identity);
  for (const auto& [name, status] : this->node.nodes()) {
    if (now - status.heard <= kMemberSilence && !status.draining) {
      alive[status.failure_domain].push_back(status.identity);
    }
  }
  return alive;
}

/// True when a member of the domain serves claims in this view, so that it holds the union of the
/// views before.
bool KeyService::Private::IsServed(const std::string& domain, std::uint64_t number) const {
  if (number == 0) return true;
  const bool own = domain == this->node.settings.failure_domain && this->registry.IsServing() &&
                   this->registry.ViewNumber() == number;
  return own || std::ranges::any_of(this->node.nodes(), [&](const auto& entry) {
           return entry.second.failure_domain == domain && entry.second.served_view == number;
         });
}

/// Views change by one member at a time: a new one is added before a silent one is removed.
void KeyService::Private::ProposeView(const std::string& domain, const state::View& known,
                                      const std::vector<std::string>& alive) {
  const auto is_in = [](const std::vector<std::string>& list, const std::string& item) {
    return std::ranges::find(list, item) != list.end();
  };
  state::ChangeView change;
  const auto joining = std::ranges::find_if_not(
      alive, [&](const auto& identity) { return is_in(known.members, identity); });
  // Several quick additions could leave only members that haven't fetched the claims yet.
  if (joining != alive.end() && this->IsServed(domain, known.number)) {
    change.action = state::ViewAction::kAdd;
    change.member = *joining;
  } else {
    const auto silent = std::ranges::find_if_not(
        known.members, [&](const auto& identity) { return is_in(alive, identity); });
    if (silent == known.members.end() || known.members.size() < 2) return;
    change.action = state::ViewAction::kRemove;
    change.member = *silent;
  }
  change.domain = domain;
  change.base_view = known.number;
  change.origin.change_id =
      "view-" + domain + "-" + std::to_string(known.number) + "-" + change.member;
  change.origin.author = this->node.settings.name;
  change.origin.reason = "membership of the key registry";
  change.origin.time_ms = this->node.loop.WallNow();
  this->proposed.insert(domain);
  this->node.log.Propose(state::EncodeCommand(change),
                         [this, domain](const ProposalResult&) { this->proposed.erase(domain); });
}

void KeyService::Private::KeepViews(base::TimePoint now) {
  if (now - this->views_checked < kViewsEvery || !this->node.log.MayLead()) return;
  this->views_checked = now;
  const auto& views = this->node.machine.State().Views().Views();
  for (const auto& [domain, alive] : this->AliveByDomain(now)) {
    if (this->proposed.contains(domain)) continue;
    const auto entry = views.find(domain);
    const state::View known = entry == views.end() ? state::View{} : entry->second;
    if (!known.retired) this->ProposeView(domain, known, alive);
  }
}

KeyService::KeyService(NodeContext& node) : d(std::make_unique<Private>(node)) {}
KeyService::~KeyService() = default;

std::optional<std::string> KeyService::HomeOf(std::string_view key,
                                              const std::vector<std::string>& place) const {
  if (!place.empty()) return registry::HomeDomainOf(key, place, this->d->registry.RetiredDomains());
  std::set<std::string> domains{this->d->node.settings.failure_domain};
  for (const settings::Peer& peer : this->d->node.settings.peers) {
    domains.insert(peer.failure_domain);
  }
  return registry::HomeDomainOf(key, {domains.begin(), domains.end()},
                                this->d->registry.RetiredDomains());
}

void KeyService::Claim(registry::ClaimRequest request, OnDecision decided) {
  request.request = this->d->next_request++;
  this->d->waiting.emplace(request.request, std::move(decided));
  this->d->registry.Claim(this->d->node.loop.Now(), request);
  this->d->Flush();
}

void KeyService::Finish(std::string_view key, const registry::Response& answer) {
  this->d->registry.Finish(this->d->node.loop.Now(), key, answer);
  this->d->Flush();
}

void KeyService::Release(std::string_view key) {
  this->d->registry.Release(this->d->node.loop.Now(), key);
  this->d->Flush();
}

std::uint64_t KeyService::ServedView() const {
  return this->d->registry.IsServing() ? this->d->registry.ViewNumber() : 0;
}

void KeyService::OnMessage(std::string_view payload) {
  const std::size_t to_end = payload.find('\n');
  const std::size_t from_end =
      to_end == std::string_view::npos ? to_end : payload.find('\n', to_end + 1);
  if (from_end == std::string_view::npos) return;
  // A message to an earlier process of this VM isn't for this one, which has none of its claims.
  if (payload.substr(0, to_end) != this->d->node.identity) return;
  const std::string_view from = payload.substr(to_end + 1, from_end - to_end - 1);
  const auto message = registry::Decode(payload.substr(from_end + 1));
  if (!base::Ok(message)) {
    log::Warning(log::Category::kRegistry, "malformed message refused",
                 {{"from", from}, {"reason", base::ErrorOf(message).message}});
    return;
  }
  this->d->registry.OnMessage(this->d->node.loop.Now(), from, base::ValueOf(message));
  this->d->Flush();
}

void KeyService::Tick() {
  const base::TimePoint now = this->d->node.loop.Now();
  this->d->FollowViews(now);
  this->d->KeepViews(now);
  this->d->registry.Tick(now);
  this->d->Flush();
}

}  // namespace mangoroad::entry
