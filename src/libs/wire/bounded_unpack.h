// The one place in which bytes become msgpack objects. Include only in .cc files: msgpack is a
// heavy header.
#pragma once

#include <cstddef>
#include <msgpack.hpp>
#include <string_view>

namespace mangoroad::wire {

/// Nesting that no message or file of the project exceeds.
inline constexpr std::size_t kMaxMsgpackDepth = 24;

/// Unpacks one object from `offset` on and moves `offset` behind it. Sizes inside can't exceed the
/// input, so a few damaged bytes can't ask for gigabytes; deeper nesting than `max_depth`, which
/// could exhaust the stack, and extension types, which nothing here writes, are refused. Throws
/// msgpack::unpack_error for bytes that are no object; callers turn it into their own error.
inline msgpack::object_handle UnpackLimited(std::string_view bytes, std::size_t& offset,
                                            std::size_t max_depth = kMaxMsgpackDepth) {
  const std::size_t size = bytes.size();
  const msgpack::unpack_limit limit(size, size, size, size, 0, max_depth);
  const char* data = bytes.data();
  return msgpack::unpack(data, size, offset, nullptr, nullptr, limit);
}

}  // namespace mangoroad::wire
