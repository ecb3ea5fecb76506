// Codec of the messages between replicas: msgpack arrays whose first element is the format version.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "consensus/messages.h"

namespace mangoroad::consensus {

/// Version written and read; other versions are rejected.
inline constexpr std::uint32_t kMessageFormatVersion = 1;

std::string EncodeMessage(const Message& message);
/// Nothing when the bytes are malformed or of another version.
std::optional<Message> DecodeMessage(std::string_view bytes);

}  // namespace mangoroad::consensus
