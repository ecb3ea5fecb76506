#include "wire/key_ring.h"

#include <fmt/format.h>
#include <sys/stat.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <iterator>
#include <sstream>

namespace mangoroad::wire {
namespace {

constexpr std::size_t kMinSecretBytes = 32;
constexpr std::size_t kMaxSecretBytes = 64;
constexpr std::size_t kMaxKeys = 2;

WireError BadFile(std::string message) { return {WireErrorKind::kBadKeyFile, std::move(message)}; }

std::optional<std::string> FromHex(std::string_view hex) {
  const bool is_hex = hex.size() % 2 == 0 && std::ranges::all_of(hex, [](unsigned char c) {
                        return std::isxdigit(c) != 0;
                      });
  if (!is_hex) return std::nullopt;
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16));
  }
  return bytes;
}

}  // namespace

base::Result<KeyRing, WireError> KeyRing::Parse(std::string_view text) {
  KeyRing ring;
  std::istringstream lines{std::string(text)};
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    std::istringstream words(line);
    std::string name;
    std::string hex;
    std::string extra;
    if (!(words >> name) || name[0] == '#') continue;
    if (!(words >> hex) || words >> extra) {
      return BadFile(fmt::format("line {}: not NAME HEX", number));
    }
    auto secret = FromHex(hex);
    if (!secret || secret->size() < kMinSecretBytes || secret->size() > kMaxSecretBytes) {
      return BadFile(fmt::format("line {}: key '{}' is not {} to {} bytes in hexadecimal", number,
                                 name, kMinSecretBytes, kMaxSecretBytes));
    }
    if (ring.Find(name)) return BadFile(fmt::format("line {}: second key '{}'", number, name));
    if (ring.keys.size() == kMaxKeys) {
      return BadFile(fmt::format("line {}: more than {} keys", number, kMaxKeys));
    }
    ring.keys.push_back({std::move(name), std::move(*secret)});
  }
  if (ring.keys.empty()) return BadFile("no key found");
  return ring;
}

base::Result<KeyRing, WireError> KeyRing::Load(const std::string& path) {
  struct stat status{};
  if (stat(path.c_str(), &status) != 0) return BadFile(fmt::format("{}: can't be read", path));
  if ((status.st_mode & (S_IROTH | S_IWOTH | S_IWGRP)) != 0) {
    return BadFile(fmt::format("{}: mode {:o} lets others read or change it; use 0640 or 0600",
                               path, status.st_mode & 0777U));
  }
  std::ifstream stream(path, std::ios::binary);
  if (!stream) return BadFile(fmt::format("{}: can't be read", path));
  auto ring = Parse(std::string(std::istreambuf_iterator<char>(stream), {}));
  if (!base::Ok(ring)) {
    return BadFile(fmt::format("{}: {}", path, base::ErrorOf(ring).message));
  }
  return ring;
}

std::optional<std::string> KeyRing::Find(std::string_view name) const {
  const auto key = std::ranges::find(this->keys, name, &Key::name);
  if (key == this->keys.end()) return std::nullopt;
  return key->secret;
}

}  // namespace mangoroad::wire
