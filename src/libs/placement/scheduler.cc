#include "placement/scheduler.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "placement/failure_tracker.h"
#include "placement/fair_queue.h"
#include "placement/fleet.h"
#include "placement/latency_guard.h"
#include "placement/placement_miss_cache.h"
#include "placement/preemption.h"
#include "placement/strategy.h"

namespace mangoroad::placement {
namespace {

using base::TimePoint;
using namespace internal;

// A blocked lane is tried again after this time even if no capacity was freed, since waiting times
// and measurements change what may be placed.
constexpr base::Duration kLaneRetryInterval = std::chrono::seconds(1);

// At least 1 / kThrottledDivisor of the reserved processors is throttled when a service violates
// its SLO. On a large target, throttling a single task has little effect.
constexpr std::int64_t kThrottledDivisor = 4;

// Weight of a task that was requested to write a checkpoint; above any 1 / (1 + cost).
constexpr double kCheckpointRequestedWeight = 1e6;

// Limits of the work per call of Schedule(): reviewed rows, and searches for a target to clear. At
// one call every 5 ms, 800 rows are reviewed per second.
constexpr std::size_t kMaxReviewedRows = 4;
constexpr std::size_t kMaxPreemptions = 4;

// Targets that are checked first when a job seems to fit none.
constexpr std::size_t kQuickCheckTargets = 64;

// Factor by which the number of candidates grows when the policy refuses the first ones.
constexpr std::size_t kWiderSearchFactor = 16;

double Seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

struct Placement {
  TargetNumber target = 0;
  double score = 0;
  bool is_exploration = false;
};

}  // namespace

struct Scheduler::Private {
  std::unique_ptr<SharingPolicy> policy;
  SchedulerSettings settings;
  Fleet fleet;
  FairQueue queue;
  FailureTracker failures;
  LatencyGuard guard;
  Preemption preemption;
  /// Jobs that wait for the end of a backoff.
  std::multimap<TimePoint, std::pair<PendingJob, RowNumber>> delayed;
  std::unordered_map<JobId, std::multimap<TimePoint, std::pair<PendingJob, RowNumber>>::iterator>
      delayed_jobs;
  /// Jobs that fit no known target.
  std::map<JobId, PendingJob> unplaceable;
  bool reconsider = false;
  // Collected for the next Decisions.
  std::vector<ActionRequest> action_requests;
  std::vector<UnplaceableJob> newly_unplaceable;
  PlacementMissCache miss_cache;
  std::vector<std::uint64_t> domain_masks;
  std::uint32_t rotation = 0;
  std::size_t preemptions_left = 0;
  // Reused between searches.
  std::vector<TargetNumber> candidates;

  Private(std::unique_ptr<SharingPolicy> given, const SchedulerSettings& limits)
      : policy(std::move(given)),
        settings(limits),
        preemption(this->fleet, this->queue, this->settings) {}

  SharingView ViewOf(const Target& target) const {
    return {target.spec.name, target.spec.capacity.millicores, target.row_totals};
  }

  bool IsKnown(JobId job) const {
    return this->queue.Find(job) != nullptr || this->fleet.FindTask(job) != nullptr ||
           this->delayed_jobs.contains(job) || this->unplaceable.contains(job);
  }

  // Allowed failure domains of a row as bits.
  std::uint64_t DomainMaskOf(RowNumber row) const {
    return row < this->domain_masks.size() ? this->domain_masks[row] : ~std::uint64_t{0};
  }

  void UpdateDomainMaskOf(RowNumber row) {
    std::uint64_t domains = 0;
    const RowSpec& spec = this->queue.Row(row);
    for (const std::string& name : spec.failure_domains) {
      domains |= std::uint64_t{1} << this->fleet.DomainOf(name);
    }
    if (row >= this->domain_masks.size()) this->domain_masks.resize(row + 1, ~std::uint64_t{0});
    this->domain_masks.at(row) = spec.failure_domains.empty() ? ~std::uint64_t{0} : domains;
  }

  // The best of the candidates; nothing when the policy refuses all.
  std::optional<Placement> Best(TimePoint now, const WaitingJob& job) {
    const RowSpec& row = this->queue.Row(job.row);
    const Strategy& strategy = StrategyOf(row.strategy);
    std::optional<Placement> best;
    for (const TargetNumber number : this->candidates) {
      const Target& target = this->fleet.At(number);
      if (!target.Accepts(row.name)) continue;
      const SharingDecision decision = this->policy->Evaluate(now, this->ViewOf(target), job.row,
                                                              job.request.reservation.millicores);
      if (!decision.allowed) continue;
      const auto same = std::ranges::find(target.row_totals, job.row, &RowTotal::row);
      const Candidate candidate{
          target.Free(), target.Allocatable(), job.request.reservation,
          strategy.largest_first ? this->fleet.CountOnRack(target.spec.rack, job.row) : 0,
          same == target.row_totals.end() ? 0 : same->count};
      // The strategy decides between targets of about equal gain.
      const double score = decision.throughput_gain + 0.1 * strategy.score(candidate);
      if (!best || score > best->score) best = Placement{number, score, decision.is_exploration};
    }
    return best;
  }

  void Collect(const WaitingJob& job, DomainNumber domain, bool largest_first, std::size_t limit,
               std::size_t offset) {
    const bool compares = this->policy->ComparesTargets();
    this->fleet.FreeIndex().Collect(
        {.need = job.request.reservation,
         .domain = domain,
         .largest_first = largest_first,
         .limit = limit,
         .per_bucket = compares ? std::max<std::size_t>(2, limit / 4) : limit,
         .offset = offset},
        this->candidates);
  }

  std::optional<Placement> SearchDomain(TimePoint now, const WaitingJob& job, DomainNumber domain,
                                        std::size_t limit) {
    const bool largest_first = StrategyOf(this->queue.Row(job.row).strategy).largest_first;
    this->candidates.clear();
    if (this->policy->ComparesTargets()) {
      // Candidates from both ends of the index differ most in their load.
      this->Collect(job, domain, largest_first, (limit + 1) / 2, this->rotation);
      this->Collect(job, domain, !largest_first, limit, this->rotation);
      return this->Best(now, job);
    }
    this->Collect(job, domain, largest_first, limit, 0);
    if (auto found = this->Best(now, job); found || this->candidates.size() < limit) return found;
    // The policy may refuse all targets at one end of the index, for example all that are in use.
    this->candidates.clear();
    this->Collect(job, domain, !largest_first, kWiderSearchFactor * limit, this->rotation);
    return this->Best(now, job);
  }

  // The best target in the first of the row's failure domains that has one; over all domains when
  // the row names none.
  std::optional<Placement> Search(TimePoint now, const WaitingJob& job, bool& any_fits) {
    const RowSpec& row = this->queue.Row(job.row);
    ++this->rotation;
    const auto try_domain = [&](DomainNumber domain, std::size_t limit) {
      auto found = this->SearchDomain(now, job, domain, limit);
      any_fits = any_fits || !this->candidates.empty();
      return found;
    };
    if (!row.failure_domains.empty()) {
      for (const std::string& name : row.failure_domains) {
        if (auto found = try_domain(this->fleet.DomainOf(name), this->settings.candidates)) {
          return found;
        }
      }
      return std::nullopt;
    }
    const std::size_t domains = this->fleet.DomainCount();
    if (domains == 0) return std::nullopt;
    const std::size_t each = std::max<std::size_t>(2, this->settings.candidates / domains);
    std::optional<Placement> best;
    for (std::size_t step = 0; step < domains; ++step) {
      const auto domain = static_cast<DomainNumber>((this->rotation + step) % domains);
      const auto found = try_domain(domain, each);
      if (found && (!best || found->score > best->score)) best = found;
    }
    return best;
  }

  void Reserve(TimePoint now, const WaitingJob& job, const Placement& placement,
               Decisions& decisions) {
    const Target& target = this->fleet.At(placement.target);
    decisions.starts.push_back({job.request.job, job.request.attempt, target.spec.name,
                                target.spec.incarnation, job.request.reservation});
    this->fleet.AddTask({.job = job.request.job,
                         .row = job.row,
                         .target = placement.target,
                         .request = job.request,
                         .started = now,
                         .checkpointed = now});
    this->queue.OnReserved(job.row, job.request, true);
    this->policy->OnStarted(placement.is_exploration);
    this->failures.OnStart(now, placement.target, job.row);
    this->ApplyBackoffs(now, placement.target, job.row);
    this->preemption.Finish(job.request.job, this->action_requests);
  }

  void AddActionRequest(const Task& task, jobs::TaskAction action, std::string reason) {
    this->action_requests.push_back({task.job, task.token, action, std::move(reason)});
  }

  void ApplyBackoffs(TimePoint now, TargetNumber target, RowNumber row) {
    const auto until = this->failures.TargetBackoffEnd(target);
    const bool suspended = until && now < *until;
    if (this->fleet.At(target).suspended != suspended) this->fleet.Suspend(target, suspended);
    this->queue.BlockRow(row, this->failures.RowBackoffEnd(row).value_or(TimePoint{}));
  }

  // Whether one of the first `limit` targets with enough allocatable capacity accepts the row;
  // nothing when none does and there may be more targets.
  std::optional<bool> FitsAmong(const RowSpec& row, const Resources& need, DomainNumber domain,
                                std::size_t limit) {
    this->candidates.clear();
    this->fleet.CapacityIndex().Collect(
        {.need = need, .domain = domain, .limit = limit, .per_bucket = limit}, this->candidates);
    const bool fits = std::ranges::any_of(this->candidates, [&](TargetNumber target) {
      return this->fleet.At(target).Accepts(row.name);
    });
    if (!fits && this->candidates.size() == limit) return std::nullopt;
    return fits;
  }

  bool FitsAny(const RowSpec& row, const Resources& need) {
    for (DomainNumber domain = 0; domain < this->fleet.DomainCount(); ++domain) {
      if (!AllowsDomain(row, this->fleet.DomainName(domain))) continue;
      // All targets are checked only when none of the first ones accepts the row.
      auto fits = this->FitsAmong(row, need, domain, kQuickCheckTargets);
      if (!fits) fits = this->FitsAmong(row, need, domain, this->fleet.KnownCount() + 1);
      if (fits.value_or(false)) return true;
    }
    return false;
  }

  std::string ReasonFor(const RowSpec& row, const Resources& need) {
    Resources largest;
    for (const Target& target : this->fleet.Targets()) {
      if (!target.known || !AllowsDomain(row, target.spec.failure_domain)) continue;
      const Resources usable = target.Allocatable();
      largest.millicores = std::max(largest.millicores, usable.millicores);
      largest.memory_mib = std::max(largest.memory_mib, usable.memory_mib);
      largest.accelerators = std::max(largest.accelerators, usable.accelerators);
    }
    return fmt::format(
        "no target of row {} holds {} millicores, {} MiB and {} accelerators together; the largest "
        "amounts are {}, {} and {}",
        row.name, need.millicores, need.memory_mib, need.accelerators, largest.millicores,
        largest.memory_mib, largest.accelerators);
  }

  void MarkUnplaceable(const PendingJob& job, std::string reason) {
    this->preemption.Finish(job.job, this->action_requests);
    this->unplaceable.emplace(job.job, job);
    this->newly_unplaceable.push_back({job.job, std::move(reason)});
  }

  void MarkUnplaceableWithoutRow(const PendingJob& job) {
    this->MarkUnplaceable(job, fmt::format("row {} isn't in the table", job.row));
  }

  // The head of a lane fits no target now. Preempts tasks for it when it has waited long enough.
  void OnNoTargetFound(TimePoint now, WaitingJob& job) {
    const RowSpec& row = this->queue.Row(job.row);
    const base::Duration waited = now - job.waiting_since;
    if (this->fleet.KnownCount() > 0 && waited >= this->settings.unplaceable_after &&
        !this->FitsAny(row, job.request.reservation)) {
      if (const auto removed = this->queue.Remove(job.request.job)) {
        this->MarkUnplaceable(removed->request, this->ReasonFor(row, removed->request.reservation));
      }
      return;
    }
    const TeamNumber team = this->queue.TeamOf(job.row);
    const bool in_quota =
        this->queue.HasQuota(team) &&
        this->queue.ReservedMillicores(team) + job.request.reservation.millicores <=
            this->queue.QuotaMillicores(team);
    if (job.request.urgent) {
      this->preemption.Begin(now, job, PreemptionKind::kUrgent);
      return;
    }
    if (this->preemptions_left == 0) return;
    --this->preemptions_left;
    if (in_quota && waited >= this->settings.reclaim_after &&
        this->preemption.Begin(now, job, PreemptionKind::kReclaim)) {
      job.waiting_for = "room; borrowed capacity is reclaimed";
    } else if (waited >= this->settings.target_reservation_delay) {
      this->preemption.Begin(now, job, PreemptionKind::kDrain);
    }
  }

  // Tries to place the job that FairQueue::Next() returned; false when it has to wait.
  bool TryPlace(TimePoint now, JobId id, Decisions& decisions) {
    WaitingJob& job = *this->queue.Find(id);
    const std::uint64_t domains = this->DomainMaskOf(job.row);
    bool any_fits = false;
    if (!this->miss_cache.Contains(this->fleet.Epoch(), domains, job.request.reservation)) {
      if (const auto placement = this->Search(now, job, any_fits)) {
        if (const auto removed = this->queue.Remove(id)) {
          this->Reserve(now, *removed, *placement, decisions);
        }
        return true;
      }
      if (!any_fits) this->miss_cache.Add(domains, job.request.reservation);
    }
    job.waiting_for = any_fits ? "a target where it may share" : "room";
    const base::Duration again =
        job.request.urgent ? base::Duration(std::chrono::milliseconds(50)) : kLaneRetryInterval;
    this->queue.Block(id, this->fleet.Epoch(), now + again);
    if (job.request.urgent) this->OnNoTargetFound(now, job);
    return false;
  }

  // Preempts tasks for jobs at the head of their lane that have waited long.
  void ReviewHeads(TimePoint now) {
    this->preemptions_left = kMaxPreemptions;
    for (const JobId id : this->queue.HeadsToReview(now, kMaxReviewedRows)) {
      WaitingJob* job = this->queue.Find(id);
      const auto waited = now - job->waiting_since;
      if (waited < std::min(this->settings.reclaim_after, this->settings.unplaceable_after)) {
        continue;
      }
      this->OnNoTargetFound(now, *job);
    }
  }

  void PlaceOnClearedTargets(TimePoint now, Decisions& decisions) {
    for (const JobId id : this->preemption.JobsWithPlans()) {
      const WaitingJob* job = this->queue.Find(id);
      if (job == nullptr) {
        this->preemption.Finish(id, this->action_requests);
        continue;
      }
      const auto target = this->preemption.ReadyTarget(*job);
      if (!target || !this->queue.MayStart(now, job->row)) continue;
      if (const auto removed = this->queue.Remove(id)) {
        this->Reserve(now, *removed, {*target, 0, false}, decisions);
      }
    }
  }

  void ReconsiderUnplaceable(TimePoint now, Decisions& decisions) {
    if (!std::exchange(this->reconsider, false)) return;
    std::erase_if(this->unplaceable, [&](const auto& entry) {
      const auto row = this->queue.FindRow(entry.second.row);
      if (!row || !this->FitsAny(this->queue.Row(*row), entry.second.reservation)) return false;
      decisions.reconsidered.push_back(entry.first);
      this->queue.Push(now, entry.second, *row);
      return true;
    });
  }

  void ReleaseBackoffs(TimePoint now) {
    while (!this->delayed.empty() && this->delayed.begin()->first <= now) {
      const auto [job, row] = this->delayed.begin()->second;
      this->delayed_jobs.erase(job.job);
      this->delayed.erase(this->delayed.begin());
      this->queue.Push(now, job, row);
    }
    for (const TargetNumber target : this->failures.TakeExpiredSuspensions(now)) {
      this->fleet.Suspend(target, false);
    }
  }

  void RequestStop(Task& task, std::string reason) {
    task.stopping = true;
    // For a start that isn't in the log yet, the stop is requested once its token is known.
    if (task.token != 0) this->AddActionRequest(task, jobs::TaskAction::kStop, std::move(reason));
  }

  // The task whose throttling or eviction relieves the target's services most.
  Task* MostInterferingTask(TimePoint now, const Target& target, bool evict) {
    Task* worst = nullptr;
    double most = 0;
    for (const JobId job : target.tasks) {
      Task* task = this->fleet.FindTask(job);
      if (task->stopping || task->token == 0 || (!evict && task->throttled)) continue;
      double weight = 1;
      if (evict) {
        const auto cost =
            EvictionCost(*task, this->queue.Row(task->row), now, this->settings, true);
        if (!cost) continue;
        // A task that was requested to write a checkpoint for its eviction is stopped first.
        weight = task->checkpoint_requested ? kCheckpointRequestedWeight : 1 / (1 + *cost);
      }
      const double pressure =
          this->policy->ServiceInterference(now, this->ViewOf(target), task->row) * weight;
      if (worst == nullptr || pressure > most) {
        worst = task;
        most = pressure;
      }
    }
    return worst;
  }
};

Scheduler::Scheduler(std::unique_ptr<SharingPolicy> policy, SchedulerSettings settings)
    : d(std::make_unique<Private>(std::move(policy), settings)) {}
Scheduler::~Scheduler() = default;

void Scheduler::SetRows(TimePoint /*now*/, const std::vector<RowSpec>& rows,
                        const std::vector<TeamSpec>& teams) {
  for (const PendingJob& job : this->d->queue.SetRows(rows, teams)) {
    this->d->MarkUnplaceableWithoutRow(job);
  }
  for (const RowSpec& row : rows) {
    if (const auto number = this->d->queue.FindRow(row.name)) {
      this->d->policy->OnRow(*number, row);
      this->d->UpdateDomainMaskOf(*number);
    }
  }
  this->d->fleet.AdvanceEpoch();
  this->d->reconsider = true;
}

void Scheduler::OnTargetChanged(TimePoint /*now*/, const TargetSpec& spec) {
  this->d->fleet.SetTarget(spec);
  this->d->reconsider = !this->d->unplaceable.empty();
}

void Scheduler::OnTargetUnavailable(TimePoint /*now*/, std::string_view name) {
  this->d->fleet.RemoveTarget(name);
}

void Scheduler::Submit(TimePoint now, const PendingJob& job) {
  if (this->d->IsKnown(job.job)) return;
  const auto row = this->d->queue.FindRow(job.row);
  if (!row) {
    this->d->MarkUnplaceableWithoutRow(job);
    return;
  }
  PendingJob pending = job;
  pending.urgent = pending.urgent || this->d->queue.Row(*row).urgent;
  const auto until = this->d->failures.JobBackoffEnd(job.job);
  if (until && now < *until) {
    const auto entry = this->d->delayed.emplace(*until, std::pair(pending, *row));
    this->d->delayed_jobs.emplace(job.job, entry);
    return;
  }
  this->d->queue.Push(now, pending, *row);
}

void Scheduler::Cancel(TimePoint /*now*/, JobId job) {
  this->d->queue.Remove(job);
  this->d->unplaceable.erase(job);
  this->d->failures.RemoveJob(job);
  this->d->preemption.Finish(job, this->d->action_requests);
  if (const auto entry = this->d->delayed_jobs.find(job); entry != this->d->delayed_jobs.end()) {
    this->d->delayed.erase(entry->second);
    this->d->delayed_jobs.erase(entry);
  }
  Task* task = this->d->fleet.FindTask(job);
  if (task != nullptr && !task->stopping) this->d->RequestStop(*task, "cancelled");
}

void Scheduler::Adopt(TimePoint now, const PendingJob& job, std::string_view target, Token token) {
  if (this->d->IsKnown(job.job)) return;
  // The reservation counts even when the row is no longer in the table.
  const RowNumber row = this->d->queue.NumberOf(job.row);
  this->d->policy->OnRow(row, this->d->queue.Row(row));
  this->d->fleet.AddTask({.job = job.job,
                          .row = row,
                          .target = this->d->fleet.NumberOf(target),
                          .token = token,
                          .request = job,
                          .started = now,
                          .checkpointed = now});
  this->d->queue.OnReserved(row, job, false);
}

void Scheduler::OnTaskStarted(JobId job, Token token) {
  Task* task = this->d->fleet.FindTask(job);
  if (task == nullptr) return;
  task->token = token;
  if (task->stopping) this->d->RequestStop(*task, "cancelled");
}

void Scheduler::OnStartDropped(TimePoint now, JobId job) {
  const auto task = this->d->fleet.RemoveTask(job);
  if (!task) return;
  this->d->queue.OnReleased(task->row, task->request);
  if (!task->stopping) this->d->queue.Push(now, task->request, task->row);
}

void Scheduler::OnTaskProgress(TimePoint now, JobId job, const TaskProgress& progress) {
  Task* task = this->d->fleet.FindTask(job);
  if (task == nullptr) return;
  task->progress = progress.progress;
  if (progress.checkpoint > task->checkpoint) {
    task->checkpoint = progress.checkpoint;
    task->checkpointed = now;
  }
}

void Scheduler::OnTaskEnded(TimePoint now, JobId job, TaskEnd end) {
  const auto task = this->d->fleet.RemoveTask(job);
  if (!task) return;
  this->d->queue.OnReleased(task->row, task->request);
  const std::size_t known = this->d->fleet.KnownCount();
  if (end == TaskEnd::kFailed) {
    this->d->failures.OnFailure(now, task->target, task->row, job, known);
  } else if (end == TaskEnd::kRefused) {
    this->d->failures.OnRefusal(now, task->target, job, known);
  } else if (end == TaskEnd::kSucceeded) {
    this->d->failures.OnSuccess(task->target, task->row, job);
  }
  this->d->ApplyBackoffs(now, task->target, task->row);
}

void Scheduler::OnServiceLatency(TimePoint now, std::string_view name, double slo_utilization) {
  const auto number = this->d->fleet.FindTarget(name);
  if (!number) return;
  const Target& target = this->d->fleet.At(*number);
  const GuardAction action = this->d->guard.OnReport(now, *number, slo_utilization);
  if (action == GuardAction::kUnthrottle) {
    for (const JobId job : target.tasks) {
      Task* task = this->d->fleet.FindTask(job);
      task->checkpoint_requested = false;
      if (!std::exchange(task->throttled, false)) continue;
      this->d->AddActionRequest(*task, jobs::TaskAction::kUnthrottle, "services have recovered");
    }
    return;
  }
  if (action == GuardAction::kNone) return;
  const bool evict = action == GuardAction::kEvict;
  Task* task = this->d->MostInterferingTask(now, target, evict);
  if (task == nullptr) return;
  if (!evict) {
    const std::int64_t enough = target.reserved.millicores / kThrottledDivisor;
    for (std::int64_t throttled = 0; task != nullptr && throttled < enough;) {
      task->throttled = true;
      throttled += task->request.reservation.millicores;
      this->d->AddActionRequest(*task, jobs::TaskAction::kThrottle,
                                "a service violates its latency SLO");
      task = this->d->MostInterferingTask(now, target, false);
    }
  } else if (task->request.checkpointable && !std::exchange(task->checkpoint_requested, true)) {
    this->d->AddActionRequest(*task, jobs::TaskAction::kCheckpoint,
                              "a service still violates its latency SLO");
  } else {
    this->d->RequestStop(*task, "a service still violates its latency SLO");
  }
}

Decisions Scheduler::Schedule(TimePoint now, std::size_t budget) {
  Decisions decisions;
  this->d->ReleaseBackoffs(now);
  this->d->ReconsiderUnplaceable(now, decisions);
  this->d->PlaceOnClearedTargets(now, decisions);
  const FairQueue::MayFit may_fit = [this](RowNumber row, const Resources& need) {
    return !this->d->miss_cache.Contains(this->d->fleet.Epoch(), this->d->DomainMaskOf(row), need);
  };
  while (decisions.starts.size() < budget) {
    const auto job = this->d->queue.Next(now, this->d->fleet.Epoch(), may_fit);
    if (!job) break;
    this->d->TryPlace(now, *job, decisions);
  }
  this->d->ReviewHeads(now);
  this->d->preemption.Advance(now, this->d->action_requests);
  decisions.action_requests = std::exchange(this->d->action_requests, {});
  decisions.unplaceable = std::exchange(this->d->newly_unplaceable, {});
  return decisions;
}

std::size_t Scheduler::WaitingCount() const {
  return this->d->queue.Size() + this->d->delayed.size() + this->d->unplaceable.size();
}

std::size_t Scheduler::RunningCount() const { return this->d->fleet.TaskCount(); }

std::string Scheduler::Explain(TimePoint now, JobId job) const {
  if (const Task* task = this->d->fleet.FindTask(job)) {
    return fmt::format("attempt {} on {} for {:.1f} s{}{}", task->request.attempt,
                       this->d->fleet.At(task->target).spec.name, Seconds(now - task->started),
                       task->throttled ? ", throttled" : "", task->stopping ? ", stopping" : "");
  }
  if (const WaitingJob* waiting = std::as_const(this->d->queue).Find(job)) {
    return fmt::format("waits for {} since {:.1f} s; team at {:.2f} of its quota",
                       waiting->waiting_for, Seconds(now - waiting->waiting_since),
                       this->d->queue.QuotaUtilization(this->d->queue.TeamOf(waiting->row)));
  }
  if (const auto entry = this->d->delayed_jobs.find(job); entry != this->d->delayed_jobs.end()) {
    return fmt::format("failed before; tried again in {:.1f} s",
                       Seconds(entry->second->first - now));
  }
  if (this->d->unplaceable.contains(job)) return "fits no known target";
  return "unknown to the scheduler";
}

}  // namespace mangoroad::placement
