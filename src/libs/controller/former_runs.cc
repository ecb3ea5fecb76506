// Runs of earlier incarnations of a target that is back under the same id.
//
// A request names its target by the id alone. A start that is on its way while the target restarts
// may therefore be carried out by the next incarnation, even seconds later. Such a run is over only
// once that incarnation has confirmed a stop, after which it rejects the run, and has then sent
// lists without it. A start that got no response may also be carried out by the incarnation after
// that one, so its run isn't over before OutstandingStarts says that it can't begin any more.
#include <algorithm>
#include <optional>
#include <set>
#include <vector>

#include "controller/run_manager.h"
#include "log/log.h"

namespace mangoroad::controller {

using dispatch::FormerIncarnation;
using dispatch::FormerRun;
using dispatch::TargetView;
using workload::TargetIncarnation;
using workload::TaskRef;

namespace {

/// Minimum time between two log lines about starts that are held back.
constexpr base::Duration kHeldBackLogInterval = std::chrono::seconds(1);

bool IsListed(const dispatch::TargetLists& lists, const TaskRef& task, std::uint32_t run) {
  const auto is_run = [&](const auto& row) { return row.run == run && row.task == task; };
  return std::ranges::any_of(lists.running, is_run) || std::ranges::any_of(lists.ends, is_run);
}

}  // namespace

void RunManager::OnTargetRegistered(base::TimePoint now, const TargetIncarnation& incarnation) {
  // The state has ignored the registration of an incarnation that was replaced already.
  if (this->RecordOf(incarnation) == nullptr) return;
  TargetView& view = this->targets.FindOrCreate(incarnation);
  // It has responded again at its address.
  view.replaced_at.reset();
  this->InheritLease(now, view);
  this->TrackFormerRuns(now, view);
  this->MarkChanged(incarnation.id);
}

void RunManager::TrackFormerRuns(base::TimePoint now, TargetView& view) {
  const auto& running_on = this->state.RunningOn();
  auto running = running_on.lower_bound({view.incarnation.id, 0});
  for (; running != running_on.end() && running->first.id == view.incarnation.id; ++running) {
    if (running->first == view.incarnation) continue;
    auto former = std::ranges::find(view.former, running->first, &FormerIncarnation::incarnation);
    if (former == view.former.end()) {
      const dispatch::LeaseClock lease(this->settings.lease, now);
      former = view.former.insert(former, {running->first, lease.SafeExpiry(), {}});
    }
    for (const TaskRef& task : running->second) {
      // What an earlier leader has sent isn't known.
      former->runs.try_emplace(
          task, FormerRun{.run = this->state.FindTask(task)->run, .is_uncertain = true});
    }
    if (former->longest_expiry == base::TimePoint{}) {
      former->longest_expiry = this->LongestExpiry(now);
    }
  }
}

void RunManager::InheritLease(base::TimePoint now, TargetView& view) const {
  const std::int64_t deadline_ms = this->state.InheritedDeadlineMs(view.incarnation);
  if (deadline_ms > 0) view.lease.Inherit(deadline_ms, this->LongestExpiry(now));
}

std::optional<base::TimePoint> RunManager::ExpiryOf(const TargetView& view) const {
  // The next incarnation may have taken starts for this one, and gets no requests any more.
  if (view.replaced_at) return this->LongestExpiry(*view.replaced_at);
  if (view.unanswered_requests == 0) return std::nullopt;
  return view.lease.SafeExpiry();
}

base::TimePoint RunManager::HeldUntil(const TaskRef& task, std::uint32_t run) const {
  const auto latest = this->outstanding_starts.LatestBegin(task, run);
  return latest ? this->LongestExpiry(*latest) : base::TimePoint{};
}

bool RunManager::MayStillRun(base::TimePoint now, const TaskRef& task) const {
  const auto orphan = this->orphans.lower_bound({task, 0});
  if (orphan != this->orphans.end() && orphan->first.first == task) return true;
  return std::ranges::any_of(this->outstanding_starts.RunsOf(task), [&](const auto& outstanding) {
    return this->MayStillRun(now, task, outstanding);
  });
}

bool RunManager::MayStillRun(base::TimePoint now, const TaskRef& task,
                             const OutstandingStarts::Run& outstanding) const {
  const TargetView* view = this->targets.Find(outstanding.target.id);
  const bool is_same = view != nullptr && view->incarnation == outstanding.target;
  // When the leases have expired, the deadline of the request has passed, too.
  if (is_same && !outstanding.is_ruled_out && now < view->lease.SafeExpiry()) return true;
  const bool responds =
      view != nullptr && !view->replaced_at && view->is_fenced && view->unanswered_requests == 0;
  const workload::StepSpec* spec = this->state.SpecOf(task);
  const bool is_long_running = spec != nullptr && spec->long_running;
  const bool has_departed = !this->state.Targets().contains(outstanding.target.id);
  // A later incarnation isn't waited for with these, see HasDepartedRunEnded and LatestExecution.
  if (is_long_running && (has_departed || (responds && outstanding.is_ruled_out))) return false;
  if (now < outstanding.latest_begin) return true;
  const bool is_settled = responds && view->last_contact >= outstanding.latest_begin;
  return !is_settled && now < this->HeldUntil(task, outstanding.run);
}

void RunManager::HoldBackStarts(base::TimePoint now, std::vector<workload::Start>& starts) {
  std::set<workload::StepRef> held_gangs;
  std::optional<workload::Start> first;
  const auto is_held = [&](const workload::Start& start) {
    if (!this->MayStillRun(now, start.task)) return false;
    if (!first) first = start;
    const workload::StepSpec* spec = this->state.SpecOf(start.task);
    if (spec != nullptr && spec->gang) held_gangs.insert(start.task.Step());
    return true;
  };
  const std::size_t held = std::erase_if(starts, is_held);
  if (!first) return;
  // The members of a gang start together.
  std::erase_if(starts, [&](const auto& start) { return held_gangs.contains(start.task.Step()); });
  if (now < this->next_held_back_log_at) return;
  this->next_held_back_log_at = now + kHeldBackLogInterval;
  log::Info(log::Category::kJobs, "starts held back",
            {{"starts", held},
             {"first_task", workload::ToText(first->task)},
             {"run", first->run},
             {"reason", "an earlier run may go on"}});
}

base::TimePoint RunManager::LongestExpiry(base::TimePoint now) const {
  const dispatch::LeaseDurations durations{this->settings.longest_lease,
                                           this->settings.lease.margin};
  return dispatch::LeaseClock(durations, now).SafeExpiry();
}

void RunManager::ForgetEndedFormerRuns(TargetView& view) {
  const auto& running_on = this->state.RunningOn();
  std::erase_if(view.former, [&](FormerIncarnation& former) {
    const auto running = running_on.find(former.incarnation);
    if (running == running_on.end()) return true;
    std::erase_if(former.runs,
                  [&](const auto& run) { return !running->second.contains(run.first); });
    return former.runs.empty();
  });
}

void RunManager::NoteFormerRuns(TargetView& view, base::TimePoint sent_at,
                                const dispatch::TargetLists& lists) {
  for (FormerIncarnation& former : view.former) {
    for (auto& [task, run] : former.runs) {
      run.absent_since.reset();
      if (!IsListed(lists, task, run.run)) run.absent_since = sent_at;
    }
  }
}

void RunManager::StopFormerRuns(base::TimePoint now, TargetView& view) {
  for (FormerIncarnation& former : view.former) {
    for (auto& [task, run] : former.runs) {
      if (!run.is_uncertain || run.stop_confirmed) continue;
      if (run.stop_sent && now - *run.stop_sent <= this->settings.retry_delay) continue;
      if (this->SendStop(view, task, run.run)) run.stop_sent = now;
    }
  }
}

void RunManager::OnFormerRunStopped(base::TimePoint now, TargetView& view, const TaskRef& task,
                                    std::uint32_t run) {
  for (FormerIncarnation& former : view.former) {
    const auto found = former.runs.find(task);
    if (found == former.runs.end() || found->second.run != run) continue;
    if (!found->second.stop_confirmed) found->second.stop_confirmed = now;
  }
  this->MarkChanged(view.incarnation.id);
}

bool RunManager::HasFormerRunEnded(base::TimePoint now, const TargetIncarnation& target,
                                   const TaskRef& task) const {
  const TargetView* view = this->targets.Find(target.id);
  if (view == nullptr) return false;
  // A start that was committed after the next incarnation was registered isn't sent.
  const auto former = std::ranges::find(view->former, target, &FormerIncarnation::incarnation);
  if (former == view->former.end()) return true;
  const auto found = former->runs.find(task);
  if (found == former->runs.end() || found->second.run != this->state.FindTask(task)->run) {
    return true;
  }
  const FormerRun& run = found->second;
  // A later incarnation of the target may yet begin it.
  const auto latest_begin = this->outstanding_starts.LatestBegin(task, run.run);
  if (latest_begin && now < *latest_begin) return false;
  if (run.absent_since && (!latest_begin || *run.absent_since >= *latest_begin)) {
    const bool is_rejected = run.stop_confirmed && *run.stop_confirmed <= *run.absent_since;
    // A target that refuses all stops must not hold the task for good.
    const bool may_begin = run.is_uncertain && !latest_begin;
    if (!may_begin || is_rejected || now >= former->longest_expiry) return true;
  }
  if (view->unanswered_requests == 0) return false;
  // The present incarnation is silent. Whatever it took has a lease, which isn't extended.
  if (!run.is_uncertain && !latest_begin) return now >= former->lease_expiry;
  return now >= std::max({former->longest_expiry, view->lease.SafeExpiry(),
                          this->HeldUntil(task, run.run)});
}

}  // namespace mangoroad::controller
