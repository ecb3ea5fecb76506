#include "mangoctl/http_client.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/util.h>
#include <fmt/format.h>
#include <netinet/in.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <optional>

namespace mangoroad::mangoctl {
namespace {

/// Answers are at most a table of 1 MiB as JSON, or 1,000 audit records of 128 KiB.
constexpr std::size_t kMaxAnswerBytes = std::size_t{256} * 1024 * 1024;

struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
};

std::optional<Endpoint> ParseAddress(const std::string& address) {
  sockaddr_storage storage{};
  auto* generic = reinterpret_cast<sockaddr*>(&storage);
  int size = sizeof(storage);
  if (evutil_parse_sockaddr_port(address.c_str(), generic, &size) != 0) return std::nullopt;
  std::array<char, INET6_ADDRSTRLEN> host{};
  Endpoint endpoint;
  if (storage.ss_family == AF_INET) {
    const auto* in = reinterpret_cast<const sockaddr_in*>(&storage);
    evutil_inet_ntop(AF_INET, &in->sin_addr, host.data(), host.size());
    endpoint.port = ntohs(in->sin_port);
  } else {
    const auto* in6 = reinterpret_cast<const sockaddr_in6*>(&storage);
    evutil_inet_ntop(AF_INET6, &in6->sin6_addr, host.data(), host.size());
    endpoint.port = ntohs(in6->sin6_port);
  }
  endpoint.host = host.data();
  if (endpoint.port == 0) return std::nullopt;
  return endpoint;
}

struct Freer {
  void operator()(event_base* base) const { event_base_free(base); }
  void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
};

/// What the callbacks of one exchange have seen.
struct Exchange {
  event_base* loop = nullptr;
  bool is_finished = false;
  HttpAnswer answer;
  int socket_error = 0;
};

void OnAnswer(evhttp_request* request, void* context) {
  auto& exchange = *static_cast<Exchange*>(context);
  // Without an answer, the error number of the socket is still that of the failed call.
  exchange.socket_error = EVUTIL_SOCKET_ERROR();
  if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
    exchange.is_finished = true;
    exchange.answer.status = evhttp_request_get_response_code(request);
    evbuffer* body = evhttp_request_get_input_buffer(request);
    exchange.answer.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, exchange.answer.body.data(), exchange.answer.body.size());
  }
  event_base_loopbreak(exchange.loop);
}

timeval ToTimeval(std::chrono::milliseconds duration) {
  timeval value{};
  value.tv_sec = static_cast<decltype(value.tv_sec)>(duration.count() / 1000);
  value.tv_usec = static_cast<decltype(value.tv_usec)>(duration.count() % 1000 * 1000);
  return value;
}

evhttp_cmd_type MethodOf(const HttpRequest& request) {
  return request.method == "POST" ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
}

evhttp_request* MakeRequest(std::string_view address, const HttpRequest& request,
                            Exchange& exchange) {
  evhttp_request* made = evhttp_request_new(OnAnswer, &exchange);
  evkeyvalq* headers = evhttp_request_get_output_headers(made);
  evhttp_add_header(headers, "Host", std::string(address).c_str());
  evhttp_add_header(headers, "Connection", "close");
  for (const auto& [name, value] : request.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (!request.body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(made), request.body.data(), request.body.size());
  }
  return made;
}

HttpError Failure(std::string_view address, const Exchange& exchange, bool was_connected,
                  std::chrono::milliseconds timeout) {
  if (was_connected) {
    return {HttpErrorKind::kNoAnswer,
            fmt::format("{}: no complete answer within {} ms or before the connection ended",
                        address, timeout.count())};
  }
  const std::string reason = exchange.socket_error == 0
                                 ? fmt::format("no connection within {} ms", timeout.count())
                                 : evutil_socket_error_to_string(exchange.socket_error);
  return {HttpErrorKind::kUnreachable, fmt::format("{}: {}", address, reason)};
}

}  // namespace

base::Result<HttpAnswer, HttpError> SendHttp(std::string_view address, const HttpRequest& request,
                                             std::chrono::milliseconds timeout) {
  const auto endpoint = ParseAddress(std::string(address));
  if (!endpoint) {
    return HttpError{HttpErrorKind::kBadAddress,
                     fmt::format("'{}' is not an address of the form IP:PORT", address)};
  }
  const std::unique_ptr<event_base, Freer> loop(event_base_new());
  const std::unique_ptr<evhttp_connection, Freer> connection(
      evhttp_connection_base_new(loop.get(), nullptr, endpoint->host.c_str(), endpoint->port));
  evhttp_connection_set_retries(connection.get(), 0);
  evhttp_connection_set_max_body_size(connection.get(), kMaxAnswerBytes);
  const timeval limit = ToTimeval(timeout);
  evhttp_connection_set_timeout_tv(connection.get(), &limit);
  Exchange exchange;
  exchange.loop = loop.get();
  evhttp_request* made = MakeRequest(address, request, exchange);
  errno = 0;
  if (evhttp_make_request(connection.get(), made, MethodOf(request), request.path.c_str()) == 0) {
    // The timeout of the connection starts again with each piece of data; this one doesn't.
    event_base_loopexit(loop.get(), &limit);
    event_base_dispatch(loop.get());
  }
  if (exchange.is_finished) return std::move(exchange.answer);
  bufferevent* socket = evhttp_connection_get_bufferevent(connection.get());
  sockaddr_storage peer{};
  socklen_t size = sizeof(peer);
  const bool was_connected =
      getpeername(bufferevent_getfd(socket), reinterpret_cast<sockaddr*>(&peer), &size) == 0 ||
      (exchange.socket_error != ECONNREFUSED && exchange.socket_error != EHOSTUNREACH &&
       exchange.socket_error != ENETUNREACH && exchange.socket_error != 0);
  return Failure(address, exchange, was_connected, timeout);
}

std::string EncodeUriPart(std::string_view text) {
  const std::unique_ptr<char, decltype(&std::free)> encoded(
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &std::free);
  return encoded.get();
}

}  // namespace mangoroad::mangoctl
