#include "net/peer_link.h"

#include <event2/listener.h>

#include <algorithm>
#include <array>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <utility>

#include "base/random.h"
#include "log/log.h"
#include "net/connection.h"

namespace mangoroad::net {
namespace {

using internal::Connection;
using internal::Event;
using internal::MonotonicNow;
using internal::ToTimeval;

constexpr std::string_view kProbeKind = "_probe";
constexpr std::string_view kProbeReplyKind = "_probe-reply";
constexpr base::Duration kTickEvery = std::chrono::milliseconds(20);
// Connections that haven't proven a key are few and short-lived, so strangers can't exhaust
// sockets.
constexpr std::size_t kMaxUnproven = 64;
constexpr base::Duration kHandshakeTime = std::chrono::seconds(3);
// Bytes handed to the socket at once; what is behind them can still be dropped.
constexpr std::size_t kHandedOverBytes = 256U << 10U;

struct Address {
  sockaddr_storage storage{};
  int size = sizeof(sockaddr_storage);
  [[nodiscard]] const sockaddr* Get() const {
    return reinterpret_cast<const sockaddr*>(&this->storage);
  }
};

std::optional<Address> ToAddress(const settings::Endpoint& endpoint) {
  Address address;
  const bool is_valid =
      evutil_parse_sockaddr_port(endpoint.Text().c_str(),
                                 reinterpret_cast<sockaddr*>(&address.storage), &address.size) == 0;
  return is_valid ? std::optional(address) : std::nullopt;
}

struct Queued {
  wire::Envelope envelope;
  base::TimePoint due;
  [[nodiscard]] std::size_t Bytes() const {
    return this->envelope.kind.size() + this->envelope.payload.size();
  }
};

// The outgoing link to one peer.
struct Link {
  PeerLinkSettings::Peer peer;
  std::unique_ptr<Connection> connection;
  base::TimePoint opened;
  base::TimePoint next_attempt{};
  base::TimePoint last_probe{};
  base::Duration backoff{};
  std::deque<Queued> queue;
  std::size_t queued_bytes = 0;
  std::function<void()> pump;
  // Runs `pump` when the first message in the queue has been delayed enough.
  Event due_timer;

  [[nodiscard]] bool IsConnected() const {
    return this->connection != nullptr && this->connection->Session().IsEstablished();
  }
};

struct Incoming {
  std::unique_ptr<Connection> connection;
  base::TimePoint accepted;
};

struct ListenerFreer {
  void operator()(evconnlistener* object) const { evconnlistener_free(object); }
};

}  // namespace

struct PeerLinks::Private {
  Private(event_base* event_loop, PeerLinkSettings given, wire::KeyRing ring,
          PeerLinkCallbacks user)
      : base(event_loop),
        settings(std::move(given)),
        keys(std::move(ring)),
        callbacks(std::move(user)),
        random(settings.seed) {}

  void AddLink(const PeerLinkSettings::Peer& peer);
  void OnTick();
  void Connect(Link& link, base::TimePoint now);
  void CheckLink(Link& link, base::TimePoint now);
  void Close(Link& link, std::string_view reason);
  void Pump(Link& link, base::TimePoint now);
  bool MakeRoom(Link& link, std::size_t bytes);
  void Drop(const Link& link, const std::string& kind);
  void OnOutgoingEnvelope(const Link& link, wire::Envelope envelope);
  void OnAccept(evutil_socket_t socket);
  void OnIncomingEnvelope(Incoming& incoming, wire::Envelope envelope);
  void OnIncomingEstablished(const Incoming& incoming);
  void RemoveIncoming(const Incoming* incoming);
  Link* Find(std::string_view peer);

  event_base* base;
  PeerLinkSettings settings;
  wire::KeyRing keys;
  PeerLinkCallbacks callbacks;
  base::Random random;
  PeerLinkCounts counts;
  // Elements keep their address, which the connections' handlers hold.
  std::list<Link> links;
  std::list<Incoming> incoming;
  // Connections to be destroyed at the next tick, outside of their own handlers.
  std::vector<std::unique_ptr<Connection>> closed;
  Event tick;
  std::unique_ptr<evconnlistener, ListenerFreer> listener;
};

PeerLinks::PeerLinks(event_base* base, PeerLinkSettings settings, wire::KeyRing keys,
                     PeerLinkCallbacks callbacks)
    : d(std::make_unique<Private>(base, std::move(settings), std::move(keys),
                                  std::move(callbacks))) {
  for (const PeerLinkSettings::Peer& peer : this->d->settings.peers) this->d->AddLink(peer);
  this->d->tick.reset(event_new(
      base, -1, EV_PERSIST,
      [](evutil_socket_t, std::int16_t, void* self) { static_cast<Private*>(self)->OnTick(); },
      this->d.get()));
  const timeval interval = ToTimeval(kTickEvery);
  event_add(this->d->tick.get(), &interval);
}

PeerLinks::~PeerLinks() = default;

void PeerLinks::Private::AddLink(const PeerLinkSettings::Peer& peer) {
  Link& link = this->links.emplace_back();
  link.peer = peer;
  link.pump = [this, &link] { this->Pump(link, MonotonicNow()); };
  link.due_timer.reset(event_new(
      this->base, -1, 0,
      [](evutil_socket_t, std::int16_t, void* self) { static_cast<Link*>(self)->pump(); }, &link));
}

void PeerLinks::AddPeer(const PeerLinkSettings::Peer& peer) {
  if (this->d->Find(peer.name) != nullptr || peer.name == this->d->settings.name) return;
  this->d->AddLink(peer);
}

base::Result<base::Done, PeerLinkError> PeerLinks::Listen() {
  const std::string text = this->d->settings.listen.Text();
  const auto address = ToAddress(this->d->settings.listen);
  if (address) {
    this->d->listener.reset(evconnlistener_new_bind(
        this->d->base,
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
          static_cast<Private*>(self)->OnAccept(socket);
        },
        this->d.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, address->Get(),
        address->size));
  }
  if (this->d->listener == nullptr) {
    return PeerLinkError{PeerLinkErrorKind::kCannotListen, "can't listen on " + text};
  }
  return base::Done{};
}

SendResult PeerLinks::Send(std::string_view peer, wire::Envelope envelope) {
  Link* link = this->d->Find(peer);
  if (link == nullptr) return SendResult::kUnknownPeer;
  if (!link->IsConnected()) return SendResult::kNotConnected;
  if (envelope.payload.size() > wire::kMaxPayloadBytes) return SendResult::kTooLarge;
  const base::TimePoint now = MonotonicNow();
  Queued queued{std::move(envelope), now + link->peer.send_delay};
  if (!this->d->MakeRoom(*link, queued.Bytes())) return SendResult::kQueueFull;
  // A callback for a dropped message may have asked for another connection.
  if (!link->IsConnected()) return SendResult::kNotConnected;
  link->queued_bytes += queued.Bytes();
  link->queue.push_back(std::move(queued));
  this->d->Pump(*link, now);
  return SendResult::kQueued;
}

void PeerLinks::Replace(std::string_view peer) {
  Link* link = this->d->Find(peer);
  if (link == nullptr || link->connection == nullptr) return;
  link->backoff = {};
  this->d->Close(*link, "replacement was asked for");
}

bool PeerLinks::IsConnected(std::string_view peer) const {
  const Link* link = this->d->Find(peer);
  return link != nullptr && link->IsConnected();
}

const PeerLinkCounts& PeerLinks::Counts() const { return this->d->counts; }

Link* PeerLinks::Private::Find(std::string_view peer) {
  const auto found =
      std::ranges::find_if(this->links, [&](const Link& link) { return link.peer.name == peer; });
  return found == this->links.end() ? nullptr : &*found;
}

void PeerLinks::Private::Drop(const Link& link, const std::string& kind) {
  this->counts.dropped += 1;
  if (this->callbacks.on_dropped) this->callbacks.on_dropped(link.peer.name, kind);
}

bool PeerLinks::Private::MakeRoom(Link& link, std::size_t bytes) {
  const std::size_t limit = this->settings.max_queue_bytes;
  std::vector<std::string> dropped;
  for (auto it = link.queue.begin(); it != link.queue.end() && link.queued_bytes + bytes > limit;) {
    if (!this->settings.soft_kinds.contains(it->envelope.kind)) {
      ++it;
      continue;
    }
    link.queued_bytes -= it->Bytes();
    dropped.push_back(std::move(it->envelope.kind));
    it = link.queue.erase(it);
  }
  const bool has_room = link.queued_bytes + bytes <= limit;
  // The queue is consistent before the callbacks, which may send.
  for (const std::string& kind : dropped) this->Drop(link, kind);
  return has_room && link.queued_bytes + bytes <= limit;
}

void PeerLinks::Private::Pump(Link& link, base::TimePoint now) {
  while (link.IsConnected() && !link.queue.empty() && link.queue.front().due <= now &&
         link.connection->UnsentBytes() < kHandedOverBytes) {
    const Queued queued = std::move(link.queue.front());
    link.queue.pop_front();
    link.queued_bytes -= queued.Bytes();
    if (!link.connection->Send(queued.envelope)) this->Drop(link, queued.envelope.kind);
  }
  if (!link.queue.empty() && link.queue.front().due > now) {
    const timeval wait = ToTimeval(link.queue.front().due - now);
    event_add(link.due_timer.get(), &wait);
  }
}

void PeerLinks::Private::Connect(Link& link, base::TimePoint now) {
  link.opened = now;
  link.last_probe = now;
  const auto address = ToAddress(link.peer.endpoint);
  if (!address) {
    link.next_attempt = now + this->settings.longest_backoff;
    log::Error(log::Category::kNet, "bad peer address", {{"peer", link.peer.name}});
    return;
  }
  Connection::Handlers handlers;
  handlers.on_envelope = [this, &link](wire::Envelope envelope) {
    this->OnOutgoingEnvelope(link, std::move(envelope));
  };
  handlers.on_established = [this, &link] {
    this->counts.connected += 1;
    link.backoff = {};
    log::Info(log::Category::kNet, "peer connected", {{"peer", link.peer.name}});
    if (this->callbacks.on_state) this->callbacks.on_state(link.peer.name, true);
  };
  handlers.on_closed = [this, &link](std::string_view reason, bool is_refused) {
    if (is_refused) this->counts.refused_frames += 1;
    this->Close(link, reason);
  };
  handlers.on_drained = [this, &link] { this->Pump(link, MonotonicNow()); };
  link.connection = std::make_unique<Connection>(
      this->base, address->Get(), address->size,
      wire::Session::Initiate(this->settings.name, link.peer.name, this->keys, wire::RandomNonce()),
      std::move(handlers));
}

void PeerLinks::Private::Close(Link& link, std::string_view reason) {
  if (link.connection == nullptr) return;
  const bool was_connected = link.IsConnected();
  link.connection->Detach();
  this->closed.push_back(std::move(link.connection));
  // After a success the first new attempt is quick; failures double the delay.
  const base::Duration bounded =
      std::clamp(link.backoff, this->settings.shortest_backoff, this->settings.longest_backoff);
  link.next_attempt = MonotonicNow() + this->random.Between(bounded / 2, bounded);
  link.backoff = bounded * 2;
  log::Write(log::Category::kNet, was_connected ? log::Level::kWarning : log::Level::kDebug,
             "peer connection ended", {{"peer", link.peer.name}, {"reason", reason}});
  const auto lost = std::exchange(link.queue, {});
  link.queued_bytes = 0;
  for (const Queued& queued : lost) this->Drop(link, queued.envelope.kind);
  if (was_connected && this->callbacks.on_state) this->callbacks.on_state(link.peer.name, false);
}

void PeerLinks::Private::CheckLink(Link& link, base::TimePoint now) {
  if (link.connection == nullptr) {
    if (now >= link.next_attempt) this->Connect(link, now);
    return;
  }
  if (!link.IsConnected()) {
    if (now - link.opened >= this->settings.connect_timeout) this->Close(link, "no handshake");
    return;
  }
  const base::Duration allowed = this->settings.silence_limit + 2 * link.peer.send_delay;
  if (now - link.connection->LastReceived() >= allowed) {
    this->counts.replaced_silent += 1;
    // The peer may be well and only this connection dead, so another one is opened without delay.
    link.backoff = {};
    this->Close(link, "silent");
    return;
  }
  if (now - link.last_probe >= this->settings.probe_every) {
    link.last_probe = now;
    // Probes pass the queue, since they ask whether the connection works, not how long it is.
    (void)link.connection->Send({std::string(kProbeKind), ""});
  }
  this->Pump(link, now);
}

void PeerLinks::Private::OnTick() {
  this->closed.clear();
  const base::TimePoint now = MonotonicNow();
  for (Link& link : this->links) this->CheckLink(link, now);
  std::erase_if(this->incoming, [&](const Incoming& candidate) {
    const bool is_proven = candidate.connection->Session().IsEstablished();
    return is_proven
               ? now - candidate.connection->LastReceived() >= 4 * this->settings.silence_limit
               : now - candidate.accepted >= kHandshakeTime;
  });
}

void PeerLinks::Private::OnOutgoingEnvelope(const Link& link, wire::Envelope envelope) {
  if (envelope.kind == kProbeReplyKind) return;
  this->callbacks.on_envelope(link.peer.name, std::move(envelope));
}

void PeerLinks::Private::OnAccept(evutil_socket_t socket) {
  const auto unproven = std::ranges::count_if(this->incoming, [](const Incoming& candidate) {
    return !candidate.connection->Session().IsEstablished();
  });
  if (static_cast<std::size_t>(unproven) >= kMaxUnproven) {
    evutil_closesocket(socket);
    return;
  }
  evutil_make_socket_nonblocking(socket);
  Incoming& added = this->incoming.emplace_back();
  added.accepted = MonotonicNow();
  Connection::Handlers handlers;
  handlers.on_envelope = [this, &added](wire::Envelope envelope) {
    this->OnIncomingEnvelope(added, std::move(envelope));
  };
  handlers.on_established = [this, &added] { this->OnIncomingEstablished(added); };
  handlers.on_closed = [this, &added](std::string_view reason, bool is_refused) {
    if (is_refused) {
      this->counts.refused_frames += 1;
      log::Warning(log::Category::kNet, "peer refused",
                   {{"peer", added.connection->Session().PeerName()}, {"reason", reason}});
    }
    this->RemoveIncoming(&added);
  };
  added.connection = std::make_unique<Connection>(
      this->base, socket,
      wire::Session::Accept(this->settings.name, this->keys, wire::RandomNonce()),
      std::move(handlers));
}

void PeerLinks::Private::OnIncomingEstablished(const Incoming& established) {
  const std::string peer = established.connection->Session().PeerName();
  if (this->Find(peer) == nullptr && this->settings.accept_unknown) {
    const auto endpoint = settings::ParseEndpoint(peer);
    if (base::Ok(endpoint)) this->AddLink({peer, base::ValueOf(endpoint), {}});
  }
  if (this->Find(peer) == nullptr) {
    log::Warning(log::Category::kNet, "unknown peer", {{"peer", peer}});
    return this->RemoveIncoming(&established);
  }
  // A peer has one outgoing connection, so an earlier one is dead or being replaced. What it still
  // holds must not come after newer messages.
  const auto earlier = std::ranges::find_if(this->incoming, [&](const Incoming& candidate) {
    return &candidate != &established && candidate.connection->Session().IsEstablished() &&
           candidate.connection->Session().PeerName() == peer;
  });
  if (earlier != this->incoming.end()) this->RemoveIncoming(&*earlier);
}

void PeerLinks::Private::RemoveIncoming(const Incoming* removed) {
  const auto found = std::ranges::find_if(
      this->incoming, [&](const Incoming& candidate) { return &candidate == removed; });
  if (found == this->incoming.end()) return;
  found->connection->Detach();
  this->closed.push_back(std::move(found->connection));
  this->incoming.erase(found);
}

void PeerLinks::Private::OnIncomingEnvelope(Incoming& incoming_link, wire::Envelope envelope) {
  if (envelope.kind == kProbeKind) {
    (void)incoming_link.connection->Send({std::string(kProbeReplyKind), ""});
    return;
  }
  const std::string peer = incoming_link.connection->Session().PeerName();
  this->callbacks.on_envelope(peer, std::move(envelope));
}

}  // namespace mangoroad::net
