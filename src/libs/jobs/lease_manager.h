// The leader's account of task leases. Nothing of it is logged.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "jobs/commands.h"
#include "jobs/job.h"
#include "jobs/task_messages.h"

namespace mangoroad::jobs {

struct LeaseSettings {
  /// Length of a lease unless the row's `hold` is longer.
  base::Duration lease = std::chrono::seconds(30);
  /// Clock drift allowed between leader and target, in parts per thousand of the lease.
  std::int64_t drift_permille = 10;
  /// Added for the granularity of clocks and timers.
  base::Duration slack = std::chrono::milliseconds(50);
};

/// What follows from a target's report.
struct ReportDecision {
  /// False for an old, repeated or reordered report; then the rest is empty and no reply is sent.
  bool accepted = false;
  /// Renewals, stops of tasks that have no lease, the orders that are in the log, and
  /// acknowledgements. The leader may add orders that aren't logged, such as throttling.
  ReportResponse response{};
  /// What the report says and the log doesn't have yet, to be proposed. The same changes come again
  /// with each report until OnApplied() or Acknowledge(), so a lost proposal does no harm.
  std::vector<Change> changes{};
  /// Jobs with a lease on the target that the report doesn't mention: the start was lost or is on
  /// its way. The leader sends the start again with TermsForStart().
  std::vector<JobId> unreported{};
};

/// What a start must carry so that the target's lease ends before the leader's account of it.
struct StartLease {
  std::uint64_t incarnation = 0;
  std::uint64_t report_sequence = 0;
  base::Duration lease{};
};

/// Keeps the leases of all tasks while this VM is the leader.
class LeaseManager {
 public:
  explicit LeaseManager(LeaseSettings settings = {});
  ~LeaseManager();
  LeaseManager(LeaseManager&&) noexcept;
  LeaseManager& operator=(LeaseManager&&) noexcept;
  LeaseManager(const LeaseManager&) = delete;
  LeaseManager& operator=(const LeaseManager&) = delete;

  /// Forgets everything and treats the leases of `leased_jobs` (jobs with HoldsLease()) as renewed
  /// now, since an earlier leader may have renewed them until its own lease ended. To be called
  /// once this leader has applied all entries of earlier terms.
  void BecomeLeader(base::TimePoint now, const std::vector<const Job*>& leased_jobs);

  /// To be called with each job that an applied entry changed: adds the lease of a new attempt, and
  /// drops the lease of an attempt that no longer holds one.
  void OnApplied(base::TimePoint now, const Job& job);

  /// Terms for the start, or the repeated start, of a job with a lease. Nothing when no report of
  /// the target's incarnation has arrived yet or the lease has ended; the start then has to wait
  /// for the next report.
  std::optional<StartLease> LeaseForStart(JobId job);

  /// Takes a report received now. It is accepted only with `has_leader_lease`: without it, another
  /// leader may already count the leases from an earlier moment.
  ReportDecision OnReport(base::TimePoint now, const TargetReport& report, bool has_leader_lease);

  /// The log has an answer for the end of this attempt, so the target may forget it.
  void Acknowledge(std::string_view target, JobId job, Token token);

  /// A target announced itself; a higher incarnation ends the leases of lower ones.
  void OnIncarnation(base::TimePoint now, std::string_view target, std::uint64_t incarnation);

  /// An operator declared this incarnation of the target, and all older ones, lost. Leases of a
  /// newer one stay.
  void OnTargetLost(base::TimePoint now, std::string_view target, std::uint64_t incarnation);

  /// Leases that have ended by now, to be proposed. Each comes again after a second until
  /// OnApplied(), so a lost proposal does no harm. A lease that was given here is never renewed.
  std::vector<LeaseEnded> Tick(base::TimePoint now);

  /// When the lease ends in the leader's account, or nothing when there is none.
  std::optional<base::TimePoint> ExpiryOf(JobId job) const;
  std::size_t Count() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::jobs
