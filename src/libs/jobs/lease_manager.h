// Task leases on the leader. Soft state: nothing of it is written to the replicated log.
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
  /// Length of a lease, unless the job's `hold_s` is longer.
  base::Duration lease = std::chrono::seconds(30);
  /// Maximum clock drift between leader and target, in parts per thousand of the lease.
  std::int64_t drift_permille = 10;
  /// Added to the drift to allow for the granularity of clocks and timers.
  base::Duration slack = std::chrono::milliseconds(50);
};

/// Outcome of a target's report.
struct ReportDecision {
  /// False for an outdated or repeated report, or without the leader lease. The other members are
  /// empty then, and no response is sent.
  bool accepted = false;
  /// Renewals, stops of tasks that have no lease, the requests that are in the log, and
  /// acknowledgements. The leader may add requests that aren't logged, such as throttling.
  ReportResponse response{};
  /// Reported changes that aren't in the log yet, to be proposed. They are returned for each report
  /// until OnApplied() or Acknowledge(), so a lost proposal is repeated.
  std::vector<Change> changes{};
  /// Jobs with a lease on the target that the report doesn't contain: the start was lost or hasn't
  /// arrived yet. The leader sends the start again with LeaseForStart().
  std::vector<JobId> unreported{};
};

/// Lease fields of a start request, such that the lease ends on the target before it ends on the
/// leader.
struct StartLease {
  std::uint64_t incarnation = 0;
  std::uint64_t report_sequence = 0;
  base::Duration lease{};
};

/// Tracks the leases of all tasks while this VM is the leader.
class LeaseManager {
 public:
  explicit LeaseManager(LeaseSettings settings = {});
  ~LeaseManager();
  LeaseManager(LeaseManager&&) noexcept;
  LeaseManager& operator=(LeaseManager&&) noexcept;
  LeaseManager(const LeaseManager&) = delete;
  LeaseManager& operator=(const LeaseManager&) = delete;

  /// Discards all state and treats the leases of `leased_jobs` (jobs with HoldsLease()) as renewed
  /// now, since the previous leader may have renewed them until its leader lease ended. Call this
  /// once all entries of earlier terms are applied.
  void BecomeLeader(base::TimePoint now, const std::vector<const Job*>& leased_jobs);

  /// Call this with each job that an applied entry changed. Adds the lease of a new attempt, and
  /// removes the lease of an attempt that no longer holds one.
  void OnApplied(base::TimePoint now, const Job& job);

  /// Lease fields for the first or a repeated start of a job. Nothing if no report of the target's
  /// incarnation has arrived yet, so that the start has to wait for one, or if the lease has ended.
  std::optional<StartLease> LeaseForStart(JobId job);

  /// Handles a report received at `now`. It is accepted only with `has_leader_lease`: without it,
  /// another leader may already count the leases from an earlier time.
  ReportDecision OnReport(base::TimePoint now, const TargetReport& report, bool has_leader_lease);

  /// The end of this attempt is in the log, so the target may stop reporting it.
  void Acknowledge(std::string_view target, JobId job, Token token);

  /// A target announced itself. A higher incarnation ends the leases of lower ones.
  void OnIncarnation(base::TimePoint now, std::string_view target, std::uint64_t incarnation);

  /// An operator declared this incarnation of the target, and all older ones, lost. Leases of newer
  /// incarnations are kept.
  void OnTargetLost(base::TimePoint now, std::string_view target, std::uint64_t incarnation);

  /// Leases that have ended by `now`, to be proposed. Each is returned again after a second until
  /// OnApplied(), so a lost proposal is repeated. A lease returned here is never renewed.
  std::vector<LeaseEnded> Tick(base::TimePoint now);

  /// When the job's lease ends on the leader, or nothing if there is none.
  std::optional<base::TimePoint> ExpiryOf(JobId job) const;
  std::size_t Count() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::jobs
