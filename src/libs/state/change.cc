#include "state/change.h"

#include <fmt/format.h>

#include <algorithm>

namespace mangoroad::state {

std::optional<std::string> FaultOf(const Origin& origin) {
  const bool is_printable =
      std::ranges::all_of(origin.change_id, [](char c) { return c > ' ' && c < '\x7f'; });
  if (origin.change_id.empty() || origin.change_id.size() > kMaxChangeIdBytes || !is_printable) {
    return fmt::format(
        "change_id has {} bytes; it needs 1 to {} printable ASCII characters without space",
        origin.change_id.size(), kMaxChangeIdBytes);
  }
  if (origin.author.empty() || origin.author.size() > kMaxAuthorBytes) {
    return fmt::format("author has {} bytes; it needs 1 to {}", origin.author.size(),
                       kMaxAuthorBytes);
  }
  if (origin.reason.size() > kMaxReasonBytes) {
    return fmt::format("reason has {} bytes; at most {} are allowed", origin.reason.size(),
                       kMaxReasonBytes);
  }
  return std::nullopt;
}

}  // namespace mangoroad::state
