#include "net/http_message.h"

#include <arpa/inet.h>
#include <event2/http.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <memory>

namespace mangoroad::net {
namespace {

bool EqualNames(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
    return std::tolower(a) == std::tolower(b);
  });
}

std::string DecodeEscapes(std::string_view text) {
  std::size_t size = 0;
  const std::unique_ptr<char, decltype(&std::free)> decoded(
      evhttp_uridecode(std::string(text).c_str(), 1, &size), &std::free);
  return decoded == nullptr ? std::string() : std::string(decoded.get(), size);
}

}  // namespace

void HttpHeaders::Add(std::string name, std::string value) {
  this->fields.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string_view> HttpHeaders::Find(std::string_view name) const {
  const auto field = std::ranges::find_if(
      this->fields, [&](const Field& candidate) { return EqualNames(candidate.first, name); });
  if (field == this->fields.end()) return std::nullopt;
  return field->second;
}

bool IsHopByHopHeader(std::string_view name) {
  static constexpr std::array<std::string_view, 10> kNames{"Connection",
                                                           "Keep-Alive",
                                                           "Proxy-Authenticate",
                                                           "Proxy-Authorization",
                                                           "TE",
                                                           "Expect",
                                                           "Trailer",
                                                           "Upgrade",
                                                           "Transfer-Encoding",
                                                           "Host"};
  return std::ranges::any_of(kNames,
                             [&](std::string_view known) { return EqualNames(known, name); });
}

std::optional<HttpAddress> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  HttpAddress address{.ip = std::string(text.substr(0, colon))};
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
  in_addr parsed{};
  if (error != std::errc() || end != port.data() + port.size() || address.port == 0 ||
      inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  return address;
}

std::string ToString(const HttpAddress& address) {
  return address.ip + ":" + std::to_string(address.port);
}

std::optional<std::string> QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos ? "" : DecodeEscapes(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) break;
    query.remove_prefix(end + 1);
  }
  return std::nullopt;
}

}  // namespace mangoroad::net
