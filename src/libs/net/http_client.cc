#include "net/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <deque>
#include <list>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "log/log.h"
#include "log/repeat_limit.h"
#include "net/event_loop.h"

namespace mangoroad::net {
namespace {

constexpr std::array<std::pair<HttpMethod, evhttp_cmd_type>, 7> kCommands{{
    {HttpMethod::kGet, EVHTTP_REQ_GET},
    {HttpMethod::kPost, EVHTTP_REQ_POST},
    {HttpMethod::kPut, EVHTTP_REQ_PUT},
    {HttpMethod::kDelete, EVHTTP_REQ_DELETE},
    {HttpMethod::kHead, EVHTTP_REQ_HEAD},
    {HttpMethod::kOptions, EVHTTP_REQ_OPTIONS},
    {HttpMethod::kPatch, EVHTTP_REQ_PATCH},
}};

evhttp_cmd_type CommandOf(HttpMethod method) {
  const auto entry =
      std::ranges::find(kCommands, method, [](const auto& candidate) { return candidate.first; });
  return entry == kCommands.end() ? EVHTTP_REQ_GET : entry->second;
}

HttpFailure ToFailure(evhttp_request_error error) {
  switch (error) {
    case EVREQ_HTTP_TIMEOUT:
      return HttpFailure::kTimeout;
    case EVREQ_HTTP_INVALID_HEADER:
      return HttpFailure::kMalformed;
    case EVREQ_HTTP_DATA_TOO_LONG:
      return HttpFailure::kTooLarge;
    case EVREQ_HTTP_REQUEST_CANCEL:
      return HttpFailure::kCancelled;
    default:
      return HttpFailure::kClosedEarly;
  }
}

evbuffer* OutputOf(evhttp_connection* connection) {
  return bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
}

/// False for a connection that hasn't been opened, or that evhttp closed while it was idle.
bool HasSocket(evhttp_connection* connection) {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(connection)) >= 0;
}

struct IdleConnection {
  HttpAddress address;
  evhttp_connection* connection = nullptr;
  base::TimePoint opened;
  base::TimePoint proven;  // when the last answer came over it
};
using IdleList = std::list<IdleConnection>;

struct Pool {
  /// In the order in which they became idle.
  std::vector<IdleList::iterator> idle;
  std::size_t open = 0;
};

struct Call {
  HttpClient::CallId id = 0;
  HttpAddress address;
  /// Set while the call waits for a connection.
  std::optional<HttpClientRequest> waiting;
  base::TimePoint expires;
  HttpCallbacks callbacks;
  evhttp_connection* connection = nullptr;
  evhttp_request* request = nullptr;
  std::shared_ptr<void> context;  // the argument of libevent's callbacks
  base::TimePoint opened;
  evbuffer_cb_entry* output_watch = nullptr;
  /// evhttp has begun to write the request, which it does only over an established connection.
  bool is_written = false;
  bool headers_seen = false;
  bool length_known = false;
  bool close_after = false;
  std::optional<HttpFailure> failure;
  Timer deadline;
};

}  // namespace

struct HttpClient::Private {
  EventLoop& loop;
  HttpClientLimits limits;
  std::map<HttpAddress, Pool> pools;
  /// Idle connections to all addresses, the one that has been idle longest first.
  IdleList idle;
  std::size_t open = 0;
  /// Calls that wait for a connection, in order; some may have ended.
  std::deque<CallId> waiting;
  log::RepeatLimit limit_log{std::chrono::seconds(1)};
  std::unordered_map<CallId, std::unique_ptr<Call>> calls;
  CallId next_id = 1;
  PostScope posts{this->loop};

  Private(EventLoop& event_loop, HttpClientLimits client_limits)
      : loop(event_loop), limits(client_limits) {}

  /// What libevent's callbacks need; owned by the call, which outlives its last callback.
  struct Context {
    Private* client = nullptr;
    CallId id = 0;
  };

  Call* Find(CallId id) {
    const auto entry = this->calls.find(id);
    return entry == this->calls.end() ? nullptr : entry->second.get();
  }

  void CloseIdle(IdleList::iterator connection);
  std::optional<IdleConnection> TakeConnection(const HttpClientRequest& request);
  void Dispatch(Call& call, HttpClientRequest request, const IdleConnection& taken);
  void DispatchWaiting();
  void Release(Call& call);
  void End(CallId id, std::optional<HttpFailure> failure);
  void GiveUp(CallId id, HttpFailure failure);
  void SetSocketOptions(evhttp_connection* connection) const;

  static void OnOutput(evbuffer* output, const evbuffer_cb_info* info, void* argument);
  static int OnHeaders(evhttp_request* request, void* argument);
  static void OnChunk(evhttp_request* request, void* argument);
  static void OnError(evhttp_request_error error, void* argument);
  static void OnDone(evhttp_request* request, void* argument);
};

void HttpClient::Private::SetSocketOptions(evhttp_connection* connection) const {
  const evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  if (fd < 0) return;
  const int on = 1;
  const auto timeout = static_cast<unsigned>(base::ToMilliseconds(this->limits.user_timeout));
  // Closing resets the connection, also at the end of the process, so that the kernel drops the
  // unsent part of a request instead of sending it after the caller has given it up.
  const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
}

void HttpClient::Private::CloseIdle(IdleList::iterator connection) {
  Pool& pool = this->pools[connection->address];
  std::erase(pool.idle, connection);
  --pool.open;
  --this->open;
  evhttp_connection_free(connection->connection);
  this->idle.erase(connection);
}

/// Nothing when the limit on connections is reached and none is idle.
std::optional<IdleConnection> HttpClient::Private::TakeConnection(
    const HttpClientRequest& request) {
  const base::TimePoint now = this->loop.Now();
  Pool& pool = this->pools[request.address];
  while (!pool.idle.empty()) {
    // The connection used last is the least likely to have gone silent.
    const IdleList::iterator last = pool.idle.back();
    const bool expired =
        now - last->opened > this->limits.max_age || now - last->proven > request.max_idle;
    if (expired) {
      this->CloseIdle(last);
      continue;
    }
    IdleConnection taken = *last;
    pool.idle.pop_back();
    this->idle.erase(last);
    return taken;
  }
  if (this->open >= this->limits.max_connections) {
    if (this->idle.empty()) return std::nullopt;
    this->CloseIdle(this->idle.begin());
  }
  ++pool.open;
  ++this->open;
  evhttp_connection* connection = evhttp_connection_base_new(
      this->loop.Base(), nullptr, request.address.ip.c_str(), request.address.port);
  evhttp_connection_set_max_headers_size(connection,
                                         static_cast<ev_ssize_t>(this->limits.max_header_bytes));
  return IdleConnection{request.address, connection, now, now};
}

void HttpClient::Private::Release(Call& call) {
  if (call.connection == nullptr) return;
  Pool& pool = this->pools[call.address];
  evhttp_connection* connection = std::exchange(call.connection, nullptr);
  evbuffer_remove_cb_entry(OutputOf(connection), call.output_watch);
  const bool reusable =
      !call.failure && !call.close_after && pool.idle.size() < this->limits.max_idle_connections;
  if (reusable) {
    this->idle.push_back({call.address, connection, call.opened, this->loop.Now()});
    pool.idle.push_back(std::prev(this->idle.end()));
  } else {
    if (--pool.open == 0) this->pools.erase(call.address);
    --this->open;
    // evhttp still uses the connection in the callback that led here, so it is freed in the next
    // round.
    this->loop.Post([connection] { evhttp_connection_free(connection); });
  }
  if (!this->waiting.empty()) this->posts.Post([this] { this->DispatchWaiting(); });
}

void HttpClient::Private::End(CallId id, std::optional<HttpFailure> failure) {
  const auto entry = this->calls.find(id);
  if (entry == this->calls.end()) return;
  const std::unique_ptr<Call> call = std::move(entry->second);
  this->calls.erase(entry);
  // The state of the socket wouldn't tell: a connection that the peer reset after it had received
  // the request isn't connected either.
  const bool is_lost = failure == HttpFailure::kTimeout || failure == HttpFailure::kClosedEarly;
  if (is_lost && call->connection != nullptr && !call->is_written) {
    failure = HttpFailure::kNotConnected;
  }
  call->failure = failure;
  this->Release(*call);
  if (call->callbacks.on_end) call->callbacks.on_end(failure);
}

void HttpClient::Private::GiveUp(CallId id, HttpFailure failure) {
  Call* call = this->Find(id);
  if (call == nullptr) return;
  if (evhttp_request* pending = std::exchange(call->request, nullptr); pending != nullptr) {
    evhttp_cancel_request(pending);
  }
  this->End(id, failure);
}

void HttpClient::Private::OnOutput(evbuffer* /*output*/, const evbuffer_cb_info* info,
                                   void* argument) {
  if (info->n_added > 0) static_cast<Call*>(argument)->is_written = true;
}

int HttpClient::Private::OnHeaders(evhttp_request* request, void* argument) {
  const auto* context = static_cast<Context*>(argument);
  Call* call = context->client->Find(context->id);
  if (call == nullptr) return 0;
  call->headers_seen = true;
  HttpAnswer answer;
  answer.status = evhttp_request_get_response_code(request);
  const evkeyvalq* fields = evhttp_request_get_input_headers(request);
  for (const evkeyval* field = fields->tqh_first; field != nullptr; field = field->next.tqe_next) {
    answer.headers.Add(field->key, field->value);
  }
  call->length_known = answer.headers.Find("Content-Length").has_value() ||
                       answer.headers.Find("Transfer-Encoding").has_value() ||
                       answer.status == 204 || answer.status == 304;
  call->close_after = answer.headers.Find("Connection") == "close";
  if (call->callbacks.on_headers) call->callbacks.on_headers(answer);
  return 0;
}

void HttpClient::Private::OnChunk(evhttp_request* request, void* argument) {
  const auto* context = static_cast<Context*>(argument);
  const Call* call = context->client->Find(context->id);
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string bytes(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, bytes.data(), bytes.size());
  if (call != nullptr && call->callbacks.on_body) call->callbacks.on_body(bytes);
}

void HttpClient::Private::OnError(evhttp_request_error error, void* argument) {
  const auto* context = static_cast<Context*>(argument);
  if (Call* call = context->client->Find(context->id); call != nullptr) {
    call->failure = ToFailure(error);
  }
}

void HttpClient::Private::OnDone(evhttp_request* request, void* argument) {
  const Context context = *static_cast<Context*>(argument);
  Call* call = context.client->Find(context.id);
  if (call == nullptr) return;
  call->request = nullptr;
  std::optional<HttpFailure> failure = call->failure;
  // evhttp reports a refused connection with a request and without an error code.
  if (!failure && (request == nullptr || !call->headers_seen)) failure = HttpFailure::kClosedEarly;
  // An answer that ends with the connection can't be told from a truncated one.
  if (!failure && !call->length_known) failure = HttpFailure::kClosedEarly;
  context.client->End(context.id, failure);
}

HttpClient::HttpClient(EventLoop& loop, HttpClientLimits limits)
    : d(std::make_unique<Private>(loop, limits)) {}

HttpClient::~HttpClient() {
  for (const auto& [id, call] : this->d->calls) {
    if (call->connection != nullptr) evhttp_connection_free(call->connection);
  }
  for (const IdleConnection& idle : this->d->idle) evhttp_connection_free(idle.connection);
}

HttpClient::CallId HttpClient::Send(HttpClientRequest request, HttpCallbacks callbacks) {
  Private& client = *this->d;
  const CallId id = client.next_id++;
  auto owned = std::make_unique<Call>();
  Call& call = *owned;
  call.id = id;
  call.address = request.address;
  call.callbacks = std::move(callbacks);
  call.expires = client.loop.Now() + request.timeout;
  call.deadline = client.loop.After(request.timeout, [&client, id] {
    const Call* late = client.Find(id);
    const bool waits = late != nullptr && late->waiting;
    client.GiveUp(id, waits ? HttpFailure::kNoConnection : HttpFailure::kTimeout);
  });
  client.calls.emplace(id, std::move(owned));
  if (const auto taken = client.TakeConnection(request)) {
    client.Dispatch(call, std::move(request), *taken);
    return id;
  }
  call.waiting = std::move(request);
  client.waiting.push_back(id);
  if (const std::uint64_t times = client.limit_log.Count(client.loop.Now(), "limit"); times > 0) {
    log::Warning(log::Category::kNet, "requests wait for a connection",
                 {{"connections", client.open},
                  {"limit", client.limits.max_connections},
                  {"waiting", client.waiting.size()},
                  {"times", times}});
  }
  return id;
}

void HttpClient::Private::Dispatch(Call& call, HttpClientRequest request,
                                   const IdleConnection& taken) {
  const CallId id = call.id;
  call.connection = taken.connection;
  call.opened = taken.opened;
  const auto context = std::make_shared<Context>(Context{this, id});
  call.context = context;
  evhttp_request* handle = evhttp_request_new(OnDone, context.get());
  evhttp_request_set_header_cb(handle, OnHeaders);
  evhttp_request_set_chunked_cb(handle, OnChunk);
  evhttp_request_set_error_cb(handle, OnError);
  evkeyvalq* fields = evhttp_request_get_output_headers(handle);
  evhttp_add_header(fields, "Host", ToString(request.address).c_str());
  for (const auto& [name, value] : request.headers.Fields()) {
    evhttp_add_header(fields, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(handle), request.body.data(), request.body.size());
  call.request = handle;
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(request.timeout).count();
  evhttp_connection_set_timeout(taken.connection, static_cast<int>(seconds) + 2);
  call.output_watch = evbuffer_add_cb(OutputOf(taken.connection), OnOutput, &call);
  const bool has_socket = HasSocket(taken.connection);
  if (evhttp_make_request(taken.connection, handle, CommandOf(request.method),
                          request.target.c_str()) != 0) {
    // evhttp has freed the request. Callers never get their callback from inside Send.
    if (Call* failed = this->Find(id); failed != nullptr) failed->request = nullptr;
    this->posts.Post([this, id] { this->End(id, HttpFailure::kNotConnected); });
  } else if (!has_socket) {
    // evhttp has started to connect. It writes the request in a later round of the loop.
    this->SetSocketOptions(taken.connection);
  }
}

/// Sends the calls that wait for a connection, as far as there are any. A call that expired while
/// the process didn't run is left to its timer: it must not be sent late.
void HttpClient::Private::DispatchWaiting() {
  while (!this->waiting.empty()) {
    Call* call = this->Find(this->waiting.front());
    if (call != nullptr && call->waiting && this->loop.Now() < call->expires) {
      const auto taken = this->TakeConnection(*call->waiting);
      if (!taken) return;
      HttpClientRequest request = std::move(*call->waiting);
      call->waiting.reset();
      this->Dispatch(*call, std::move(request), *taken);
    }
    this->waiting.pop_front();
  }
}

HttpClient::CallId HttpClient::SendWhole(HttpClientRequest request, WholeAnswer on_end) {
  struct Collected {
    HttpAnswer answer;
    std::string body;
  };
  auto collected = std::make_shared<Collected>();
  return this->Send(
      std::move(request),
      {.on_headers = [collected](const HttpAnswer& answer) { collected->answer = answer; },
       .on_body = [collected](std::string_view bytes) { collected->body += bytes; },
       .on_end =
           [collected, callback = std::move(on_end)](std::optional<HttpFailure> failure) {
             callback(failure, collected->answer, std::move(collected->body));
           }});
}

void HttpClient::Cancel(CallId id) {
  // evhttp doesn't allow a request to be cancelled inside its own callbacks.
  this->d->posts.Post([this, id] { this->d->GiveUp(id, HttpFailure::kCancelled); });
}

void HttpClient::Pause(CallId id, bool paused) {
  const Call* call = this->d->Find(id);
  if (call == nullptr || call->connection == nullptr) return;
  bufferevent* channel = evhttp_connection_get_bufferevent(call->connection);
  if (paused) {
    bufferevent_disable(channel, EV_READ);
  } else {
    bufferevent_enable(channel, EV_READ);
  }
}

std::size_t HttpClient::Connections(const HttpAddress& address) const {
  const auto entry = this->d->pools.find(address);
  return entry == this->d->pools.end() ? 0 : entry->second.open;
}

void HttpClient::CloseIdle(const HttpAddress& address) {
  const auto entry = this->d->pools.find(address);
  if (entry == this->d->pools.end()) return;
  while (!entry->second.idle.empty()) this->d->CloseIdle(entry->second.idle.back());
}

std::size_t HttpClient::AllConnections() const { return this->d->open; }

std::size_t HttpClient::Waiting() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->d->calls, [](const auto& entry) { return entry.second->waiting.has_value(); }));
}

}  // namespace mangoroad::net
