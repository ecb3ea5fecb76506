// Computes when the leases of a target's runs have certainly expired, and the next deadline to
// grant.
//
// A lease ends at a deadline on the target's own clock, which may be 2% slow. The leader sees that
// clock only in responses: a value read at `received` was current at that moment or before it.
// Whether a lease has expired is derived from the latest value, as if it had been current when it
// was received. Deadlines are derived from the value that took the shortest time to be received:
// otherwise a leader that reads responses late would grant leases that are shorter by that delay.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace mangoroad::dispatch {

/// A moment on a target's own steady clock.
using TargetMilliseconds = std::int64_t;

struct LeaseDurations {
  /// Lease time that each request grants. Long enough that runs outlive an election; short
  /// enough that work on an unreachable target is soon restarted elsewhere.
  base::Duration grant = std::chrono::milliseconds(3500);
  /// Added before a lease counts as expired: covers the resolution of clocks and the time that a
  /// target takes to end its runs.
  base::Duration margin = std::chrono::milliseconds(300);
};

class LeaseClock {
 public:
  /// Another leader may have granted a full lease until `term_start`.
  LeaseClock(LeaseDurations lease_durations, base::TimePoint term_start);

  /// Records that a response of this incarnation, received at `received`, showed `shown`. Clocks in
  /// announcements don't count, since these may come from other writers.
  void OnClock(base::TimePoint received, TargetMilliseconds shown);
  /// False when a response to a request of `sent` can't be of this incarnation: the clocks of later
  /// ones start anew.
  [[nodiscard]] bool IsPlausible(base::TimePoint sent, TargetMilliseconds shown) const;
  /// The latest value, and when it was received; nothing before the first response.
  [[nodiscard]] std::optional<TargetMilliseconds> LatestClock() const { return this->clock; }
  [[nodiscard]] base::TimePoint LatestReceived() const { return this->clock_received; }
  /// The deadline for a request that is sent now; nothing before the clock is known. It counts as
  /// granted from then on, whether or not the request arrives.
  std::optional<TargetMilliseconds> Grant(base::TimePoint now);
  /// Requests for a former incarnation may have extended the lease up to `deadline`. Until the
  /// target's clock is known, `latest_expiry` counts.
  void Inherit(TargetMilliseconds deadline, base::TimePoint latest_expiry);
  [[nodiscard]] TargetMilliseconds InheritedDeadline() const { return this->inherited_deadline; }
  /// Time until the latest granted deadline by the target's clock as far as it is known; negative
  /// when it has passed, nothing before a deadline was granted.
  [[nodiscard]] std::optional<base::Duration> Left(base::TimePoint now) const;
  /// After this time all runs of this incarnation have certainly ended, unless a later request
  /// extends the lease.
  [[nodiscard]] base::TimePoint SafeExpiry() const;

 private:
  LeaseDurations durations;
  base::TimePoint inherited_expiry;
  /// The least that the target's clock can show at `now`.
  [[nodiscard]] TargetMilliseconds Estimate(base::TimePoint now) const;

  std::optional<TargetMilliseconds> clock;
  base::TimePoint clock_received;
  /// The value from which the estimate is the highest.
  TargetMilliseconds prompt_clock = 0;
  base::TimePoint prompt_received;
  TargetMilliseconds granted_deadline = 0;
  TargetMilliseconds inherited_deadline = 0;
  /// Counts until the clock is known.
  base::TimePoint latest_inherited_expiry;
};

}  // namespace mangoroad::dispatch
