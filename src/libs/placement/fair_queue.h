// Queue of the waiting jobs with weighted fair sharing between teams and rows.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "placement/fleet.h"
#include "placement/types.h"

namespace mangoroad::placement::internal {

/// A job in the queue.
struct WaitingJob {
  PendingJob request{};
  RowNumber row = 0;
  base::TimePoint waiting_since{};
  /// What the job waits for since the last try, for Scheduler::Explain().
  std::string_view waiting_for = "its turn";
};

/// Weighted fair queue over teams and their rows. The team with the smallest quota utilization
/// comes first, so teams below their quota come before teams that borrow. Between the rows of a
/// team, processor time is divided by weight (stride scheduling). Within a row, jobs of similar
/// processors and run time form a lane. The lane whose head has the highest response ratio, (wait +
/// run time) / run time, comes first (HRRN), so that short jobs overtake long ones and no job
/// starves.
class FairQueue {
 public:
  /// Replaces rows and teams. Removes the jobs of rows that no longer exist from the queue and
  /// returns them. Names that are known already keep their numbers.
  std::vector<PendingJob> SetRows(const std::vector<RowSpec>& row_specs,
                                  const std::vector<TeamSpec>& team_specs);
  /// Number of a row in the table, or nothing.
  std::optional<RowNumber> FindRow(std::string_view name) const;
  /// Number of a row. A row that isn't in the table is added for tasks that still run.
  RowNumber NumberOf(std::string_view name);
  const RowSpec& Row(RowNumber row) const { return this->rows.at(row).spec; }
  TeamNumber TeamOf(RowNumber row) const { return this->rows.at(row).team; }
  std::size_t TeamCount() const { return this->teams.size(); }

  void Push(base::TimePoint now, const PendingJob& job, RowNumber row);
  /// Removes and returns a job; nothing when it isn't queued.
  std::optional<WaitingJob> Remove(JobId job);
  WaitingJob* Find(JobId job);
  const WaitingJob* Find(JobId job) const;
  std::size_t Size() const { return this->job_positions.size(); }

  /// Whether work of a row that needs at least these amounts may fit on a target. False when such a
  /// need has failed in this epoch.
  using MayFit = std::function<bool(RowNumber, const Resources&)>;

  /// The job to try next, urgent ones first; nothing when all are blocked, limited or can't fit.
  /// Rows and teams without such a job are skipped for a second, or until the epoch changes.
  std::optional<JobId> Next(base::TimePoint now, std::uint64_t epoch, const MayFit& may_fit);
  /// Heads of the lanes, except urgent ones, of rows that may start work and weren't reviewed
  /// within the last second. Reviews at most `max_rows` rows, round-robin.
  std::vector<JobId> HeadsToReview(base::TimePoint now, std::size_t max_rows);
  /// False while the row is blocked or at one of its limits.
  bool MayStart(base::TimePoint now, RowNumber row) { return MayStart(now, this->rows.at(row)); }
  /// Skips the job's lane until the epoch changes or `until` is reached, whichever is earlier.
  void Block(JobId job, std::uint64_t epoch, base::TimePoint until);

  /// Skips the row until `until`.
  void BlockRow(RowNumber row, base::TimePoint until);

  /// Adds a task of the row to the row's limits and its team's reserved processors, or removes it.
  /// `count_start` also charges the start rate and the row's share.
  void OnReserved(RowNumber row, const PendingJob& job, bool count_start);
  void OnReleased(RowNumber row, const PendingJob& job);

  /// Reserved processors divided by the team's quota. A team without quota counts as having 1 core.
  double QuotaUtilization(TeamNumber team) const;
  bool HasQuota(TeamNumber team) const { return this->teams.at(team).quota_millicores > 0; }
  std::int64_t ReservedMillicores(TeamNumber team) const { return this->teams.at(team).reserved; }
  std::int64_t QuotaMillicores(TeamNumber team) const {
    return this->teams.at(team).quota_millicores;
  }

 private:
  /// Urgency, size classes of run time and processors, and number of accelerators.
  using LaneKey = std::tuple<bool, int, int, std::int64_t>;
  /// Marks a row or team that has no job to try in this epoch before `until`.
  struct Exhaustion {
    std::uint64_t epoch = 0;
    base::TimePoint until{};
    bool AppliesAt(base::TimePoint now, std::uint64_t at) const {
      return this->epoch == at && now < this->until;
    }
  };
  struct Lane {
    std::list<WaitingJob> jobs;
    /// Lower bound of the needs of its jobs.
    Resources min_need{};
    std::uint64_t blocked_epoch = 0;
    base::TimePoint blocked_until{};
    bool IsBlocked(base::TimePoint now, std::uint64_t epoch) const {
      return this->blocked_epoch == epoch && now < this->blocked_until;
    }
  };
  struct RowQueue {
    RowSpec spec{};
    TeamNumber team = 0;
    bool in_table = false;
    std::map<LaneKey, Lane> lanes{};
    Exhaustion exhausted{};
    base::TimePoint reviewed{};
    /// Lower bound of the needs of the waiting jobs.
    Resources min_need{};
    std::size_t waiting = 0;
    std::size_t urgent_waiting = 0;
    std::uint32_t inflight = 0;
    std::int64_t reserved = 0;
    double rate_tokens = 1;
    base::TimePoint rate_updated{};
    base::TimePoint blocked_until{};
    /// Pass value of stride scheduling: processor time of started tasks divided by the weight.
    double pass = 0;
  };
  struct TeamQueue {
    std::string name{};
    std::int64_t quota_millicores = 0;
    std::int64_t reserved = 0;
    std::vector<RowNumber> rows{};
    std::size_t waiting = 0;
    Exhaustion exhausted{};
  };
  struct JobPosition {
    RowNumber row = 0;
    LaneKey lane{};
    std::list<WaitingJob>::iterator job{};
  };
  struct Choice {
    const WaitingJob* job = nullptr;
    double ratio = 0;
  };

  std::vector<PendingJob> TakeAll(RowQueue& row);
  TeamNumber TeamNumberOf(std::string_view name);
  static bool MayStart(base::TimePoint now, RowQueue& row);
  Choice BestJob(base::TimePoint now, std::uint64_t epoch, RowNumber number,
                 const MayFit& may_fit) const;
  std::optional<JobId> NextUrgent(base::TimePoint now, std::uint64_t epoch);
  std::optional<JobId> NextOfTeam(base::TimePoint now, std::uint64_t epoch, TeamQueue& team,
                                  const MayFit& may_fit);

  std::vector<RowQueue> rows;
  std::vector<TeamQueue> teams;
  std::unordered_map<std::string, RowNumber> row_numbers;
  std::unordered_map<std::string, TeamNumber> team_numbers;
  std::unordered_map<JobId, JobPosition> job_positions;
  std::vector<std::pair<double, TeamNumber>> order;
  std::size_t urgent_waiting = 0;
  /// Row after which the next review begins.
  std::size_t review_cursor = 0;
};

}  // namespace mangoroad::placement::internal
