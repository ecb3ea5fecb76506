// Rendering of one event; the time, level and category are added by the sink's pattern.
#pragma once

#include <string>
#include <string_view>

#include "log/log.h"

namespace mangoroad::log::internal {

/// `event="link lost" peer=kochi-2 …`; values with other characters than printable ASCII without
/// space, quote, backslash and equals sign are quoted and escaped, so one event stays one line.
std::string TextLine(std::string_view event, Fields fields);

/// `"event":"link lost","peer":"kochi-2"`: the members of a JSON object without its braces. Bytes
/// that are not UTF-8 become U+FFFD.
std::string JsonMembers(std::string_view event, Fields fields);

}  // namespace mangoroad::log::internal
