// Reads a JSON object field by field and collects every fault: missing and unknown fields, wrong
// types, ranges.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangoroad::entry {

enum class Presence { kRequired, kOptional };

/// Whether fields that aren't read are faults. Nested readers follow the outer one.
enum class UnknownFields { kRefuse, kIgnore };

/// Deepest nesting of arrays and objects that is read; the bodies of all interfaces need less
/// than ten levels.
inline constexpr int kMaxJsonDepth = 64;

/// True for a text with deeper nesting. The JSON library copies and prints nested values
/// recursively, so such a text must not be parsed: it would exhaust the stack.
[[nodiscard]] bool IsNestedTooDeeply(std::string_view text);

/// Reader of one JSON object. After the last field has been read, Fault() is empty or names the
/// first faults.
class JsonReader {
 public:
  /// Parses `text`; a text that isn't an object is a fault.
  explicit JsonReader(std::string_view text, UnknownFields unknown = UnknownFields::kRefuse);
  ~JsonReader();
  JsonReader(JsonReader&&) noexcept;
  JsonReader& operator=(JsonReader&&) noexcept;
  JsonReader(const JsonReader&) = delete;
  JsonReader& operator=(const JsonReader&) = delete;

  std::string Text(std::string_view name, Presence presence, std::size_t max_size = 4096,
                   std::string_view fallback = "");
  std::int64_t Integer(std::string_view name, Presence presence, std::int64_t low = 0,
                       std::int64_t high = std::numeric_limits<std::int64_t>::max(),
                       std::int64_t fallback = 0);
  /// A number that may use all 64 bits, such as a nonce.
  std::uint64_t Unsigned(std::string_view name, Presence presence);
  double Number(std::string_view name, Presence presence, double low, double high,
                double fallback = 0);
  bool Flag(std::string_view name, Presence presence, bool fallback = false);
  std::vector<std::string> Texts(std::string_view name, Presence presence);
  /// Integers in an array.
  std::vector<std::int64_t> Integers(std::string_view name, Presence presence, std::int64_t low,
                                     std::int64_t high);
  /// The object in a field; its faults are added by Absorb. Empty when it is missing.
  JsonReader Object(std::string_view name, Presence presence);
  /// The objects in an array, each with a reader of its own; their faults are added by Absorb.
  std::vector<JsonReader> Objects(std::string_view name, Presence presence);
  /// Members of an object whose values are integers.
  std::vector<std::pair<std::string, std::int64_t>> IntegerMap(std::string_view name,
                                                               Presence presence);
  /// Takes over the faults of a nested reader.
  void Absorb(const JsonReader& nested);

  /// Empty, or a message that names the fields at fault.
  [[nodiscard]] std::string Fault() const;

 private:
  struct Private;
  JsonReader();
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::entry
