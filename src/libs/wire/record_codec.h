// Packs and unpacks structs as msgpack arrays. A struct takes part by a function
// `auto FieldsOf(Struct&)` beside it that returns a std::tie of its fields; their order is the
// format. Include only in .cc files: msgpack is a heavy header.
#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "wire/bounded_unpack.h"

namespace mangoroad::wire {

/// Calls `read` with the msgpack object in `bytes`. False when the bytes are no single object,
/// `read` says so, or a value has another type. Sizes inside can't exceed the input, so a few bytes
/// can't ask for much memory.
template <typename ReadObject>
bool UnpackBounded(std::string_view bytes, const ReadObject& read) {
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle = UnpackLimited(bytes, offset);
    return offset == bytes.size() && read(handle.get());
  } catch (const msgpack::type_error&) {
    return false;
  } catch (const msgpack::unpack_error&) {
    return false;
  }
}

/// A value that msgpack itself can convert, a tuple for example; nothing when the bytes are no such
/// value as a whole.
template <typename Value>
std::optional<Value> UnpackAs(std::string_view bytes) {
  std::optional<Value> value;
  UnpackBounded(bytes, [&](const msgpack::object& object) {
    value = object.as<Value>();
    return true;
  });
  return value;
}

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename Value>
void PackRecord(Packer& packer, const Value& value);
template <typename Value>
bool UnpackRecord(const msgpack::object& object, Value& value);

namespace internal {

template <typename Value>
concept HasFields = requires(Value& value) { FieldsOf(value); };

template <typename Value>
struct IsDuration : std::false_type {};
template <typename Count, typename Period>
struct IsDuration<std::chrono::duration<Count, Period>> : std::true_type {};
template <typename Value>
struct IsVector : std::false_type {};
template <typename Item>
struct IsVector<std::vector<Item>> : std::true_type {};
template <typename Value>
struct IsOptional : std::false_type {};
template <typename Item>
struct IsOptional<std::optional<Item>> : std::true_type {};
template <typename Value>
struct IsMap : std::false_type {};
template <typename Key, typename Item, typename Compare>
struct IsMap<std::map<Key, Item, Compare>> : std::true_type {};
template <typename Value>
struct IsVariant : std::false_type {};
template <typename... Items>
struct IsVariant<std::variant<Items...>> : std::true_type {};

template <std::size_t kIndex = 0, typename Variant>
bool UnpackAlternative(const msgpack::object& object, std::size_t index, Variant& value) {
  if constexpr (kIndex < std::variant_size_v<Variant>) {
    if (index == kIndex) return UnpackRecord(object, value.template emplace<kIndex>());
    return UnpackAlternative<kIndex + 1>(object, index, value);
  } else {
    return false;
  }
}

}  // namespace internal

template <typename Value>
void PackRecord(Packer& packer, const Value& value) {
  if constexpr (internal::HasFields<const Value>) {
    const auto fields = FieldsOf(value);
    packer.pack_array(static_cast<std::uint32_t>(std::tuple_size_v<decltype(fields)>));
    std::apply([&](const auto&... field) { (PackRecord(packer, field), ...); }, fields);
  } else if constexpr (std::is_enum_v<Value>) {
    packer.pack(static_cast<std::uint8_t>(value));
  } else if constexpr (internal::IsDuration<Value>::value) {
    packer.pack(value.count());
  } else if constexpr (internal::IsVector<Value>::value) {
    packer.pack_array(static_cast<std::uint32_t>(value.size()));
    for (const auto& item : value) PackRecord(packer, item);
  } else if constexpr (internal::IsMap<Value>::value) {
    packer.pack_array(static_cast<std::uint32_t>(value.size()));
    for (const auto& [key, item] : value) {
      packer.pack_array(2);
      PackRecord(packer, key);
      PackRecord(packer, item);
    }
  } else if constexpr (internal::IsOptional<Value>::value) {
    if (value) {
      PackRecord(packer, *value);
    } else {
      packer.pack_nil();
    }
  } else if constexpr (internal::IsVariant<Value>::value) {
    packer.pack_array(2);
    packer.pack(static_cast<std::uint8_t>(value.index()));
    std::visit([&](const auto& item) { PackRecord(packer, item); }, value);
  } else {
    packer.pack(value);
  }
}

template <typename Value>
bool UnpackRecord(const msgpack::object& object, Value& value) {
  if constexpr (internal::HasFields<Value>) {
    auto fields = FieldsOf(value);
    if (object.type != msgpack::type::ARRAY ||
        object.via.array.size != std::tuple_size_v<decltype(fields)>) {
      return false;
    }
    [[maybe_unused]] const msgpack::object* next = object.via.array.ptr;
    return std::apply([&](auto&... field) { return (UnpackRecord(*next++, field) && ...); },
                      fields);
  } else if constexpr (std::is_enum_v<Value>) {
    value = static_cast<Value>(object.as<std::uint8_t>());
    return true;
  } else if constexpr (internal::IsDuration<Value>::value) {
    value = Value(object.as<typename Value::rep>());
    return true;
  } else if constexpr (internal::IsVector<Value>::value) {
    if (object.type != msgpack::type::ARRAY) return false;
    value.resize(object.via.array.size);
    for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
      if (!UnpackRecord(object.via.array.ptr[i], value[i])) return false;
    }
    return true;
  } else if constexpr (internal::IsMap<Value>::value) {
    if (object.type != msgpack::type::ARRAY) return false;
    for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
      const msgpack::object& pair = object.via.array.ptr[i];
      typename Value::key_type key;
      typename Value::mapped_type item;
      if (pair.type != msgpack::type::ARRAY || pair.via.array.size != 2 ||
          !UnpackRecord(pair.via.array.ptr[0], key) || !UnpackRecord(pair.via.array.ptr[1], item)) {
        return false;
      }
      value.emplace(std::move(key), std::move(item));
    }
    return true;
  } else if constexpr (internal::IsOptional<Value>::value) {
    value.reset();
    return object.is_nil() || UnpackRecord(object, value.emplace());
  } else if constexpr (internal::IsVariant<Value>::value) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) return false;
    return internal::UnpackAlternative(object.via.array.ptr[1],
                                       object.via.array.ptr[0].as<std::uint8_t>(), value);
  } else {
    object.convert(value);
    return true;
  }
}

template <typename Value>
std::string EncodeRecord(const Value& value) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  PackRecord(packer, value);
  return {buffer.data(), buffer.size()};
}

template <typename Value>
std::optional<Value> DecodeRecord(std::string_view bytes) {
  Value value;
  const bool whole = UnpackBounded(
      bytes, [&](const msgpack::object& object) { return UnpackRecord(object, value); });
  if (!whole) return std::nullopt;
  return value;
}

}  // namespace mangoroad::wire
