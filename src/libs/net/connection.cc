#include "net/connection.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <cstring>
#include <utility>

#include "net/event_loop.h"

namespace mangoroad::net::internal {
namespace {

// Unacknowledged data ends a connection after this time, so that a cut is noticed even when the
// probes above it are stuck in the socket's buffer.
constexpr int kUserTimeoutMs = 3000;
constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveProbes = 3;

void SetOption(evutil_socket_t socket, int level, int option, int value) {
  // A platform without the option only notices silence later; the probes don't depend on it.
  (void)setsockopt(socket, level, option, &value, sizeof value);
}

}  // namespace

timeval ToTimeval(base::Duration duration) {
  return {static_cast<time_t>(duration.count() / 1'000'000),
          static_cast<suseconds_t>(duration.count() % 1'000'000)};
}

base::TimePoint MonotonicNow() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return base::TimePoint(std::chrono::duration_cast<base::Duration>(since));
}

void SetSocketOptions(evutil_socket_t socket) {
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

Connection::Connection(event_base* base, evutil_socket_t socket, wire::Session connection_session,
                       Handlers connection_handlers)
    : session(std::move(connection_session)),
      handlers(std::move(connection_handlers)),
      last_received(MonotonicNow()),
      buffers(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE)) {
  this->Prepare();
  SetSocketOptions(socket);
  this->Flush();
}

Connection::Connection(event_base* base, const sockaddr* address, int address_size,
                       wire::Session connection_session, Handlers connection_handlers)
    : session(std::move(connection_session)),
      handlers(std::move(connection_handlers)),
      last_received(MonotonicNow()),
      buffers(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)) {
  this->Prepare();
  // A failure is reported through OnEvent(), which is deferred until after the constructor.
  (void)bufferevent_socket_connect(this->buffers.get(), address, address_size);
  this->Flush();
}

void Connection::Prepare() {
  bufferevent_setcb(
      this->buffers.get(),
      [](bufferevent*, void* self) { static_cast<Connection*>(self)->OnReadable(); },
      [](bufferevent*, void* self) {
        auto* connection = static_cast<Connection*>(self);
        const auto& on_drained = connection->handlers.on_drained;
        if (on_drained && !connection->is_detached) on_drained();
      },
      [](bufferevent*, std::int16_t what, void* self) {
        static_cast<Connection*>(self)->OnEvent(what);
      },
      this);
  bufferevent_priority_set(this->buffers.get(), PriorityOf(Urgency::kUrgent));
  bufferevent_enable(this->buffers.get(), EV_READ | EV_WRITE);
}

void Connection::Flush() {
  const std::string bytes = this->session.TakeOutput();
  if (!bytes.empty()) bufferevent_write(this->buffers.get(), bytes.data(), bytes.size());
}

bool Connection::Send(const wire::Envelope& envelope) {
  const bool is_queued = base::Ok(this->session.Send(envelope));
  this->Flush();
  return is_queued;
}

std::size_t Connection::UnsentBytes() const {
  return evbuffer_get_length(bufferevent_get_output(this->buffers.get()));
}

void Connection::Detach() {
  this->is_detached = true;
  bufferevent_disable(this->buffers.get(), EV_READ | EV_WRITE);
}

void Connection::OnReadable() {
  if (this->is_detached) return;
  evbuffer* input = bufferevent_get_input(this->buffers.get());
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  const bool was_established = this->session.IsEstablished();
  auto received = this->session.Receive(bytes);
  if (!base::Ok(received)) return this->Close(base::ErrorOf(received).message, true);
  this->last_received = MonotonicNow();
  this->Flush();
  if (!was_established && this->session.IsEstablished()) this->handlers.on_established();
  for (wire::Envelope& envelope : base::ValueOf(received)) {
    if (this->is_detached) return;
    this->handlers.on_envelope(std::move(envelope));
  }
}

void Connection::OnEvent(int what) {
  if (this->is_detached) return;
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    SetSocketOptions(bufferevent_getfd(this->buffers.get()));
    this->last_received = MonotonicNow();
  } else if ((what & BEV_EVENT_EOF) != 0) {
    this->Close("closed by the peer", false);
  } else if ((what & BEV_EVENT_ERROR) != 0) {
    this->Close(evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()), false);
  }
}

void Connection::Close(std::string_view reason, bool is_refused) {
  this->Detach();
  this->handlers.on_closed(reason, is_refused);
}

}  // namespace mangoroad::net::internal
