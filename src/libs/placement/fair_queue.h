// Waiting jobs in the order in which they are tried.
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

/// A waiting job with the moment from which its age counts.
struct WaitingJob {
  PendingJob request{};
  RowNumber row = 0;
  base::TimePoint since{};
  /// What the last try lacked, for explanations.
  std::string_view lacks = "its turn";
};

/// Weighted fair queue over teams and their rows. The team with the smallest reserved part of its
/// quota comes first, so teams below their quota come before teams that borrow. Between the rows of
/// a team, stride scheduling by weight divides processor time. Inside a row, jobs of about equal
/// processors and run time form a lane; the lane whose head has the highest response ratio (wait +
/// run time) / run time comes first, so short jobs pass long ones and every job's turn comes with
/// age.
class FairQueue {
 public:
  /// Replaces rows and teams; gives the jobs of rows that no longer exist, taken out of the queue.
  /// Numbers of known names stay.
  std::vector<PendingJob> SetRows(const std::vector<RowSpec>& row_specs,
                                  const std::vector<TeamSpec>& team_specs);
  /// Number of a row in the table, or nothing.
  std::optional<RowNumber> FindRow(std::string_view name) const;
  /// Number of a row; one that isn't in the table gets a place for tasks that still run.
  RowNumber NumberOf(std::string_view name);
  const RowSpec& Row(RowNumber row) const { return this->rows.at(row).spec; }
  TeamNumber TeamOf(RowNumber row) const { return this->rows.at(row).team; }
  std::size_t TeamCount() const { return this->teams.size(); }

  void Push(base::TimePoint now, const PendingJob& job, RowNumber row);
  /// Takes a job out; nothing when it isn't queued.
  std::optional<WaitingJob> Remove(JobId job);
  WaitingJob* Find(JobId job);
  const WaitingJob* Find(JobId job) const;
  std::size_t Size() const { return this->places.size(); }

  /// Whether work of a row that needs at least these amounts could fit, by what was found since the
  /// epoch began.
  using MayFit = std::function<bool(RowNumber, const Resources&)>;

  /// The job to try next, urgent ones first; nothing when all are blocked, limited or can't fit.
  /// Rows and teams without such a job aren't looked at again in the same epoch for a second.
  std::optional<JobId> Next(base::TimePoint now, std::uint64_t epoch, const MayFit& may_fit);
  /// Heads of lanes, urgent ones left out, of rows that may start work and weren't looked at in
  /// this way for a second.
  /// At most `max_rows` rows in turn.
  std::vector<JobId> HeadsToReview(base::TimePoint now, std::size_t max_rows);
  /// False while the row is blocked or at one of its limits.
  bool MayStart(base::TimePoint now, RowNumber row) { return MayStart(now, this->rows.at(row)); }
  /// The job's lane isn't tried again before the epoch changes, or `until`, whichever is earlier.
  void Block(JobId job, std::uint64_t epoch, base::TimePoint until);

  /// No job of the row is tried before `until`.
  void BlockRow(RowNumber row, base::TimePoint until);

  /// A task of the row counts against its limits and its team's share from now on, or no longer.
  void OnReserved(RowNumber row, const PendingJob& job, bool count_start);
  void OnReleased(RowNumber row, const PendingJob& job);

  /// Reserved part of the team's quota; a team without quota counts as one with 1 core.
  double ShareOf(TeamNumber team) const;
  bool HasQuota(TeamNumber team) const { return this->teams.at(team).quota_millicores > 0; }
  std::int64_t ReservedOf(TeamNumber team) const { return this->teams.at(team).reserved; }
  std::int64_t QuotaOf(TeamNumber team) const { return this->teams.at(team).quota_millicores; }

 private:
  /// Urgency, classes of run time and processors, and accelerators.
  using LaneKey = std::tuple<bool, int, int, std::int64_t>;
  /// Nothing to try in this epoch before `until`.
  struct Exhaustion {
    std::uint64_t epoch = 0;
    base::TimePoint until{};
    bool Holds(base::TimePoint now, std::uint64_t at) const {
      return this->epoch == at && now < this->until;
    }
  };
  struct Lane {
    std::list<WaitingJob> jobs;
    /// Lower bound of what its jobs need.
    Resources least{};
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
    /// Lower bound of what the waiting jobs need.
    Resources least{};
    std::size_t waiting = 0;
    std::size_t urgent_waiting = 0;
    std::uint32_t inflight = 0;
    std::int64_t reserved = 0;
    double rate_tokens = 1;
    base::TimePoint rate_updated{};
    base::TimePoint blocked_until{};
    /// Stride scheduling: served processor time divided by weight.
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
  struct Place {
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
  std::optional<JobId> NextOf(base::TimePoint now, std::uint64_t epoch, TeamQueue& team,
                              const MayFit& may_fit);

  std::vector<RowQueue> rows;
  std::vector<TeamQueue> teams;
  std::unordered_map<std::string, RowNumber> row_numbers;
  std::unordered_map<std::string, TeamNumber> team_numbers;
  std::unordered_map<JobId, Place> places;
  std::vector<std::pair<double, TeamNumber>> order;
  std::size_t urgent_waiting = 0;
  /// Row where the next review begins.
  std::size_t review_cursor = 0;
};

}  // namespace mangoroad::placement::internal
