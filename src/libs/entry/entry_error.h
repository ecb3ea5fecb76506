// Errors of an entry VM's start, converted from those of the layers below.
#pragma once

#include <cstdint>

#include "base/result.h"

namespace mangoroad::entry {

enum class EntryErrorKind : std::uint8_t { kBadSettings, kBadData, kCannotListen };
using EntryError = base::BasicError<EntryErrorKind>;

}  // namespace mangoroad::entry
