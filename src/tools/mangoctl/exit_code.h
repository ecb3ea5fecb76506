// Exit codes of mangoctl, as documented in docs/operators/mangoctl.md.
#pragma once

#include <cstdint>

namespace mangoroad::mangoctl {

enum class ExitCode : std::uint8_t {
  kSuccess = 0,
  kError = 1,
  /// `table plan --detailed-exit-code` found changes.
  kChanges = 2,
  /// Someone else changed it first.
  kConflict = 3,
  /// No entry VM answered.
  kUnreachable = 4,
  /// Not accepted for want of a quorum.
  kNoQuorum = 5,
};

}  // namespace mangoroad::mangoctl
