// A blocking HTTP/1.1 client over libevent's evhttp, one request at a time.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/result.h"

namespace mangoroad::mangoctl {

struct HttpRequest {
  std::string method = "GET";
  /// Path with query.
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  /// Sent as JSON when not empty.
  std::string body;
};

struct HttpAnswer {
  int status = 0;
  std::string body;
};

enum class HttpErrorKind : std::uint8_t {
  /// The address isn't IP:PORT.
  kBadAddress,
  /// No connection; the request wasn't sent.
  kUnreachable,
  /// The connection ended or the time was over without a complete answer.
  kNoAnswer,
};
using HttpError = base::BasicError<HttpErrorKind>;

/// Sends a request to `address` ("IP:PORT", IPv6 in brackets) and waits at most `timeout` for the
/// whole answer.
base::Result<HttpAnswer, HttpError> SendHttp(std::string_view address, const HttpRequest& request,
                                             std::chrono::milliseconds timeout);

/// `text` with all but unreserved characters as %XX, for a path segment or a query value.
std::string EncodeUriPart(std::string_view text);

}  // namespace mangoroad::mangoctl
