#include "net/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "log/log.h"
#include "net/event_loop.h"

namespace mangoroad::net {
namespace {

constexpr base::Duration kSweepInterval = std::chrono::milliseconds(250);
/// At the limit, one in this many connections is closed per sweep, if that many are idle.
constexpr std::size_t kClosedShare = 20;

constexpr std::array<std::pair<evhttp_cmd_type, HttpMethod>, 7> kMethods{{
    {EVHTTP_REQ_GET, HttpMethod::kGet},
    {EVHTTP_REQ_POST, HttpMethod::kPost},
    {EVHTTP_REQ_PUT, HttpMethod::kPut},
    {EVHTTP_REQ_DELETE, HttpMethod::kDelete},
    {EVHTTP_REQ_HEAD, HttpMethod::kHead},
    {EVHTTP_REQ_OPTIONS, HttpMethod::kOptions},
    {EVHTTP_REQ_PATCH, HttpMethod::kPatch},
}};

/// evhttp accepts only these methods, so that it answers others with 501 by itself.
std::uint16_t AllowedMethods() {
  std::uint16_t allowed = 0;
  for (const auto& [command, method] : kMethods) allowed |= static_cast<std::uint16_t>(command);
  return allowed;
}

std::string TakeBuffer(evbuffer* buffer) {
  std::string bytes(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, bytes.data(), bytes.size());
  return bytes;
}

void CopyHeaders(evhttp_request* request, HttpHeaders& headers) {
  const evkeyvalq* fields = evhttp_request_get_input_headers(request);
  for (const evkeyval* field = fields->tqh_first; field != nullptr; field = field->next.tqe_next) {
    headers.Add(field->key, field->value);
  }
}

void AddHeaders(evhttp_request* request, const HttpHeaders& headers) {
  evkeyvalq* fields = evhttp_request_get_output_headers(request);
  for (const auto& [name, value] : headers.Fields()) {
    evhttp_add_header(fields, name.c_str(), value.c_str());
  }
}

/// State of one accepted connection, for the limit on the time that a request may take to arrive.
struct Connection {
  EventLoop* loop = nullptr;
  bool receiving = false;
  bool handling = false;
  base::TimePoint since;
  /// When the last request or reply ended; an idle connection is closed by this age.
  base::TimePoint last_used;
};

}  // namespace

struct HttpExchange::Private {
  evhttp_request* request = nullptr;
  HttpServerPrivate* server = nullptr;
  bool replied = false;
  bool started = false;
  std::function<void()> on_closed;
  std::function<void()> on_drained;
  std::shared_ptr<HttpExchange> self;  // keeps the exchange alive while evhttp may call back

  bufferevent* Channel() const {
    evhttp_connection* connection =
        this->request == nullptr ? nullptr : evhttp_request_get_connection(this->request);
    return connection == nullptr ? nullptr : evhttp_connection_get_bufferevent(connection);
  }
};

struct HttpServerPrivate {
  EventLoop& loop;
  HttpServerLimits limits;
  HttpServer::Handler handler;
  evhttp* http = nullptr;
  evhttp_bound_socket* socket = nullptr;
  std::unordered_map<bufferevent*, std::unique_ptr<Connection>> connections;
  std::size_t in_progress = 0;
  evconnlistener* listener = nullptr;
  bool is_paused = false;
  std::uint64_t pauses = 0;
  Timer sweep_timer;

  HttpServerPrivate(EventLoop& event_loop, HttpServerLimits server_limits,
                    HttpServer::Handler request_handler)
      : loop(event_loop), limits(server_limits), handler(std::move(request_handler)) {}

  static bufferevent* MakeChannel(event_base* base, void* argument);
  static void OnInput(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);
  static void OnRequest(evhttp_request* request, void* argument);
  static void OnConnectionClosed(evhttp_connection* connection, void* argument);
  static void OnReplyComplete(evhttp_request* request, void* argument);

  static void OnAcceptError(evconnlistener* listener, void* argument);

  void Sweep();
  void PauseAtLimit();
  void CloseIdle();
  void Resume();
  void Finish(HttpExchange& exchange);
};

HttpExchange::HttpExchange() : d(std::make_unique<Private>()) {}
HttpExchange::~HttpExchange() = default;

void HttpExchange::Reply(int status, const HttpHeaders& reply_headers,
                         std::string_view reply_body) {
  if (this->d->request == nullptr || this->d->replied || this->d->started) return;
  this->d->replied = true;
  AddHeaders(this->d->request, reply_headers);
  evbuffer* buffer = evhttp_request_get_output_buffer(this->d->request);
  evbuffer_add(buffer, reply_body.data(), reply_body.size());
  evhttp_send_reply(this->d->request, status, nullptr, nullptr);
}

void HttpExchange::StartReply(int status, const HttpHeaders& reply_headers) {
  if (this->d->request == nullptr || this->d->replied || this->d->started) return;
  this->d->started = true;
  AddHeaders(this->d->request, reply_headers);
  evhttp_send_reply_start(this->d->request, status, nullptr);
}

void HttpExchange::SendChunk(std::string_view bytes) {
  if (this->d->request == nullptr || !this->d->started || this->d->replied || bytes.empty()) return;
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, bytes.data(), bytes.size());
  evhttp_send_reply_chunk_with_cb(
      this->d->request, buffer,
      [](evhttp_connection* /*connection*/, void* argument) {
        const auto* exchange = static_cast<HttpExchange*>(argument);
        if (exchange->d->on_drained) exchange->d->on_drained();
      },
      this);
  evbuffer_free(buffer);
}

void HttpExchange::EndReply() {
  if (this->d->request == nullptr || !this->d->started || this->d->replied) return;
  this->d->replied = true;
  evhttp_send_reply_end(this->d->request);
}

void HttpExchange::Abort() {
  bufferevent* channel = this->d->Channel();
  if (channel == nullptr) return;
  // Ending both directions lets evhttp find the closed connection and release it by itself.
  shutdown(bufferevent_getfd(channel), SHUT_RDWR);
  evhttp_connection_free(evhttp_request_get_connection(this->d->request));
}

bool HttpExchange::Replied() const { return this->d->replied; }

bool HttpExchange::Closed() const { return this->d->request == nullptr; }

std::size_t HttpExchange::UnsentBytes() const {
  bufferevent* channel = this->d->Channel();
  return channel == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(channel));
}

void HttpExchange::OnClosed(std::function<void()> callback) {
  this->d->on_closed = std::move(callback);
}

void HttpExchange::OnDrained(std::function<void()> callback) {
  this->d->on_drained = std::move(callback);
}

bufferevent* HttpServerPrivate::MakeChannel(event_base* base, void* argument) {
  auto* server = static_cast<HttpServerPrivate*>(argument);
  bufferevent* channel = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  // The extra reference lets Sweep look at the channel after evhttp has released it.
  bufferevent_incref(channel);
  auto connection = std::make_unique<Connection>();
  connection->loop = &server->loop;
  connection->last_used = server->loop.Now();
  evbuffer_add_cb(bufferevent_get_input(channel), OnInput, connection.get());
  server->connections.emplace(channel, std::move(connection));
  server->PauseAtLimit();
  return channel;
}

/// Without this, libevent would try again at once for as long as there is no descriptor, and use
/// all processor time for it. The next sweep resumes.
void HttpServerPrivate::OnAcceptError(evconnlistener* listener, void* /*argument*/) {
  const int error = EVUTIL_SOCKET_ERROR();
  evconnlistener_disable(listener);
  log::Warning(log::Category::kNet, "accepting paused",
               {{"reason", evutil_socket_error_to_string(error)}});
}

void HttpServerPrivate::PauseAtLimit() {
  if (this->is_paused || this->connections.size() < this->limits.max_connections) return;
  this->is_paused = true;
  ++this->pauses;
  if (this->listener != nullptr) evconnlistener_disable(this->listener);
  log::Warning(log::Category::kNet, "accepting paused",
               {{"reason", "limit"},
                {"connections", this->connections.size()},
                {"limit", this->limits.max_connections}});
}

/// Closes the connections that have been idle longest. Their peers open another one when they need
/// it; those that wait to be accepted have a request to send.
void HttpServerPrivate::CloseIdle() {
  std::vector<std::pair<base::TimePoint, bufferevent*>> idle;
  for (const auto& [channel, connection] : this->connections) {
    if (connection->receiving || connection->handling) continue;
    idle.emplace_back(connection->last_used, channel);
  }
  const std::size_t count = std::min(idle.size(), this->limits.max_connections / kClosedShare + 1);
  std::ranges::partial_sort(idle, idle.begin() + static_cast<std::ptrdiff_t>(count));
  idle.resize(count);
  for (const auto& [since, channel] : idle) shutdown(bufferevent_getfd(channel), SHUT_RDWR);
}

void HttpServerPrivate::Resume() {
  if (this->listener == nullptr) return;
  if (this->connections.size() >= this->limits.max_connections) return this->CloseIdle();
  if (std::exchange(this->is_paused, false)) {
    log::Info(log::Category::kNet, "accepting resumed",
              {{"connections", this->connections.size()}});
  }
  evconnlistener_enable(this->listener);
}

void HttpServerPrivate::OnInput(evbuffer* /*buffer*/, const evbuffer_cb_info* info,
                                void* argument) {
  auto* connection = static_cast<Connection*>(argument);
  if (info->n_added == 0 || connection->receiving || connection->handling) return;
  connection->receiving = true;
  connection->since = connection->loop->Now();
}

void HttpServerPrivate::OnRequest(evhttp_request* request, void* argument) {
  auto* server = static_cast<HttpServerPrivate*>(argument);
  auto exchange = std::make_shared<HttpExchange>();
  const auto method = std::ranges::find(kMethods, evhttp_request_get_command(request),
                                        [](const auto& entry) { return entry.first; });
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  if (method == kMethods.end() || path == nullptr) {
    evhttp_send_error(request, HTTP_BADREQUEST, nullptr);
    return;
  }
  exchange->method = method->second;
  exchange->path = *path == '\0' ? "/" : path;
  const char* query = evhttp_uri_get_query(uri);
  exchange->query = query == nullptr ? "" : query;
  CopyHeaders(request, exchange->headers);
  exchange->body = TakeBuffer(evhttp_request_get_input_buffer(request));
  exchange->d->request = request;
  exchange->d->server = server;
  exchange->d->self = exchange;
  ++server->in_progress;
  if (const auto entry = server->connections.find(exchange->d->Channel());
      entry != server->connections.end()) {
    entry->second->receiving = false;
    entry->second->handling = true;
  }
  evhttp_connection_set_closecb(evhttp_request_get_connection(request), OnConnectionClosed,
                                exchange.get());
  evhttp_request_set_on_complete_cb(request, OnReplyComplete, exchange.get());
  server->handler(exchange);
}

void HttpServerPrivate::OnConnectionClosed(evhttp_connection* /*connection*/, void* argument) {
  auto* exchange = static_cast<HttpExchange*>(argument);
  if (exchange->d->request == nullptr) return;
  const std::shared_ptr<HttpExchange> keep = exchange->d->self;
  const auto on_closed = std::exchange(exchange->d->on_closed, nullptr);
  exchange->d->server->Finish(*exchange);
  if (on_closed) on_closed();
}

void HttpServerPrivate::OnReplyComplete(evhttp_request* request, void* argument) {
  auto* exchange = static_cast<HttpExchange*>(argument);
  evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
  if (exchange->d->request == nullptr) return;
  HttpServerPrivate* server = exchange->d->server;
  if (const auto entry = server->connections.find(exchange->d->Channel());
      entry != server->connections.end()) {
    entry->second->handling = false;
    entry->second->last_used = server->loop.Now();
  }
  const std::shared_ptr<HttpExchange> keep = exchange->d->self;
  server->Finish(*exchange);
}

void HttpServerPrivate::Finish(HttpExchange& exchange) {
  exchange.d->request = nullptr;
  exchange.d->on_closed = nullptr;
  exchange.d->on_drained = nullptr;
  --this->in_progress;
  exchange.d->self.reset();
}

/// Closes connections whose request takes too long to arrive, and drops those that evhttp has
/// released.
void HttpServerPrivate::Sweep() {
  const base::TimePoint now = this->loop.Now();
  std::erase_if(this->connections, [&](const auto& entry) {
    bufferevent* channel = entry.first;
    bufferevent_data_cb read_callback = nullptr;
    bufferevent_data_cb write_callback = nullptr;
    bufferevent_event_cb event_callback = nullptr;
    bufferevent_getcb(channel, &read_callback, &write_callback, &event_callback, nullptr);
    const bool released = event_callback == nullptr;
    if (released) {
      bufferevent_decref(channel);
      return true;
    }
    if (entry.second->receiving && now - entry.second->since > this->limits.request_time) {
      shutdown(bufferevent_getfd(channel), SHUT_RDWR);
    }
    return false;
  });
  this->Resume();
}

HttpServer::HttpServer(EventLoop& loop, HttpServerLimits limits, Handler handler)
    : d(std::make_unique<HttpServerPrivate>(loop, limits, std::move(handler))) {
  this->d->http = evhttp_new(loop.Base());
  evhttp_set_max_body_size(this->d->http, static_cast<ev_ssize_t>(limits.max_body_bytes));
  evhttp_set_max_headers_size(this->d->http, static_cast<ev_ssize_t>(limits.max_header_bytes));
  evhttp_set_allowed_methods(this->d->http, AllowedMethods());
  evhttp_set_default_content_type(this->d->http, nullptr);
  // Idle connections are kept for two minutes; the limit for an incomplete request is enforced by
  // Sweep.
  evhttp_set_timeout(this->d->http, 120);
  evhttp_set_bevcb(this->d->http, HttpServerPrivate::MakeChannel, this->d.get());
  evhttp_set_gencb(this->d->http, HttpServerPrivate::OnRequest, this->d.get());
  this->d->sweep_timer = loop.Every(kSweepInterval, [this] { this->d->Sweep(); });
}

HttpServer::~HttpServer() {
  this->d->listener = nullptr;
  evhttp_free(this->d->http);
  this->d->Sweep();
}

base::Result<std::uint16_t, HttpServerError> HttpServer::Listen(const std::string& ip,
                                                                std::uint16_t port) {
  this->d->socket = evhttp_bind_socket_with_handle(this->d->http, ip.c_str(), port);
  if (this->d->socket == nullptr) {
    return HttpServerError{HttpServerErrorKind::kCannotListen,
                           "can't listen on " + ip + ":" + std::to_string(port) + ": " +
                               evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())};
  }
  this->d->listener = evhttp_bound_socket_get_listener(this->d->socket);
  evconnlistener_set_error_cb(this->d->listener, HttpServerPrivate::OnAcceptError);
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(evhttp_bound_socket_get_fd(this->d->socket), reinterpret_cast<sockaddr*>(&bound),
              &size);
  return ntohs(bound.sin_port);
}

void HttpServer::StopListening() {
  if (this->d->socket == nullptr) return;
  this->d->listener = nullptr;
  evhttp_del_accept_socket(this->d->http, this->d->socket);
  this->d->socket = nullptr;
}

std::size_t HttpServer::InProgress() const { return this->d->in_progress; }

std::size_t HttpServer::Connections() const { return this->d->connections.size(); }

std::uint64_t HttpServer::Pauses() const { return this->d->pauses; }

}  // namespace mangoroad::net
