// HTTP/1.1 client over evhttp with a pool of connections for each address and streamed answers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/name_table.h"
#include "base/time.h"
#include "net/http_message.h"

namespace mangoroad::net {

class EventLoop;

enum class HttpFailure {
  kNotConnected,  // no byte of the request can have reached the peer
  kNoConnection,  // as kNotConnected: the limit on connections left none within the time
  kTimeout,
  kClosedEarly,  // the connection ended before the answer was complete
  kMalformed,
  kTooLarge,
  kCancelled,
};

inline constexpr base::NameTable<HttpFailure, 7> kHttpFailureNames{{
    {HttpFailure::kNotConnected, "not-connected"},
    {HttpFailure::kNoConnection, "no-connection"},
    {HttpFailure::kTimeout, "timeout"},
    {HttpFailure::kClosedEarly, "closed-early"},
    {HttpFailure::kMalformed, "malformed"},
    {HttpFailure::kTooLarge, "too-large"},
    {HttpFailure::kCancelled, "cancelled"},
}};

/// True when no byte of the request has left this process.
constexpr bool IsNotSent(HttpFailure failure) {
  return failure == HttpFailure::kNotConnected || failure == HttpFailure::kNoConnection;
}

struct HttpClientRequest {
  HttpAddress address;
  HttpMethod method = HttpMethod::kGet;
  std::string target;  // path with query
  HttpHeaders headers;
  std::string body;
  /// The whole exchange must end within this time.
  base::Duration timeout = std::chrono::seconds(10);
  /// A pooled connection is used only when it was proven alive (idle for) at most this long ago.
  base::Duration max_idle = std::chrono::seconds(30);
};

struct HttpAnswer {
  int status = 0;
  HttpHeaders headers;
};

struct HttpCallbacks {
  /// Status and headers, before the body.
  std::function<void(const HttpAnswer&)> on_headers;
  std::function<void(std::string_view)> on_body;
  /// Called exactly once; nothing means that the whole answer was received.
  std::function<void(std::optional<HttpFailure>)> on_end;
};

struct HttpClientLimits {
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_idle_connections = 64;  // for each address
  /// Open connections to all addresses together. At the limit the oldest idle one is closed first;
  /// without one, a request waits until another one ends.
  std::size_t max_connections = 1'000;
  /// A connection without progress for this long is given up by the kernel (TCP_USER_TIMEOUT).
  base::Duration user_timeout = std::chrono::seconds(3);
  /// Connections are replaced after this age, since a device on the way may forget old ones.
  base::Duration max_age = std::chrono::minutes(5);
};

/// Sends requests; one request at a time uses a connection.
class HttpClient {
 public:
  using CallId = std::uint64_t;

  HttpClient(EventLoop& loop, HttpClientLimits limits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  CallId Send(HttpClientRequest request, HttpCallbacks callbacks);
  /// Sends and collects the body; `on_end` gets the answer with its body, or the failure.
  using WholeAnswer =
      std::function<void(std::optional<HttpFailure>, const HttpAnswer&, std::string)>;
  CallId SendWhole(HttpClientRequest request, WholeAnswer on_end);

  /// Ends a call; its on_end gets kCancelled. Unknown ids are ignored.
  void Cancel(CallId id);
  /// Stops or resumes reading the answer, for backpressure.
  void Pause(CallId id, bool paused);

  /// Open connections to `address`, idle ones included.
  [[nodiscard]] std::size_t Connections(const HttpAddress& address) const;
  /// Open connections to all addresses, idle ones included.
  [[nodiscard]] std::size_t AllConnections() const;
  /// Requests that wait for a connection.
  [[nodiscard]] std::size_t Waiting() const;
  /// Closes idle connections to `address`.
  void CloseIdle(const HttpAddress& address);

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::net
