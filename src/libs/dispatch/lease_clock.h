// When the leases of a target's runs are certainly over, and which deadline to grant next.
//
// A lease ends at a deadline on the target's own clock, which may be 2% slow. The leader sees that
// clock only in answers: a value read at `received` was current at that moment or before it.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace mangoroad::dispatch {

/// A moment on a target's own steady clock.
using TargetMilliseconds = std::int64_t;

struct LeaseDurations {
  /// Time that each order adds at the target. Long enough that runs outlive an election; short
  /// enough that work on a target that was cut off is soon started elsewhere.
  base::Duration grant = std::chrono::milliseconds(3500);
  /// Added before a lease counts as over: the resolution of clocks and the time that a target takes
  /// to end its runs.
  base::Duration margin = std::chrono::milliseconds(300);
};

class LeaseClock {
 public:
  /// Another leader may have granted a full lease until `term_start`.
  LeaseClock(LeaseDurations lengths, base::TimePoint term_start);

  /// The target's clock showed `clock` at `received` or shortly before.
  void OnClock(base::TimePoint received, TargetMilliseconds clock);
  /// The deadline for an order that is sent now; nothing before the clock is known. It counts as
  /// granted from then on, whether or not the order arrives.
  std::optional<TargetMilliseconds> Grant(base::TimePoint now);
  /// The latest deadline granted, for an order that mustn't extend it; nothing when there is none.
  [[nodiscard]] std::optional<TargetMilliseconds> GrantedDeadline() const;
  /// All runs of this life have certainly ended unless an order reached it after this moment.
  [[nodiscard]] base::TimePoint SafeExpiry() const;

 private:
  LeaseDurations durations;
  base::TimePoint inherited_expiry;
  std::optional<TargetMilliseconds> clock;
  base::TimePoint clock_received;
  TargetMilliseconds granted_deadline = 0;
};

}  // namespace mangoroad::dispatch
