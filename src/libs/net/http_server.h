// HTTP/1.1 server over evhttp, with limits on size and time and replies that can be streamed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/time.h"
#include "net/http_message.h"

namespace mangoroad::net {

class EventLoop;
struct HttpServerPrivate;

enum class HttpServerErrorKind { kCannotListen };
using HttpServerError = base::BasicError<HttpServerErrorKind>;

/// Bounds on what a sender may cost this process.
struct HttpServerLimits {
  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_header_bytes = 16 << 10;
  /// A request that isn't complete after this time has its connection closed.
  base::Duration request_time = std::chrono::seconds(10);
  /// Open connections. At the limit accepting pauses, so that new ones wait in the kernel's queue,
  /// and the connections that have been idle longest are closed.
  std::size_t max_connections = 100'000;
};

/// One request and its reply. Calls after the connection has closed are ignored.
class HttpExchange {
 public:
  HttpExchange();
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  HttpMethod method = HttpMethod::kGet;
  std::string path;   // without the query
  std::string query;  // without the question mark
  HttpHeaders headers;
  std::string body;

  /// Sends a whole reply.
  void Reply(int status, const HttpHeaders& reply_headers, std::string_view reply_body);
  /// Starts a reply whose body follows by SendChunk. With a Content-Length header the body is sent
  /// as is, else chunked.
  void StartReply(int status, const HttpHeaders& reply_headers);
  void SendChunk(std::string_view bytes);
  void EndReply();
  /// Closes the connection without completing the reply, so that the peer sees that it is
  /// truncated.
  void Abort();

  [[nodiscard]] bool Replied() const;
  [[nodiscard]] bool Closed() const;
  /// Bytes of the reply that wait for the peer; used for backpressure.
  [[nodiscard]] std::size_t UnsentBytes() const;
  /// Called once when the connection closes before the reply is complete.
  void OnClosed(std::function<void()> callback);
  /// Called when the reply's bytes have left for the peer.
  void OnDrained(std::function<void()> callback);

 private:
  friend class HttpServer;
  friend struct HttpServerPrivate;
  struct Private;
  std::unique_ptr<Private> d;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// Listens on one address and hands each complete request to the handler.
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchangePtr)>;

  HttpServer(EventLoop& loop, HttpServerLimits limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens; port 0 takes a free port. The value is the port.
  base::Result<std::uint16_t, HttpServerError> Listen(const std::string& ip, std::uint16_t port);
  /// Stops accepting connections; requests in progress go on.
  void StopListening();
  /// Requests that were handed out and aren't answered yet.
  [[nodiscard]] std::size_t InProgress() const;
  /// Open connections.
  [[nodiscard]] std::size_t Connections() const;
  /// How often accepting was paused, at the limit or for want of a descriptor.
  [[nodiscard]] std::uint64_t Pauses() const;

 private:
  std::unique_ptr<HttpServerPrivate> d;
};

}  // namespace mangoroad::net
