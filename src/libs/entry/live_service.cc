#include "entry/live_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "entry/answers.h"
#include "entry/live_outcome.h"
#include "entry/live_request.h"
#include "entry/request_log.h"
#include "entry/responder.h"
#include "log/log.h"
#include "routing/connections.h"
#include "routing/holder_slots.h"
#include "routing/router.h"

namespace mangoroad::entry {
namespace {

/// Reading from a target pauses while this much waits for the caller.
constexpr std::size_t kMaxUnsentBytes = 256UL * 1024;
constexpr base::Duration kMaxIdle = std::chrono::seconds(30);
/// Interval at which targets, failure domains and demand are looked at anew; small beside the 2 s
/// in which a leaving target has to be left alone, and long enough to cost little with thousands of
/// targets.
constexpr base::Duration kLoadEvery = std::chrono::milliseconds(50);
constexpr base::Duration kDefaultLinkDelay = std::chrono::milliseconds(4);
/// Number of an answer that comes by relay, where attempts at targets are counted from 0.
constexpr int kRelayAnswer = -1;

}  // namespace

struct LiveService::Private {
  struct Relay {
    std::uint64_t request = 0;
    std::string peer;
    bool to_home = false;  // not a decision of the router
    std::uint32_t next_part = 0;
  };

  NodeContext& node;
  lending::Holder& holder;
  KeyService& keys;
  routing::HolderSlots slots;
  routing::Router router;
  std::map<std::uint64_t, LiveRequestPtr> requests;
  std::map<std::uint64_t, Relay> relays;
  std::map<std::string, routing::RowIndex, std::less<>> row_numbers;
  std::set<std::string, std::less<>> known_targets;
  base::TimePoint loaded;
  RequestLog finished;
  std::uint64_t table_version = 0;
  std::uint64_t next_request = 1;
  std::uint64_t next_relay = 1;
  std::size_t next_peer = 0;

  Private(NodeContext& context, lending::Holder& capacity, KeyService& key_service)
      : node(context),
        holder(capacity),
        keys(key_service),
        slots(capacity),
        router({.domain = context.settings.failure_domain, .seed = context.loop.RandomBits()},
               this->slots),
        finished(context) {}

  void OnCall(const net::HttpExchangePtr& exchange, const PathParameters& parts);
  void Accept(const LiveRequestPtr& request);
  void Claim(const LiveRequestPtr& request);
  void OnClaimDecided(const LiveRequestPtr& request, const registry::Decision& decision);
  void Route(const LiveRequestPtr& request);
  void Act();
  void Send(const routing::SendAction& action);
  void Cancel(const routing::CancelAction& action);
  void RelayTo(const LiveRequestPtr& request, const std::string& domain, bool to_home);
  void OnRouterRefusal(const routing::RefuseAction& action);
  void OnHeaders(const LiveRequestPtr& request, int attempt, const net::HttpAnswer& answer);
  void OnBody(const LiveRequestPtr& request, int attempt, std::string_view bytes);
  void OnEnd(const LiveRequestPtr& request, int attempt, std::optional<net::HttpFailure> failure);
  void StartAnswer(const LiveRequestPtr& request, int from, int status,
                   const net::HttpHeaders& headers);
  void AddBody(const LiveRequestPtr& request, std::string_view bytes);
  void Truncate(const LiveRequestPtr& request);
  void Complete(const LiveRequestPtr& request);
  void Refuse(const LiveRequestPtr& request, ErrorKind kind, std::string_view message,
              Outcome outcome);
  void EndRelay(std::uint64_t number, const LiveRequestPtr& request, Outcome outcome,
                ErrorKind kind, std::string_view message);
  base::Duration LinkDelayTo(const std::string& domain) const;
  void LoadRows();
  void LoadTargets(base::TimePoint now);
  void LoadLoans(base::TimePoint now);
  void LoadDomains();
  LiveRequestPtr Find(std::uint64_t number) const;
};

LiveRequestPtr LiveService::Private::Find(std::uint64_t number) const {
  const auto entry = this->requests.find(number);
  return entry == this->requests.end() ? nullptr : entry->second;
}

void LiveService::Private::OnCall(const net::HttpExchangePtr& exchange,
                                  const PathParameters& parts) {
  if (this->node.draining) {
    ReplyError(*exchange, ErrorKind::kDraining, "this entry VM is being stopped");
    return;
  }
  if (this->node.machine.State().Table().Version() == 0) {
    // After a start, an entry VM without a disk knows no rows until the leader has sent them.
    ReplyError(*exchange, ErrorKind::kNoTarget, "no table has arrived at this entry VM yet");
    return;
  }
  const table::Row* row = this->node.machine.State().Table().Current().Find(parts.front());
  if (row == nullptr || row->work_class == table::WorkClass::kBatch) {
    ReplyError(*exchange, ErrorKind::kUnknownRow,
               "no service or session row '" + parts.front() + "' in the table");
    return;
  }
  auto read = ReadLiveRequest(*exchange, *row, this->node.loop.Now());
  if (!base::Ok(read)) {
    ReplyError(*exchange, ErrorKind::kBadRequest, base::ErrorOf(read));
    return;
  }
  const LiveRequestPtr& request = base::ValueOf(read);
  request->responder = std::make_shared<HttpResponder>(exchange);
  this->Accept(request);
}

void LiveService::Private::Accept(const LiveRequestPtr& request) {
  request->number = this->next_request++;
  request->id = fmt::format("{}-{}", this->node.identity, request->number);
  this->requests.emplace(request->number, request);
  this->finished.Begin(request->row.row);
  if (request->row.idempotent || request->key.empty()) {
    this->Route(request);
    return;
  }
  const auto home = this->keys.HomeOf(request->key, request->row.place);
  if (home == this->node.settings.failure_domain) {
    this->Claim(request);
  } else if (home && !request->relayed) {
    this->RelayTo(request, *home, /*to_home=*/true);
  } else {
    this->Refuse(request, ErrorKind::kHomeUnreachable, "the home of the key isn't known here",
                 Outcome::kNotRun);
  }
}

void LiveService::Private::Claim(const LiveRequestPtr& request) {
  registry::ClaimRequest claim;
  claim.key = request->row.row + "/" + request->key;
  claim.digest = DigestOf(*request);
  claim.place = request->row.place;
  claim.key_time_ms = request->key_time_ms;
  claim.deadline = request->deadline;
  this->keys.Claim(std::move(claim), [this, request](const registry::Decision& decision) {
    this->OnClaimDecided(request, decision);
  });
}

void LiveService::Private::OnClaimDecided(const LiveRequestPtr& request,
                                          const registry::Decision& decision) {
  switch (decision.kind) {
    case registry::DecisionKind::kRun:
      request->claimed = true;
      request->recorded.emplace();
      this->Route(request);
      return;
    case registry::DecisionKind::kRecordedResponse: {
      net::HttpHeaders headers;
      for (const auto& [name, value] : decision.response.headers) headers.Add(name, value);
      this->StartAnswer(request, kRelayAnswer, decision.response.status, headers);
      request->responder->Body(decision.response.body);
      this->Complete(request);
      return;
    }
    case registry::DecisionKind::kInDoubt:
      this->Refuse(request, ErrorKind::kInDoubt,
                   "an earlier request with this key was sent and its answer isn't known",
                   Outcome::kUnknown);
      return;
    case registry::DecisionKind::kKeyReused:
      this->Refuse(request, ErrorKind::kKeyReused, "the key was used for another request",
                   Outcome::kNotRun);
      return;
    case registry::DecisionKind::kNotRun:
      this->Refuse(request, ErrorKind::kHomeUnreachable, decision.reason, Outcome::kNotRun);
      return;
  }
}

void LiveService::Private::Route(const LiveRequestPtr& request) {
  const auto row = this->row_numbers.find(request->row.row);
  if (row == this->row_numbers.end()) {
    this->Refuse(request, ErrorKind::kUnknownRow, "the row isn't in the table", Outcome::kNotRun);
    return;
  }
  // A keyed request stays in its home domain, where its claim is.
  this->router.Submit(this->node.loop.Now(), {.id = request->number,
                                              .row = row->second,
                                              .deadline = request->deadline,
                                              .relayed = request->relayed || request->claimed});
  this->Act();
}

/// Carries out the router's decisions, and those that follow from them.
void LiveService::Private::Act() {
  for (;;) {
    const routing::Actions actions = this->router.TakeActions();
    const bool empty = actions.send.empty() && actions.cancel.empty() && actions.relay.empty() &&
                       actions.refuse.empty() && actions.complete.empty();
    if (empty) return;
    for (const auto& action : actions.send) this->Send(action);
    for (const auto& action : actions.cancel) this->Cancel(action);
    for (const auto& action : actions.relay) {
      if (const auto request = this->Find(action.id)) {
        this->RelayTo(request, action.domain, /*to_home=*/false);
      }
    }
    for (const auto& action : actions.refuse) this->OnRouterRefusal(action);
    for (const auto& action : actions.complete) {
      if (const auto request = this->Find(action.id)) this->Complete(request);
    }
  }
}

void LiveService::Private::Send(const routing::SendAction& action) {
  const base::TimePoint now = this->node.loop.Now();
  const LiveRequestPtr request = this->Find(action.id);
  const std::string& target = this->holder.NameOf(action.target);
  const TargetInfo* info = this->node.directory.Find(target);
  const auto address = info == nullptr ? std::nullopt : net::ParseAddress(info->address);
  if (request == nullptr || !address || now >= request->deadline) {
    this->router.OnAttemptEnd(now, {action.id, action.attempt, routing::AttemptResult::kNotSent});
    return;
  }
  net::HttpClientRequest call;
  call.address = *address;
  call.method = request->method;
  call.target = request->target_path;
  call.headers = request->headers;
  call.headers.Add("Mangoroad-Request-Id", request->id);
  call.headers.Add("Mangoroad-Fence",
                   fmt::format("{}.{}", action.fence.incarnation, action.fence.epoch));
  call.headers.Add("Mangoroad-Holder", this->node.identity);
  const base::Duration left = request->deadline - now;
  call.headers.Add("Mangoroad-Deadline-Ms", std::to_string(base::ToMilliseconds(left)));
  call.body = request->body;
  call.timeout = left;
  call.max_idle = request->row.idempotent ? kMaxIdle : routing::kMaxIdleForNonIdempotent;
  Attempt& attempt = request->attempts[action.attempt];
  attempt.target = target;
  request->last_target = target;
  const int number = action.attempt;
  attempt.call = this->node.client.Send(
      std::move(call),
      {.on_headers = [this, request,
                      number](const auto& answer) { this->OnHeaders(request, number, answer); },
       .on_body = [this, request,
                   number](std::string_view bytes) { this->OnBody(request, number, bytes); },
       .on_end = [this, request, number](auto failure) { this->OnEnd(request, number, failure); }});
}

void LiveService::Private::Cancel(const routing::CancelAction& action) {
  const LiveRequestPtr request = this->Find(action.id);
  if (request == nullptr) return;
  const auto attempt = request->attempts.find(action.attempt);
  if (attempt != request->attempts.end()) this->node.client.Cancel(attempt->second.call);
}

void LiveService::Private::OnRouterRefusal(const routing::RefuseAction& action) {
  const LiveRequestPtr request = this->Find(action.id);
  if (request == nullptr) return;
  for (const auto& [number, attempt] : request->attempts) this->node.client.Cancel(attempt.call);
  this->Refuse(request, ToErrorKind(action.kind), MessageOf(action.kind),
               ToOutcome(action.outcome));
}

void LiveService::Private::OnHeaders(const LiveRequestPtr& request, int attempt,
                                     const net::HttpAnswer& answer) {
  Attempt& sent = request->attempts[attempt];
  sent.status = answer.status;
  sent.refused_by_target =
      answer.headers.Find(kOutcomeHeader) == base::NameOf(kOutcomeNames, Outcome::kNotRun);
  if (sent.refused_by_target || request->answering) return;
  request->last_target = sent.target;
  this->StartAnswer(request, attempt, answer.status, answer.headers);
  request->responder->OnClosed([this, call = sent.call] { this->node.client.Cancel(call); });
  request->responder->OnDrained([this, call = sent.call] { this->node.client.Pause(call, false); });
}

void LiveService::Private::StartAnswer(const LiveRequestPtr& request, int from, int status,
                                       const net::HttpHeaders& headers) {
  request->answering = from;
  if (std::optional<registry::Response>& recorded = request->recorded; recorded) {
    recorded->status = status;
    std::ranges::copy_if(headers.Fields(), std::back_inserter(recorded->headers),
                         [](const auto& field) { return !net::IsHopByHopHeader(field.first); });
  }
  request->responder->Start(status, headers);
}

void LiveService::Private::AddBody(const LiveRequestPtr& request, std::string_view bytes) {
  if (std::optional<registry::Response>& recorded = request->recorded; recorded) {
    recorded->body += bytes;
    if (recorded->body.size() > registry::kMaxResponseBytes) recorded.reset();
  }
  request->responder->Body(bytes);
}

void LiveService::Private::OnBody(const LiveRequestPtr& request, int attempt,
                                  std::string_view bytes) {
  if (request->answering != attempt) return;
  this->AddBody(request, bytes);
  if (request->responder->UnsentBytes() > kMaxUnsentBytes) {
    this->node.client.Pause(request->attempts[attempt].call, true);
  }
}

/// The caller sees that its answer is incomplete; the request did run.
void LiveService::Private::Truncate(const LiveRequestPtr& request) {
  request->truncated = true;
  request->recorded.reset();
  request->responder->Abort();
}

void LiveService::Private::OnEnd(const LiveRequestPtr& request, int attempt,
                                 std::optional<net::HttpFailure> failure) {
  using routing::AttemptResult;
  const Attempt& sent = request->attempts[attempt];
  AttemptResult result = AttemptResult::kRan;
  if (request->answering == attempt) {
    if (failure) this->Truncate(request);
    result = failure || sent.status >= 500 ? AttemptResult::kRanWithError : AttemptResult::kRan;
  } else if (sent.refused_by_target) {
    result = AttemptResult::kRefused;
  } else if (failure && net::IsNotSent(*failure)) {
    result = AttemptResult::kNotSent;
  } else if (failure) {
    result = AttemptResult::kBroken;
  }
  this->router.OnAttemptEnd(this->node.loop.Now(), {request->number, attempt, result});
  this->Act();
}

void LiveService::Private::Complete(const LiveRequestPtr& request) {
  if (this->requests.erase(request->number) == 0) return;
  if (!request->answering) {
    // The router completes only what was answered; a request without an answer has an unknown
    // outcome.
    request->responder->Refuse(ErrorKind::kTargetFailed, "the answer was lost", Outcome::kUnknown);
    this->finished.End(*request, Outcome::kUnknown, "the answer was lost");
    return;
  }
  if (!request->truncated) request->responder->End();
  const std::optional<registry::Response>& recorded = request->recorded;
  if (request->claimed && recorded) {
    this->keys.Finish(request->row.row + "/" + request->key, *recorded);
  }
  this->finished.End(*request, request->truncated ? Outcome::kUnknown : Outcome::kRan,
                     request->truncated ? "the answer was cut off" : "answered");
}

void LiveService::Private::Refuse(const LiveRequestPtr& request, ErrorKind kind,
                                  std::string_view message, Outcome outcome) {
  if (this->requests.erase(request->number) == 0) return;
  if (request->answering) {
    if (!request->truncated) request->responder->Abort();
    outcome = Outcome::kUnknown;
  } else {
    request->responder->Refuse(kind, message, outcome);
  }
  if (request->claimed && outcome == Outcome::kNotRun) {
    this->keys.Release(request->row.row + "/" + request->key);
  }
  this->finished.End(*request, outcome, std::string(message));
}

/// Sends a request to an entry VM of another failure domain.
void LiveService::Private::RelayTo(const LiveRequestPtr& request, const std::string& domain,
                                   bool to_home) {
  const base::TimePoint now = this->node.loop.Now();
  const base::Duration delay = this->LinkDelayTo(domain);
  std::vector<std::string> peers;
  for (const settings::Peer& peer : this->node.settings.peers) {
    if (peer.failure_domain == domain && this->node.alive(peer.name)) peers.push_back(peer.name);
  }
  const std::uint64_t number = this->next_relay++;
  // The answer needs the way back, too, so that it arrives before the caller's deadline.
  const std::string payload =
      EncodeRelayRequest(ToRelay(*request, number, request->deadline - now - 2 * delay));
  for (std::size_t tried = 0; tried < peers.size(); ++tried) {
    const std::string& peer = peers[this->next_peer++ % peers.size()];
    if (!this->node.send(peer, message_kind::kRelay, payload)) continue;
    this->relays.emplace(number, Relay{request->number, peer, to_home, 0});
    return;
  }
  if (to_home) {
    this->Refuse(request, ErrorKind::kHomeUnreachable,
                 "failure domain '" + domain + "', the home of the key, can't be reached",
                 Outcome::kNotRun);
    return;
  }
  this->router.OnRelayEnd(now, request->number, routing::Outcome::kNotRun);
}

void LiveService::Private::EndRelay(std::uint64_t number, const LiveRequestPtr& request,
                                    Outcome outcome, ErrorKind kind, std::string_view message) {
  const bool to_home = this->relays.at(number).to_home;
  this->relays.erase(number);
  if (to_home) {
    if (outcome == Outcome::kRan) {
      this->Complete(request);
    } else {
      this->Refuse(request, kind, message, outcome);
    }
    return;
  }
  this->router.OnRelayEnd(this->node.loop.Now(), request->number, ToRoutingOutcome(outcome));
  this->Act();
}

base::Duration LiveService::Private::LinkDelayTo(const std::string& domain) const {
  const auto& configured = this->node.settings.link_delays;
  const auto entry = configured.find(domain);
  return entry == configured.end() ? kDefaultLinkDelay : entry->second;
}

void LiveService::Private::LoadRows() {
  const state::TableState& table = this->node.machine.State().Table();
  if (table.Version() == this->table_version) return;
  this->table_version = table.Version();
  std::vector<routing::RowSpec> rows;
  this->row_numbers.clear();
  for (const table::Row& row : table.Current().Rows()) {
    if (row.work_class == table::WorkClass::kBatch) continue;
    this->row_numbers.emplace(row.row, static_cast<routing::RowIndex>(rows.size()));
    rows.push_back({.name = row.row,
                    .weight = static_cast<int>(row.weight),
                    .limit_inflight = static_cast<int>(row.limit_inflight),
                    .limit_rate = static_cast<double>(row.limit_rate),
                    .retries = static_cast<int>(row.retries),
                    .idempotent = row.idempotent,
                    .place = row.place});
  }
  this->router.SetRows(std::move(rows));
}

/// Tells the router which targets it may use.
void LiveService::Private::LoadTargets(base::TimePoint now) {
  const state::TargetState& marks = this->node.machine.State().Targets();
  std::set<std::string, std::less<>> present;
  std::vector<lending::TargetIndex> usable_targets;
  for (const auto& [id, info] : this->node.directory.All()) {
    const auto index = this->holder.Find(id);
    if (!index) continue;
    const bool serves =
        info.kinds.empty() || std::ranges::any_of(info.kinds, [this](const auto& kind) {
          return this->row_numbers.contains(kind);
        });
    const bool usable = serves && !info.leaving && !marks.IsDrained(id) &&
                        !marks.IsLost(id, info.fence.incarnation);
    this->router.SetTarget(now, *index, usable);
    if (usable) {
      usable_targets.push_back(*index);
    } else {
      this->holder.SetDemand(*index, this->holder.InUse(*index));
    }
    present.insert(id);
  }
  for (const std::string& gone : this->known_targets) {
    if (present.contains(gone)) continue;
    if (const auto index = this->holder.Find(gone)) this->router.SetTarget(now, *index, false);
  }
  this->known_targets = std::move(present);
  // A connection for each wanted slot and as many idle ones.
  const int wanted = this->router.WantedSlots();
  this->slots.SpreadDemand(usable_targets, wanted, 2 * wanted);
}

/// Loans that changed since the last call.
void LiveService::Private::LoadLoans(base::TimePoint now) {
  for (const lending::TargetIndex changed : this->holder.TakeChanged()) {
    this->router.RefreshTarget(now, changed);
  }
}

void LiveService::Private::LoadDomains() {
  std::map<std::string, routing::DomainState> domains;
  for (const settings::Peer& peer : this->node.settings.peers) {
    if (peer.failure_domain == this->node.settings.failure_domain) continue;
    routing::DomainState& domain = domains[peer.failure_domain];
    domain.name = peer.failure_domain;
    domain.link_delay = this->LinkDelayTo(peer.failure_domain);
    const auto summary = this->node.summary_of(peer.failure_domain);
    if (!summary || !this->node.alive(peer.name)) continue;
    domain.usable = summary->free_slots > 0;
  }
  std::vector<routing::DomainState> list;
  std::ranges::transform(domains, std::back_inserter(list),
                         [](const auto& entry) { return entry.second; });
  this->router.SetDomains(std::move(list));
}

LiveService::LiveService(NodeContext& node, lending::Holder& holder, KeyService& keys)
    : d(std::make_unique<Private>(node, holder, keys)) {}
LiveService::~LiveService() = default;

void LiveService::AddRoutes(HttpRouter& router) {
  router.Add(std::nullopt, "/v1/call/{}/{...}",
             [this](const auto& exchange, const auto& parts) { this->d->OnCall(exchange, parts); });
}

void LiveService::Tick() {
  const base::TimePoint now = this->d->node.loop.Now();
  this->d->LoadRows();
  if (now - this->d->loaded >= kLoadEvery) {
    this->d->loaded = now;
    this->d->LoadTargets(now);
    this->d->LoadDomains();
  }
  this->d->LoadLoans(now);
  this->d->router.Tick(now);
  this->d->Act();
  // An answer that doesn't come by the deadline has an unknown outcome.
  std::vector<std::uint64_t> late;
  for (const auto& [number, relay] : this->d->relays) {
    const auto request = this->d->Find(relay.request);
    if (request == nullptr || now >= request->deadline) late.push_back(number);
  }
  for (const std::uint64_t number : late) {
    const auto request = this->d->Find(this->d->relays.at(number).request);
    if (request == nullptr) {
      this->d->relays.erase(number);
    } else {
      this->d->EndRelay(number, request, Outcome::kUnknown, ErrorKind::kDeadline,
                        "no answer from the other failure domain before the deadline");
    }
  }
}

void LiveService::OnRelay(const std::string& peer, std::string_view payload) {
  const auto relay = DecodeRelayRequest(payload);
  if (!relay) {
    log::Warning(log::Category::kRouting, "malformed relay refused", {{"peer", peer}});
    return;
  }
  const auto responder =
      std::make_shared<RelayResponder>(relay->request, [this, peer](std::string frame) {
        this->d->node.send(peer, message_kind::kRelayed, std::move(frame));
      });
  const table::Row* row = this->d->node.machine.State().Table().Current().Find(relay->row);
  const auto request =
      row == nullptr ? std::nullopt : FromRelay(*relay, *row, this->d->node.loop.Now());
  if (!request || this->d->node.draining) {
    responder->Refuse(ErrorKind::kNoTarget, "the relayed request can't be run here",
                      Outcome::kNotRun);
    return;
  }
  (*request)->responder = responder;
  this->d->Accept(*request);
}

void LiveService::OnRelayed(const std::string& peer, std::string_view payload) {
  const auto part = DecodeRelayAnswer(payload);
  if (!part) {
    log::Warning(log::Category::kRouting, "malformed relayed answer refused", {{"peer", peer}});
    return;
  }
  const auto relay = this->d->relays.find(part->request);
  // A late part of an answer that was given up must not reach another request.
  if (relay == this->d->relays.end() || relay->second.peer != peer) return;
  const auto request = this->d->Find(relay->second.request);
  if (request == nullptr) {
    this->d->relays.erase(relay);
    return;
  }
  if (part->sequence != relay->second.next_part++) {
    // A part was lost with an earlier connection, so the rest can't complete the answer.
    if (request->answering) this->d->Truncate(request);
    this->d->EndRelay(part->request, request,
                      request->answering ? Outcome::kRan : Outcome::kUnknown,
                      ErrorKind::kTargetFailed, "a part of the answer was lost");
    return;
  }
  switch (part->part) {
    case RelayPart::kRefuse:
      this->d->EndRelay(part->request, request, part->outcome, part->error, part->bytes);
      return;
    case RelayPart::kStart: {
      net::HttpHeaders headers;
      for (const auto& [name, value] : part->headers) headers.Add(name, value);
      this->d->StartAnswer(request, kRelayAnswer, part->status, headers);
      return;
    }
    case RelayPart::kBody:
      if (request->answering == kRelayAnswer) this->d->AddBody(request, part->bytes);
      return;
    case RelayPart::kEnd:
      this->d->EndRelay(part->request, request, Outcome::kRan, ErrorKind::kTargetFailed, {});
      return;
    case RelayPart::kAbort:
      if (request->answering) this->d->Truncate(request);
      this->d->EndRelay(part->request, request,
                        request->answering ? Outcome::kRan : Outcome::kUnknown,
                        ErrorKind::kTargetFailed, "the answer was cut off");
      return;
  }
}

void LiveService::OnPeerLost(const std::string& peer) {
  std::vector<std::uint64_t> lost;
  for (const auto& [number, relay] : this->d->relays) {
    if (relay.peer == peer) lost.push_back(number);
  }
  for (const std::uint64_t number : lost) {
    const auto request = this->d->Find(this->d->relays.at(number).request);
    if (request == nullptr) {
      this->d->relays.erase(number);
      continue;
    }
    if (request->answering) this->d->Truncate(request);
    this->d->EndRelay(number, request, request->answering ? Outcome::kRan : Outcome::kUnknown,
                      ErrorKind::kTargetFailed, "the link to the other failure domain was lost");
  }
}

std::size_t LiveService::Waiting() const { return this->d->router.Waiting(); }

std::size_t LiveService::InProgress() const { return this->d->requests.size(); }

std::vector<std::string> LiveService::RowsInUse() const {
  std::set<std::string> used;
  for (const auto& [number, request] : this->d->requests) used.insert(request->row.row);
  return {used.begin(), used.end()};
}

std::string LiveService::RowStatus() const { return this->d->finished.RowStatus(); }

std::string LiveService::Explain(const std::string& request) const {
  return this->d->finished.Explain(request);
}

}  // namespace mangoroad::entry
