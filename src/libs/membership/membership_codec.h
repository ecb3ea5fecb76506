// msgpack encoding of the messages between entry VMs.
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "membership/gossip.h"

namespace mangoroad::membership {

enum class CodecErrorKind { kMalformed, kUnknownVersion };
using CodecError = base::BasicError<CodecErrorKind>;

std::string Encode(const Gossip& gossip);
/// Fails for input that isn't exactly one message of a known format version.
base::Result<Gossip, CodecError> DecodeGossip(std::string_view bytes);

}  // namespace mangoroad::membership
