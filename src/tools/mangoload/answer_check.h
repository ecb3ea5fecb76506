// Check that an answer is whole and belongs to its request.
#pragma once

#include <string_view>

namespace mangoroad::load {

/// An answer of the stand-in target is one line of JSON with the path and the length of the
/// request's body, followed by that body.
bool IsWholeAnswer(std::string_view answer, std::string_view path, std::string_view request_body);

}  // namespace mangoroad::load
