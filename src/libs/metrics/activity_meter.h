// Measures how long a thread spends on each of its activities.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "base/name_table.h"
#include "base/time.h"

namespace mangoroad::metrics {

/// What the thread of a core VM does. Waiting for events and reading and writing sockets are
/// measured as kOther.
enum class Activity : std::uint8_t {
  kOther,
  kPlan,       ///< choosing starts and their targets
  kRequests,   ///< finding and sending requests to targets other than polls
  kPolls,      ///< finding and sending polls that are due
  kResponses,  ///< evaluating responses of targets
  kReports,    ///< announcements of targets
  kDelegates,  ///< messages of delegates
  kCallers,    ///< requests of callers
  kConsensus,  ///< messages, timers and entries of the replicated log
  kApply,      ///< applying committed commands to the state
  kSnapshot,   ///< encoding the state
  kDisk,       ///< waiting for writes and syncs
};
inline constexpr base::NameTable<Activity, 12> kActivityNames{{
    {Activity::kOther, "other"},
    {Activity::kPlan, "plan"},
    {Activity::kRequests, "requests"},
    {Activity::kPolls, "polls"},
    {Activity::kResponses, "responses"},
    {Activity::kReports, "reports"},
    {Activity::kDelegates, "delegates"},
    {Activity::kCallers, "callers"},
    {Activity::kConsensus, "consensus"},
    {Activity::kApply, "apply"},
    {Activity::kSnapshot, "snapshot"},
    {Activity::kDisk, "disk"},
}};

struct ActivityTotal {
  std::uint64_t calls = 0;
  base::Duration time{};
};

/// Times are exclusive: an activity that begins within another one suspends it.
class ActivityMeter {
 public:
  using Clock = std::function<base::TimePoint()>;
  using Totals = std::array<ActivityTotal, kActivityNames.size()>;

  explicit ActivityMeter(Clock monotonic_clock);

  /// Measures an activity until its own destruction.
  class Scope {
   public:
    Scope(ActivityMeter& activity_meter, Activity activity);
    ~Scope();
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

   private:
    ActivityMeter& meter;
    Activity outer;
  };

  /// Totals since the last call.
  [[nodiscard]] Totals Take();

 private:
  void SwitchTo(Activity next);

  Clock clock;
  Activity current = Activity::kOther;
  base::TimePoint since;
  Totals totals{};
};

}  // namespace mangoroad::metrics
