// Time types shared by all modules. Deciding code gets the present time as an argument; only the
// event loop reads a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace mangoroad::base {

/// Resolution of all durations in the project.
using Duration = std::chrono::microseconds;

/// Tag type for time points of one VM's monotonic clock. It has no now(), so a library can't read
/// the clock by accident.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true;
};

/// A moment on the monotonic clock of this VM. Not comparable between VMs.
using TimePoint = MonotonicClock::time_point;

/// Whole milliseconds of a duration, rounded towards zero.
inline std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Milliseconds since 1970 by the wall clock; only a label in records, never an input of a
/// decision.
using WallMilliseconds = std::int64_t;

}  // namespace mangoroad::base
