// Generic reading and writing of values with msgpack. Heavy: include it only in a .cc file.
#pragma once

#include <concepts>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

namespace mangoroad::state::internal {

/// Specialised for each structure: `kMembers` is a tuple of pointers to its members in the order of
/// the encoding.
template <typename Structure>
struct Layout;

/// Specialised for each enumeration: its last enumerator.
template <typename Enum>
struct LastOf;

template <typename Value>
concept HasLayout = requires { Layout<Value>::kMembers; };

template <typename Value>
struct IsSequence : std::false_type {};
template <typename Value>
struct IsSequence<std::vector<Value>> : std::true_type {};
template <typename Value>
struct IsSequence<std::deque<Value>> : std::true_type {};

template <typename Value>
struct IsMap : std::false_type {};
template <typename Key, typename Value>
struct IsMap<std::map<Key, Value>> : std::true_type {};

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename Value>
void Pack(Packer& packer, const Value& value) {
  if constexpr (HasLayout<Value>) {
    constexpr auto kMembers = Layout<Value>::kMembers;
    packer.pack_array(std::tuple_size_v<decltype(kMembers)>);
    std::apply([&](auto... member) { (Pack(packer, value.*member), ...); }, kMembers);
  } else if constexpr (IsSequence<Value>::value) {
    packer.pack_array(static_cast<std::uint32_t>(value.size()));
    for (const auto& element : value) Pack(packer, element);
  } else if constexpr (IsMap<Value>::value) {
    packer.pack_map(static_cast<std::uint32_t>(value.size()));
    for (const auto& [key, element] : value) {
      Pack(packer, key);
      Pack(packer, element);
    }
  } else if constexpr (std::is_enum_v<Value>) {
    packer.pack(static_cast<std::uint64_t>(value));
  } else {
    packer.pack(value);
  }
}

template <typename Value>
bool Unpack(const msgpack::object& object, Value& value);

template <typename Value>
bool UnpackStructure(const msgpack::object& object, Value& value) {
  constexpr auto kMembers = Layout<Value>::kMembers;
  constexpr std::size_t kCount = std::tuple_size_v<decltype(kMembers)>;
  if (object.type != msgpack::type::ARRAY || object.via.array.size != kCount) return false;
  const msgpack::object* element = object.via.array.ptr;
  return std::apply([&](auto... member) { return (Unpack(*element++, value.*member) && ...); },
                    kMembers);
}

template <typename Value>
bool UnpackSequence(const msgpack::object& object, Value& value) {
  if (object.type != msgpack::type::ARRAY) return false;
  for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
    if (!Unpack(object.via.array.ptr[i], value.emplace_back())) return false;
  }
  return true;
}

template <typename Value>
bool UnpackMap(const msgpack::object& object, Value& value) {
  if (object.type != msgpack::type::MAP) return false;
  for (std::uint32_t i = 0; i < object.via.map.size; ++i) {
    const msgpack::object_kv& pair = object.via.map.ptr[i];
    typename Value::key_type key{};
    if (!Unpack(pair.key, key)) return false;
    const auto [entry, is_new] = value.try_emplace(std::move(key));
    if (!is_new || !Unpack(pair.val, entry->second)) return false;
  }
  return true;
}

/// Sets `value` from `object`; false when the type or range doesn't fit.
template <typename Value>
bool Unpack(const msgpack::object& object, Value& value) {
  if constexpr (HasLayout<Value>) {
    return UnpackStructure(object, value);
  } else if constexpr (IsSequence<Value>::value) {
    return UnpackSequence(object, value);
  } else if constexpr (IsMap<Value>::value) {
    return UnpackMap(object, value);
  } else if constexpr (std::is_enum_v<Value>) {
    const bool fits = object.type == msgpack::type::POSITIVE_INTEGER &&
                      object.via.u64 <= static_cast<std::uint64_t>(LastOf<Value>::kValue);
    if (fits) value = static_cast<Value>(object.via.u64);
    return fits;
  } else if constexpr (std::same_as<Value, bool>) {
    if (object.type != msgpack::type::BOOLEAN) return false;
    value = object.via.boolean;
    return true;
  } else if constexpr (std::same_as<Value, std::string>) {
    if (object.type != msgpack::type::STR) return false;
    value.assign(object.via.str.ptr, object.via.str.size);
    return true;
  } else {
    static_assert(std::integral<Value>);
    const bool is_positive = object.type == msgpack::type::POSITIVE_INTEGER;
    if (is_positive && std::in_range<Value>(object.via.u64)) {
      value = static_cast<Value>(object.via.u64);
      return true;
    }
    if (object.type != msgpack::type::NEGATIVE_INTEGER || !std::in_range<Value>(object.via.i64)) {
      return false;
    }
    value = static_cast<Value>(object.via.i64);
    return true;
  }
}

}  // namespace mangoroad::state::internal
