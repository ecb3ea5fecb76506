// msgpack encoding of the messages between owners and holders.
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "lending/messages.h"

namespace mangoroad::lending {

enum class CodecErrorKind { kMalformed, kUnknownVersion };

using CodecError = base::BasicError<CodecErrorKind>;

std::string Encode(const BorrowRequest& message);
std::string Encode(const LendMessage& message);

/// Decoding fails for input that isn't exactly one message of a known format version.
base::Result<BorrowRequest, CodecError> DecodeBorrowRequest(std::string_view bytes);
base::Result<LendMessage, CodecError> DecodeLendMessage(std::string_view bytes);

}  // namespace mangoroad::lending
