// Sums up repeated log lines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace mangoroad::log {

/// Lets one line of a kind through in each interval and counts those that it left out, for lines
/// that a failure repeats many times a second.
class RepeatLimit {
 public:
  /// At most `max_kinds` kinds are remembered; lines of others pass.
  explicit RepeatLimit(base::Duration line_interval, std::size_t kind_limit = 1'024)
      : interval(line_interval), max_kinds(kind_limit) {}

  /// How many lines the one that is due stands for, itself included; 0 when it is to be left out.
  std::uint64_t Count(base::TimePoint now, const std::string& kind);

 private:
  struct Seen {
    base::TimePoint next;
    std::uint64_t left_out = 0;
  };

  base::Duration interval;
  std::size_t max_kinds;
  std::map<std::string, Seen> kinds;
};

}  // namespace mangoroad::log
