// Runs of targets whose record was removed: the target has left, or another one responds at its
// address.
//
// Neither shows when the runs of the target end. A target that leaves "ends anyway, some seconds
// later" when it receives no acknowledgement (PROTOCOL.md, "Service discovery"), and whether it has
// received one isn't known. A target that isn't reached at its address any more may run on. Certain
// is that everything that runs holds a lease, which no request extends from then on, and that a
// start doesn't begin after its deadline, which counts as granted. So a run is over when its target
// has listed its end, or when the leases have expired.
//
// Therefore a target that takes its leave is answered only when its runs have been stopped and
// their ends are committed, or when it won't wait any longer. Its tasks go on elsewhere at once,
// from the checkpoints that the stops have produced.
#include <algorithm>
#include <utility>

#include "controller/run_manager.h"

namespace mangoroad::controller {

using dispatch::FormerIncarnation;
using dispatch::LeaseClock;
using dispatch::TargetView;
using workload::TargetIncarnation;
using workload::TargetRecord;
using workload::TaskRef;

void RunManager::Depart(base::TimePoint now, const TargetRecord& record, const OnAnnounced& done) {
  const auto [departure, is_first] = this->departures.try_emplace(record.incarnation);
  departure->second.calls.push_back(done);
  if (!is_first) return;
  TargetView& view = this->targets.FindOrCreate(record.incarnation);
  // Otherwise its runs can't be stopped, or further ones may be planned there.
  const bool can_stop = view.is_fenced && view.unanswered_requests == 0 && record.draining;
  departure->second.retire_at = can_stop ? now + this->settings.longest_departure : now;
  if (can_stop) {
    for (auto& [task, run] : view.runs) run.is_obsolete = true;
    view.has_pending_requests = true;
    this->MarkChanged(record.incarnation.id);
  }
  this->context.RequestAdvance();
}

void RunManager::RetireLeavingTargets(base::TimePoint now) {
  for (auto next = this->departures.begin(); next != this->departures.end();) {
    const auto departure = next++;
    const TargetIncarnation& target = departure->first;
    const bool has_runs = this->state.RunningOn().contains(target);
    if (has_runs && now < departure->second.retire_at) continue;
    this->context.Propose(workload::RetireTarget{target},
                          [calls = departure->second.calls](base::TimePoint, bool applied) {
                            for (const OnAnnounced& done : calls) done(applied);
                          });
    this->departures.erase(departure);
  }
}

base::TimePoint RunManager::LeaseEndOf(const TargetIncarnation& target,
                                       base::TimePoint since) const {
  if (const TargetView* view = this->targets.Find(target.id)) {
    if (view->incarnation == target) return view->lease.SafeExpiry();
    const auto former = std::ranges::find(view->former, target, &FormerIncarnation::incarnation);
    if (former != view->former.end()) return former->lease_expiry;
  }
  // The record was removed in an earlier term, whose leases were granted before this one began.
  if (this->state.InheritedDeadlineMs(target) > 0) return this->LongestExpiry(since);
  return LeaseClock(this->settings.lease, since).SafeExpiry();
}

bool RunManager::HasDepartedRunEnded(base::TimePoint now, const TargetIncarnation& target,
                                     const TaskRef& task, base::TimePoint since) const {
  if (now < this->LeaseEndOf(target, since)) return false;
  // The target may come back under its id and carry out a late start. A long-running task can't
  // wait for that, see LatestExecution.
  const workload::StepSpec* spec = this->state.SpecOf(task);
  const bool is_long_running = spec != nullptr && spec->long_running;
  return is_long_running || now >= this->HeldUntil(task, this->state.FindTask(task)->run);
}

}  // namespace mangoroad::controller
