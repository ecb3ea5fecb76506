// One TCP connection to or from a peer, with its session.
#pragma once

#include <event2/bufferevent.h>
#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"
#include "wire/session.h"

namespace mangoroad::net::internal {

struct EventFreer {
  void operator()(event* object) const { event_free(object); }
};
using Event = std::unique_ptr<event, EventFreer>;

timeval ToTimeval(base::Duration duration);

/// The present time of the monotonic clock.
base::TimePoint MonotonicNow();

/// Sets TCP_NODELAY, keepalive and TCP_USER_TIMEOUT.
void SetSocketOptions(evutil_socket_t socket);

/// Owns a bufferevent and feeds a session from it. A handler must not destroy the connection; it
/// detaches it and destroys it later.
class Connection {
 public:
  struct Handlers {
    std::function<void(wire::Envelope envelope)> on_envelope;
    std::function<void()> on_established;
    /// The connection ended; `reason` is for the log. It is called at most once.
    std::function<void(std::string_view reason, bool is_refused)> on_closed;
    std::function<void()> on_drained;
  };

  /// `socket` is that of an accepted connection.
  Connection(event_base* base, evutil_socket_t socket, wire::Session connection_session,
             Handlers connection_handlers);
  /// Connects to an address.
  Connection(event_base* base, const sockaddr* address, int address_size,
             wire::Session connection_session, Handlers connection_handlers);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Stops reading and writing; no handler is called any more.
  void Detach();
  /// False when the session refuses the envelope.
  bool Send(const wire::Envelope& envelope);
  [[nodiscard]] std::size_t UnsentBytes() const;
  [[nodiscard]] const wire::Session& Session() const { return this->session; }
  [[nodiscard]] base::TimePoint LastReceived() const { return this->last_received; }

 private:
  struct BufferEventFreer {
    void operator()(bufferevent* object) const { bufferevent_free(object); }
  };

  void Prepare();
  void Flush();
  void OnReadable();
  void OnEvent(int what);
  void Close(std::string_view reason, bool is_refused);

  wire::Session session;
  Handlers handlers;
  base::TimePoint last_received;
  bool is_detached = false;
  std::unique_ptr<bufferevent, BufferEventFreer> buffers;
};

}  // namespace mangoroad::net::internal
