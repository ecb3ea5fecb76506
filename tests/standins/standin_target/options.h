// Flags of the stand-in target.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "base/result.h"
#include "base/time.h"
#include "service_time.h"
#include "settings/settings.h"
#include "target_protocol.h"

namespace mangoroad::standin {

/// How the target misbehaves.
enum class FailureMode {
  kNone,
  /// Requests and tasks take `slow_factor` times as long.
  kSlow,
  /// Every request is answered with 500 at once and every task fails at once.
  kFailAll,
  /// Answers break off in the middle.
  kTruncate,
  /// Requests are never answered; their slots are free again at the deadline.
  kHang,
  /// Every request and task is refused with the outcome `not-run`.
  kRefuse,
};

inline constexpr base::NameTable<FailureMode, 6> kFailureModeNames{{
    {FailureMode::kNone, "none"},
    {FailureMode::kSlow, "slow"},
    {FailureMode::kFailAll, "fail-all"},
    {FailureMode::kTruncate, "truncate"},
    {FailureMode::kHang, "hang"},
    {FailureMode::kRefuse, "refuse"},
}};

struct Options {
  Identity identity;
  settings::Endpoint listen;
  std::vector<settings::Endpoint> entries;
  ServiceTime service_time;
  ServiceTime task_time;
  FailureMode failure = FailureMode::kNone;
  double slow_factor = 10.0;
  /// Service times grow by this share when all processors are reserved by tasks, and run times of
  /// tasks when all slots are in use.
  double interference = 0.0;
  std::string record;
  std::uint64_t seed = 1;
  base::Duration report_every = std::chrono::milliseconds(500);
  base::Duration usage_lag{};
  base::Duration leave_time = std::chrono::seconds(30);
  std::string log_levels;
};

/// Text to print and the exit code when the program isn't to run.
struct OptionsStop {
  int exit_code = 0;
  std::string text;
};

base::Result<Options, OptionsStop> ParseOptions(int argc, const char* const* argv);

}  // namespace mangoroad::standin
