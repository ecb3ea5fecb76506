// Types shared by the HTTP server and client.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/name_table.h"

namespace mangoroad::net {

enum class HttpMethod { kGet, kPost, kPut, kDelete, kHead, kOptions, kPatch };

inline constexpr base::NameTable<HttpMethod, 7> kHttpMethodNames{{
    {HttpMethod::kGet, "GET"},
    {HttpMethod::kPost, "POST"},
    {HttpMethod::kPut, "PUT"},
    {HttpMethod::kDelete, "DELETE"},
    {HttpMethod::kHead, "HEAD"},
    {HttpMethod::kOptions, "OPTIONS"},
    {HttpMethod::kPatch, "PATCH"},
}};

/// Header fields in the order in which they are sent. Names are compared without regard to case.
class HttpHeaders {
 public:
  using Field = std::pair<std::string, std::string>;

  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<Field> initial) : fields(initial) {}

  void Add(std::string name, std::string value);
  /// First value of `name`, or nothing.
  [[nodiscard]] std::optional<std::string_view> Find(std::string_view name) const;
  [[nodiscard]] const std::vector<Field>& Fields() const { return this->fields; }

 private:
  std::vector<Field> fields;
};

/// True for fields that describe one connection and aren't passed on, such as Connection or
/// Transfer-Encoding.
bool IsHopByHopHeader(std::string_view name);

/// An IPv4 address and port, written `127.0.0.1:8080`.
struct HttpAddress {
  std::string ip;
  std::uint16_t port = 0;

  friend auto operator<=>(const HttpAddress&, const HttpAddress&) = default;
};

/// Reads `ip:port`; nothing when the text has another form.
std::optional<HttpAddress> ParseAddress(std::string_view text);
std::string ToString(const HttpAddress& address);

/// Value of parameter `name` in a query string (`a=1&b=2`), with escapes decoded.
std::optional<std::string> QueryValue(std::string_view query, std::string_view name);

}  // namespace mangoroad::net
