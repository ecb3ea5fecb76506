// Polls of targets: leases, lists of running and ended runs.
#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "controller/run_manager.h"
#include "log/log.h"

namespace mangoroad::controller {

using dispatch::RunView;
using dispatch::StartRequestState;
using dispatch::TargetView;
using metrics::Activity;
using metrics::ActivityMeter;
using workload::TargetIncarnation;
using workload::TargetRecord;
using workload::Task;
using workload::TaskPhase;
using workload::TaskRef;

namespace {

/// Upper limit of the factor by which the retry delay of polls grows while a target is silent.
constexpr int kMaxBackoffFactor = 5;

/// Interval of polls while runs of a former incarnation are to be accounted for.
constexpr base::Duration kFormerRunsPollInterval = std::chrono::milliseconds(20);

/// A target is polled without an acknowledgement that waits for the responses to starts this often,
/// so that new ends are noticed; it responds at once, since it lists ends.
constexpr base::Duration kWithheldPollInterval = std::chrono::milliseconds(50);

/// An acknowledgement that has waited this long goes before further starts.
constexpr base::Duration kMaxWithheld = std::chrono::milliseconds(200);

/// True while a start may be on its way.
bool HasUnansweredStart(const TargetView& view) {
  return std::ranges::any_of(view.runs, [](const auto& entry) {
    const RunView& run = entry.second;
    if (run.start_request == StartRequestState::kConfirmed) return false;
    return run.start_request == StartRequestState::kSent || run.is_in_doubt;
  });
}

/// The number of the last end to acknowledge, 0 for none. The next incarnation of a target numbers
/// its ends anew and forgets those that a request for the former one acknowledges. So one that was
/// confirmed isn't repeated, and none goes to a target of which it isn't known that it still is the
/// same, or whose next incarnation may take a start and end the run before the request arrives.
std::uint64_t AcknowledgementDue(const TargetView& view, const TargetRecord& record) {
  const bool is_confirmed = view.poll.acknowledged >= record.acknowledged;
  const bool may_send =
      view.is_fenced && view.unanswered_requests == 0 && !HasUnansweredStart(view);
  return may_send && !is_confirmed ? record.acknowledged : 0;
}

/// True until a response shows which announcements were made after a contradiction.
bool AwaitsCheck(const TargetView& view) {
  return view.contradiction && !view.contradiction->checked_clock;
}

void NoteProgress(base::TimePoint now, RunView& run, const dispatch::RunningRow& row) {
  run.is_listed = true;
  if (row.percent > run.percent || run.progressed_at == base::TimePoint{}) run.progressed_at = now;
  run.percent = row.percent;
  run.usage = row.usage;
}

}  // namespace

bool RunManager::NeedsPoll(base::TimePoint now, const TargetView& view,
                           const TargetRecord& record) const {
  // A target without a response is polled again as long as it announces itself. Otherwise it would
  // stay unused after a network partition that let its announcements through.
  const bool is_unresponsive = view.unanswered_requests > 0 &&
                               now - view.last_contact < this->settings.health.silence_timeout;
  const bool is_clock_old = view.unanswered_requests == 0 &&
                            now - view.lease.LatestReceived() >= this->settings.clock_refresh;
  return !view.is_fenced || !view.runs.empty() || !view.former.empty() ||
         view.poll.acknowledged < record.acknowledged || is_unresponsive || AwaitsCheck(view) ||
         is_clock_old;
}

void RunManager::SendPollIfDue(base::TimePoint now, TargetView& view) {
  const dispatch::PollState& poll = view.poll;
  if (poll.in_flight || view.replaced_at || now < poll.next_at) return;
  const ActivityMeter::Scope measured(this->context.Meter(), Activity::kPolls);
  const TargetRecord* record = this->RecordOf(view.incarnation);
  if (record == nullptr) return;
  // Listed ends are committed and acknowledged first, otherwise the target would respond at once.
  const bool awaits_commit = poll.listed > record->acknowledged;
  if (awaits_commit || !this->NeedsPoll(now, view, *record)) return;
  if (WaitsForStarts(now, view, *record)) return;
  this->SendPoll(now, view, *record);
}

bool RunManager::WaitsForStarts(base::TimePoint now, TargetView& view, const TargetRecord& record) {
  dispatch::PollState& poll = view.poll;
  const bool is_due = view.is_fenced && poll.acknowledged < record.acknowledged;
  if (!is_due || !HasUnansweredStart(view)) {
    poll.withheld_since.reset();
    return false;
  }
  if (!poll.withheld_since) {
    poll.withheld_since = now;
    poll.poll_without_at = now + kWithheldPollInterval;
  }
  if (now < poll.poll_without_at) return true;
  poll.poll_without_at = now + kWithheldPollInterval;
  return false;
}

bool RunManager::IsAcknowledgementOverdue(base::TimePoint now, const TargetView& view) {
  return view.poll.withheld_since && now - *view.poll.withheld_since > kMaxWithheld;
}

bool RunManager::HasRunsToSettle(const TargetView& view) const {
  return std::ranges::any_of(view.runs, [this](const auto& entry) {
    const auto& [task, run] = entry;
    return AwaitsLists(run) && this->outstanding_starts.MayBeginThere(task, run.run);
  });
}

void RunManager::SendPoll(base::TimePoint now, TargetView& view, const TargetRecord& record) {
  if (!this->context.MayLead()) return;
  dispatch::PollState& poll = view.poll;
  poll.in_flight = true;
  PollRequest request;
  const bool settles_runs = this->HasRunsToSettle(view);
  if (view.fence == 0 || settles_runs) {
    view.fence = this->fences.Raise(view.incarnation.id);
    poll.is_acknowledging = false;
  }
  request.fence = view.fence;
  request.acknowledged = AcknowledgementDue(view, record);
  poll.is_acknowledging = poll.is_acknowledging || request.acknowledged > 0;
  // The lease of a silent target isn't extended, or it would never expire. Neither is that of one
  // of which it isn't known that it is this incarnation.
  const std::optional<base::Duration> lease_left = view.lease.Left(now);
  if (view.is_fenced && view.unanswered_requests == 0) request.deadline = view.lease.Grant(now);
  if (request.deadline && lease_left && !view.runs.empty()) {
    this->statistics.OnLeaseRenewed(*lease_left);
  }
  const bool may_wait = view.former.empty() && !settles_runs && !AwaitsCheck(view);
  if (view.is_fenced && !view.runs.empty() && may_wait) {
    request.wait = view.is_near_slo ? this->settings.slo_poll_wait : this->settings.poll_wait;
  }
  const std::uint64_t sent_generation = this->generation;
  this->calls.Poll(this->EndpointOf(record), request,
                   [this, target = view.incarnation, sent_generation, now, request](
                       base::TimePoint received_at, const PollResponse& response) {
                     if (sent_generation != this->generation) return;
                     this->OnPollResponse(received_at, target, now, request, response);
                   });
}

void RunManager::OnPollResponse(base::TimePoint now, const TargetIncarnation& target,
                                base::TimePoint sent_at, const PollRequest& request,
                                const PollResponse& response) {
  const ActivityMeter::Scope measured(this->context.Meter(), Activity::kResponses);
  TargetView* view = this->targets.Find(target.id);
  if (view == nullptr || view->incarnation != target) return;
  this->MarkChanged(target.id);
  dispatch::PollState& poll = view->poll;
  poll.in_flight = false;
  switch (response.status) {
    case CallStatus::kDone:
      if (response.lists.incarnation != target.number) {
        // It may have taken over starts that were sent to this one; see former_runs.cc.
        OnOtherIncarnation(now, *view);
        break;
      }
      poll.acknowledged = std::max(poll.acknowledged, request.acknowledged);
      if (request.acknowledged > 0) poll.is_acknowledging = false;
      poll.next_at = view->former.empty() ? now : now + kFormerRunsPollInterval;
      this->ApplyLists(now, *view, sent_at, request.fence, response.lists);
      break;
    case CallStatus::kOtherIncarnation:
      this->OnOtherTarget(now, target);
      break;
    case CallStatus::kFenced:
      poll.next_at = now + (request.fence == view->fence ? this->settings.retry_delay
                                                         : this->settings.carry_retry_delay);
      this->OnFenced(*view, request.fence);
      break;
    case CallStatus::kNotCarried:
    case CallStatus::kDelegateLost:
      poll.next_at = now + this->settings.carry_retry_delay;
      break;
    default:
      log::Info(log::Category::kJobs, "look failed",
                {{"target", target.id},
                 {"verdict", base::NameOf(kCallStatusNames, response.status)},
                 {"fence", request.fence}});
      this->OnNoResponse(*view);
      poll.next_at =
          now + this->settings.retry_delay * std::min(view->unanswered_requests, kMaxBackoffFactor);
  }
  this->context.RequestAdvance();
}

void RunManager::OnNoResponse(TargetView& view) {
  view.unanswered_requests += 1;
  if (view.unanswered_requests == 2) {
    log::Warning(log::Category::kJobs, "target lost",
                 {{"target", view.incarnation.id}, {"birth", view.incarnation.number}});
  }
}

void RunManager::OnFenced(TargetView& view, Fence sent_fence) {
  // Otherwise requests of this leader itself have overtaken the request.
  if (sent_fence != view.fence) return;
  // An announcement of another incarnation was checked, or another replica leads. The lists tell
  // which incarnation responds.
  view.fence = this->fences.Raise(view.incarnation.id);
  view.is_fenced = false;
}

void RunManager::OnOtherIncarnation(base::TimePoint now, TargetView& view) {
  if (view.replaced_at) return;
  view.replaced_at = now;
  log::Warning(log::Category::kJobs, "target has restarted",
               {{"target", view.incarnation.id},
                {"birth", view.incarnation.number},
                {"runs", view.runs.size()}});
}

void RunManager::OnOtherTarget(base::TimePoint now, const TargetIncarnation& target) {
  TargetView* view = this->targets.Find(target.id);
  const bool is_current = view != nullptr && view->incarnation == target;
  if (is_current && view->replaced_at) return;
  if (is_current) view->replaced_at = now;
  log::Warning(log::Category::kJobs, "target was replaced",
               {{"target", target.id}, {"birth", target.number}});
  this->context.Propose(
      workload::RemoveTarget{target},
      [this, target, sent_generation = this->generation](base::TimePoint, bool applied) {
        if (applied || sent_generation != this->generation) return;
        // The next response decides again.
        TargetView* view_now = this->targets.Find(target.id);
        if (view_now != nullptr && view_now->incarnation == target) view_now->replaced_at.reset();
      });
}

void RunManager::ApplyRunning(base::TimePoint now, TargetView& view,
                              const dispatch::RunningRow& row) {
  const auto confirmed = view.runs.find(row.task);
  if (confirmed != view.runs.end() && confirmed->second.run == row.run &&
      confirmed->second.start_request == StartRequestState::kConfirmed) {
    NoteProgress(now, confirmed->second, row);
    return;
  }
  const Task* task = this->state.FindTask(row.task);
  const bool is_known = task != nullptr && task->phase == TaskPhase::kRunning &&
                        task->run == row.run && task->target == view.incarnation;
  if (!is_known) {
    const workload::StepSpec* spec = this->state.SpecOf(row.task);
    if (spec != nullptr && !spec->best_effort) view.orphaned += spec->resources;
    Orphan& orphan = this->orphans[{row.task, row.run}];
    orphan.listed_at = now;
    if (orphan.stop_sent_at == base::TimePoint{} ||
        now - orphan.stop_sent_at > this->settings.stop_retry_interval) {
      if (this->SendStop(view, row.task, row.run)) orphan.stop_sent_at = now;
    }
    return;
  }
  RunView& run = this->AddRun(view, row.task);
  run.run = row.run;
  if (run.start_request != StartRequestState::kConfirmed) {
    run.start_request = StartRequestState::kConfirmed;
    run.confirmed_at = now;
    // The only request that was sent has been carried out.
    if (!run.is_in_doubt) this->outstanding_starts.OnAnswered(row.task, row.run);
    this->outstanding_starts.RuleOut(row.task, row.run);
    this->unconfirmed_starts.erase({row.task, row.run});
  }
  NoteProgress(now, run, row);
}

void RunManager::RenewStartWindows(base::TimePoint now, TargetView& view) {
  for (auto& [task, run] : view.runs) {
    if (run.start_request != StartRequestState::kToSend || !run.is_in_doubt) continue;
    run.committed_at = now;
    this->unanswered_starts.push_back({task, run.run, view.incarnation});
  }
}

void RunManager::ApplyLists(base::TimePoint now, TargetView& view, base::TimePoint sent_at,
                            Fence sent_fence, const dispatch::TargetLists& lists) {
  if (view.unanswered_requests >= 2) {
    log::Info(log::Category::kJobs, "target is back",
              {{"target", view.incarnation.id}, {"birth", view.incarnation.number}});
    this->RenewStartWindows(now, view);
  }
  view.unanswered_requests = 0;
  view.last_contact = now;
  view.lease.OnClock(now, lists.clock);
  if (view.contradiction) view.contradiction->OnPolled(sent_at, lists.clock);
  const workload::Resources orphaned_before = std::exchange(view.orphaned, {});
  std::vector<ListedRun> listed;
  listed.reserve(lists.running.size() + lists.ends.size());
  for (const dispatch::RunningRow& row : lists.running) {
    listed.emplace_back(&row.task, row.run);
    this->ApplyRunning(now, view, row);
  }
  if (view.orphaned != orphaned_before) {
    view.load_changes += 1;
    this->plan_due = true;
  }
  dispatch::PollState& poll = view.poll;
  const TargetRecord* record = this->RecordOf(view.incarnation);
  const std::uint64_t acknowledged = record == nullptr ? 0 : record->acknowledged;
  for (const dispatch::EndRow& row : lists.ends) {
    listed.emplace_back(&row.task, row.run);
    if (row.number <= std::max(poll.listed, acknowledged)) continue;
    poll.listed = row.number;
    this->outstanding_starts.RuleOut(row.task, row.run);
    this->ends.push_back(
        {row.task, row.run, view.incarnation, row.how, row.checkpoint, row.number});
  }
  const bool first_contact = !view.is_fenced && sent_fence == view.fence;
  // A list by itself only makes changes of rates due, and on first contact what was adopted.
  const bool has_new_rates = this->UpdateThrottling(now, view);
  view.has_pending_requests = view.has_pending_requests || has_new_rates || first_contact;
  view.is_fenced = view.is_fenced || first_contact;
  // The target has seen the fence before it read the lists. The pages don't say so of its clock,
  // which therefore counts for the next lists only.
  this->outstanding_starts.OnResponded(sent_at, {view.incarnation, sent_fence, 0});
  this->ApplyAbsences(now, view, sent_at, first_contact, std::move(listed), lists);
  this->outstanding_starts.OnResponded(sent_at, {view.incarnation, sent_fence, lists.clock});
}

void RunManager::ApplyAbsences(base::TimePoint now, TargetView& view, base::TimePoint sent_at,
                               bool first_contact, std::vector<ListedRun> listed,
                               const dispatch::TargetLists& lists) {
  if (lists.is_partial) return;
  this->NoteFormerRuns(view, sent_at, lists);
  const auto by_value = [](const ListedRun& row) { return std::tie(*row.first, row.second); };
  std::ranges::sort(listed, {}, by_value);
  for (auto& [task, run] : view.runs) {
    if (std::ranges::binary_search(listed, std::tie(task, run.run), {}, by_value)) continue;
    this->ApplyAbsence(now, view, task, run, sent_at, first_contact);
  }
}

void RunManager::ApplyAbsence(base::TimePoint now, TargetView& view, const TaskRef& task,
                              RunView& run, base::TimePoint sent_at, bool first_contact) {
  // A later incarnation isn't waited for with a long-running task, see LatestExecution.
  const auto latest_begin = this->outstanding_starts.LatestBegin(task, run.run);
  const bool may_begin_later = !IsLongRunning(run) && latest_begin && sent_at < *latest_begin;
  const bool may_begin = may_begin_later || this->outstanding_starts.MayBeginThere(task, run.run);
  if (first_contact && run.start_request == StartRequestState::kSent) {
    // Requests with a lower fence no longer have any effect on this incarnation, so the run hasn't
    // begun here. A later incarnation may begin it, so the start is repeated here.
    run.start_request = StartRequestState::kToSend;
    run.requested_at = now;
    run.committed_at = now;
    run.is_in_doubt = may_begin;
    run.is_obsolete = run.is_obsolete || !may_begin;
    if (may_begin) {
      this->NoteUnanswered(view.incarnation, task, run.run);
    } else {
      this->Conclude(task, run.run, view.incarnation, EndEvidence::kRuledOut);
    }
  } else if (may_begin) {
    return;
  } else if (run.start_request == StartRequestState::kToSend && run.is_in_doubt) {
    run.is_in_doubt = false;
    run.is_obsolete = true;
    this->targets.OnRefused(view, now);
    this->Conclude(task, run.run, view.incarnation, EndEvidence::kRuledOut);
  } else if (run.start_request == StartRequestState::kConfirmed && run.confirmed_at < sent_at) {
    this->Conclude(task, run.run, view.incarnation, EndEvidence::kNotListed);
  }
}

}  // namespace mangoroad::controller
