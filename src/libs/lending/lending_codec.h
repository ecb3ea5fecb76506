// msgpack form of the messages between owners and holders.
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "lending/messages.h"

namespace mangoroad::lending {

enum class CodecErrorKind { kMalformed, kUnknownVersion };

using CodecError = base::BasicError<CodecErrorKind>;

std::string Encode(const Borrow& message);
std::string Encode(const Lend& message);

/// Decoders return an error for input that isn't exactly one message of a known format version.
base::Result<Borrow, CodecError> DecodeBorrow(std::string_view bytes);
base::Result<Lend, CodecError> DecodeLend(std::string_view bytes);

}  // namespace mangoroad::lending
