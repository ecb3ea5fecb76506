#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <charconv>

#include "settings/settings.h"

namespace mangoroad::settings {

std::string Endpoint::Text() const {
  return this->ip.find(':') == std::string::npos ? fmt::format("{}:{}", this->ip, this->port)
                                                 : fmt::format("[{}]:{}", this->ip, this->port);
}

base::Result<Endpoint, std::string> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return fmt::format("'{}' is not IP:PORT", text);
  std::string ip(text.substr(0, colon));
  const bool is_bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (is_bracketed) ip = ip.substr(1, ip.size() - 2);
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  if (inet_pton(is_bracketed ? AF_INET6 : AF_INET, ip.c_str(), binary.data()) != 1) {
    return fmt::format("'{}' is not IP:PORT: '{}' is no IP address", text, ip);
  }
  const std::string port_text(text.substr(colon + 1));
  const char* const last = port_text.data() + port_text.size();
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(port_text.data(), last, port);
  if (error != std::errc() || end != last || port == 0) {
    return fmt::format("'{}' is not IP:PORT: the port is not from 1 to 65535", text);
  }
  return Endpoint{std::move(ip), port};
}

}  // namespace mangoroad::settings
