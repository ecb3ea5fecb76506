// msgpack encoding of the messages between the members of a key registry.
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "registry/messages.h"

namespace mangoroad::registry {

enum class CodecErrorKind { kMalformed, kUnknownVersion, kUnknownMessage };

using CodecError = base::BasicError<CodecErrorKind>;

std::string Encode(const Message& message);
/// Fails for input that isn't exactly one message of a known format version.
base::Result<Message, CodecError> Decode(std::string_view bytes);

}  // namespace mangoroad::registry
