// Command line of mangoload.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "settings/settings.h"

namespace mangoroad::load {

/// Load on one row.
struct RowLoad {
  std::string row;
  /// Requests a second.
  double rate = 0.0;
  /// Requests carry an idempotency key and may be resent with it.
  bool is_keyed = false;
  bool is_idempotent = true;
};

struct RunOptions {
  std::vector<settings::Endpoint> entries;
  std::vector<RowLoad> rows;
  base::Duration duration = std::chrono::seconds(10);
  /// Requests that begin in this time aren't in the report; they are in the history.
  base::Duration warmup{};
  base::Duration deadline = std::chrono::milliseconds(2000);
  std::size_t body_bytes = 256;
  /// How often a keyed request is resent when its outcome isn't `ran`.
  int resends = 0;
  std::size_t max_in_flight = 20'000;
  std::uint64_t seed = 1;
  std::string history;
};

struct CheckOptions {
  std::string history;
  std::vector<std::string> records;
};

/// The chosen command; `run` has no rows when the command is `check`.
struct Options {
  bool is_check = false;
  RunOptions run;
  CheckOptions check;
};

struct OptionsStop {
  int exit_code = 0;
  std::string text;
};

base::Result<Options, OptionsStop> ParseOptions(int argc, const char* const* argv);

}  // namespace mangoroad::load
