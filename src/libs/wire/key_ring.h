// Keys that entry VMs share to authenticate their links.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "wire/frame.h"

namespace mangoroad::wire {

/// One or two named keys, both of which are accepted; the first is used for new connections.
///
/// Rotation without interruption: add the new key as the second one on every entry VM, then put it
/// first on every one, then remove the old one; restart the daemon after each step.
class KeyRing {
 public:
  struct Key {
    std::string name;
    std::string secret;
  };

  /// Reads lines `NAME HEX` with 32 to 64 bytes in hexadecimal; empty lines and those that begin
  /// with `#` are skipped. Messages of errors never contain a key.
  static base::Result<KeyRing, WireError> Parse(std::string_view text);
  /// Reads a file; refuses one that others than its owner and group can access.
  static base::Result<KeyRing, WireError> Load(const std::string& path);

  [[nodiscard]] const Key& Active() const { return this->keys.front(); }
  /// Secret of the key, or nothing.
  [[nodiscard]] std::optional<std::string> Find(std::string_view name) const;

 private:
  std::vector<Key> keys;
};

}  // namespace mangoroad::wire
