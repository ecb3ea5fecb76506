// Requests to targets that start and stop runs, and their responses.
#include <algorithm>
#include <optional>
#include <utility>

#include "base/soft_assert.h"
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

void RunManager::SendDueRequests(base::TimePoint now, TargetView& view) {
  this->target_checks += 1;
  if (!view.is_fenced || view.replaced_at || !view.has_pending_requests) return;
  // The runs of a target that has left may outlive their jobs.
  if (this->RecordOf(view.incarnation) == nullptr) return;
  const ActivityMeter::Scope measured(this->context.Meter(), Activity::kRequests);
  view.has_pending_requests = this->SendRequestsTo(now, view);
}

void RunManager::SendToChangedTargets(base::TimePoint now) {
  if (!this->calls.IsReady(now)) return;
  for (const std::string& id : std::exchange(this->changed_targets, {})) {
    TargetView* view = this->targets.Find(id);
    if (view == nullptr) continue;
    // A start raises the fence above that of an acknowledgement, which then needn't wait for it.
    this->SendPollIfDue(now, *view);
    this->SendDueRequests(now, *view);
  }
}

void RunManager::SendToAllTargets(base::TimePoint now) {
  if (!this->calls.IsReady(now)) return;
  this->changed_targets.clear();
  for (auto& [id, view] : this->targets.All()) {
    this->SendPollIfDue(now, view);
    this->SendDueRequests(now, view);
  }
}

bool RunManager::SendRequestsTo(base::TimePoint now, TargetView& view) {
  this->SendThrottleRequests(view);
  this->StopFormerRuns(now, view);
  bool more = !view.former.empty();
  for (auto& [task, run] : view.runs) {
    // The start may have been due for some time, for example while the target was silent.
    run.is_obsolete =
        run.is_obsolete || this->IsGangBroken(task, run) || this->IsStartOverdue(now, view, run);
    if (run.is_obsolete || run.is_migrating) {
      more = true;
      if (run.start_request == StartRequestState::kToSend && !run.is_in_doubt) {
        this->Conclude(task, run.run, view.incarnation, EndEvidence::kNotSent);
      } else if (!run.stop_sent || now - *run.stop_sent > this->settings.stop_retry_interval) {
        if (this->SendStop(view, task, run.run)) run.stop_sent = now;
      }
    } else if (run.start_request == StartRequestState::kToSend) {
      // A run that was given up is about to be replaced, so it must not begin any more.
      const bool is_given_up = this->concluded.contains({task, run.run});
      // A silent target may have restarted, and its next incarnation would take the start. The
      // lists tell which one responds.
      const bool is_silent = view.unanswered_requests > 0;
      // An overdue acknowledgement goes first, unless this is the start it waits for: one of
      // unknown outcome, which has to be repeated.
      const bool is_held_back = !run.is_in_doubt && IsAcknowledgementOverdue(now, view);
      const bool may_send = now >= run.requested_at && !is_given_up && !is_silent &&
                            !is_held_back && !AwaitsLists(run);
      if (may_send) this->SendStart(now, view, task);
      more = more || run.start_request == StartRequestState::kToSend;
    }
  }
  return more;
}

bool RunManager::IsStartOverdue(base::TimePoint now, const TargetView& view,
                                const RunView& run) const {
  if (run.start_request != StartRequestState::kToSend) return false;
  const TargetRecord* record = this->RecordOf(view.incarnation);
  const bool is_draining = record != nullptr && record->draining;
  // One of unknown outcome is repeated when its target responds again, see RenewStartWindows.
  const bool waits_for_target = run.is_in_doubt && view.unanswered_requests > 0;
  const bool is_late = now - run.committed_at > this->settings.start_window;
  return is_draining || (is_late && !waits_for_target);
}

bool RunManager::IsGangBroken(const TaskRef& member, const RunView& run) const {
  if (run.spec == nullptr || !run.spec->gang) return false;
  if (run.start_request != StartRequestState::kToSend) return false;
  const workload::Step* step = this->state.FindStep(member.Step());
  return step == nullptr || std::ranges::any_of(step->tasks, [&](const Task& task) {
           return task.phase != TaskPhase::kRunning || task.run != run.run;
         });
}

void RunManager::SendStart(base::TimePoint now, TargetView& view, const TaskRef& task) {
  const TargetRecord* record = this->RecordOf(view.incarnation);
  const workload::Job* job = this->state.FindJob(task.job);
  MANGOROAD_SOFT_ASSERT(this->state.FindTask(task) != nullptr, return);
  if (record == nullptr || job == nullptr || !this->context.MayLead()) return;
  const auto deadline = view.lease.Grant(now);
  if (!deadline) return;
  // An acknowledgement on its way has no effect after this start; see AcknowledgementDue.
  if (std::exchange(view.poll.is_acknowledging, false)) {
    view.fence = this->fences.Raise(view.incarnation.id);
  }
  RunView& run = view.runs.at(task);
  run.start_request = StartRequestState::kSent;
  run.requested_at = now;
  this->outstanding_starts.OnSent(
      {view.incarnation, view.fence, *deadline, this->LatestExecution(now, run)}, task, run.run);
  StartRequest request;
  request.task = task;
  request.run = run.run;
  request.payload = job->spec.payload;
  request.checkpoint = this->state.CheckpointOf(task);
  request.deadline = *deadline;
  request.fence = view.fence;
  const SentStart sent{view.incarnation, task, run.run, now, request.fence};
  this->calls.Start(this->EndpointOf(*record), request,
                    [this, sent, sent_generation = this->generation](base::TimePoint received_at,
                                                                     const CallResponse& response) {
                      if (sent_generation != this->generation) return;
                      this->OnStartResponse(received_at, sent, response);
                    });
}

base::TimePoint RunManager::LatestExecution(base::TimePoint now, const RunView& run) const {
  return now + (IsLongRunning(run) ? this->settings.longest_response_time
                                   : this->settings.longest_request_delay);
}

bool RunManager::IsLongRunning(const RunView& run) {
  return run.spec != nullptr && run.spec->long_running;
}

bool RunManager::AwaitsLists(const RunView& run) {
  return run.start_request == StartRequestState::kToSend && run.is_in_doubt && IsLongRunning(run);
}

void RunManager::NoteUnanswered(const TargetIncarnation& target, const TaskRef& task,
                                std::uint32_t run) {
  this->outstanding_starts.OnUnanswered(task, run);
  this->unanswered_starts.push_back({task, run, target});
  this->context.RequestAdvance();
}

void RunManager::OnStartResponse(base::TimePoint now, const SentStart& sent,
                                 const CallResponse& response) {
  const auto& [target, task, run_number, sent_at, sent_fence] = sent;
  const ActivityMeter::Scope measured(this->context.Meter(), Activity::kResponses);
  log::Info(log::Category::kJobs, "start answered",
            {{"task", workload::ToText(task)},
             {"run", run_number},
             {"target", target.id},
             {"fence", sent_fence},
             {"verdict", base::NameOf(kCallStatusNames, response.status)}});
  const bool is_unanswered =
      response.status == CallStatus::kNoResponse || response.status == CallStatus::kDelegateLost;
  if (is_unanswered) this->NoteUnanswered(target, task, run_number);
  TargetView* view = this->targets.Find(target.id);
  if (view == nullptr || view->incarnation != target) return;
  const bool is_foreign = response.clock && !view->lease.IsPlausible(sent_at, *response.clock);
  if (is_foreign) this->OnFenced(*view, view->fence);
  if (response.clock && !is_foreign) {
    view->lease.OnClock(now, *response.clock);
    view->last_contact = now;
    view->unanswered_requests = 0;
  }
  const auto found = view->runs.find(task);
  if (found == view->runs.end() || found->second.run != run_number) return;
  RunView& run = found->second;
  view->has_pending_requests = true;
  this->MarkChanged(target.id);
  if (run.start_request == StartRequestState::kConfirmed) return;
  // A later incarnation has carried out the start and may hold the run.
  if (is_foreign && !is_unanswered) this->NoteUnanswered(target, task, run_number);
  if (!is_foreign && !is_unanswered) this->outstanding_starts.OnAnswered(task, run_number);
  switch (response.status) {
    case CallStatus::kDone:
    case CallStatus::kStaleRun:
      // Earlier requests that are carried out now have no effect.
      if (!is_foreign) this->outstanding_starts.RuleOut(task, run_number);
      run.start_request = StartRequestState::kConfirmed;
      run.confirmed_at = now;
      run.progressed_at = now;
      this->unconfirmed_starts.erase({task, run_number});
      if (run.spec != nullptr) {
        this->statistics.OnStartConfirmed(now, run.committed_at, KindOf(*run.spec));
      }
      break;
    case CallStatus::kNoCapacity:
    case CallStatus::kUnhealthy:
    case CallStatus::kInvalid:
      this->targets.OnRefused(*view, now);
      if (run.is_in_doubt) {
        // An earlier start request of this run may still take effect, so the start is sent again.
        run.start_request = StartRequestState::kToSend;
        run.requested_at = now + this->settings.retry_delay;
      } else {
        this->Conclude(task, run_number, target, EndEvidence::kRefused);
      }
      break;
    case CallStatus::kOtherIncarnation:
      this->OnOtherTarget(now, target);
      break;
    case CallStatus::kDelegateLost:
      run.is_in_doubt = true;
      [[fallthrough]];
    case CallStatus::kNotCarried:
      run.start_request = StartRequestState::kToSend;
      run.requested_at = now + this->settings.carry_retry_delay;
      break;
    case CallStatus::kFenced:
      this->OnFenced(*view, sent_fence);
      run.start_request = StartRequestState::kToSend;
      run.requested_at = now + this->settings.carry_retry_delay;
      break;
    case CallStatus::kNoResponse:
      run.is_in_doubt = true;
      [[fallthrough]];
    case CallStatus::kNotSent:
      this->OnNoResponse(*view);
      if (response.status == CallStatus::kNotSent && !run.is_in_doubt) {
        this->Conclude(task, run_number, target, EndEvidence::kNotSent);
        break;
      }
      [[fallthrough]];
    case CallStatus::kDeadlineExceeded:
      run.start_request = StartRequestState::kToSend;
      run.requested_at = now + this->settings.retry_delay;
      break;
  }
  this->context.RequestAdvance();
}

bool RunManager::SendStop(const TargetView& view, const TaskRef& task, std::uint32_t run) {
  const TargetRecord* record = this->RecordOf(view.incarnation);
  if (record == nullptr || !this->context.MayLead()) return false;
  this->calls.Stop(this->EndpointOf(*record), {task, run, view.fence},
                   [this, target = view.incarnation, task, run, sent_fence = view.fence,
                    sent_generation = this->generation](base::TimePoint received_at,
                                                        const CallResponse& response) {
                     log::Info(log::Category::kJobs, "stop answered",
                               {{"task", workload::ToText(task)},
                                {"run", run},
                                {"target", target.id},
                                {"verdict", base::NameOf(kCallStatusNames, response.status)}});
                     if (sent_generation != this->generation) return;
                     this->OnStopResponse(received_at, target, task, run, sent_fence, response);
                   });
  return true;
}

void RunManager::OnStopResponse(base::TimePoint now, const TargetIncarnation& target,
                                const TaskRef& task, std::uint32_t run_number, Fence sent_fence,
                                const CallResponse& response) {
  TargetView* view = this->targets.Find(target.id);
  if (view == nullptr || view->incarnation != target) return;
  if (response.clock) view->lease.OnClock(now, *response.clock);
  if (response.status == CallStatus::kDone) {
    this->outstanding_starts.RuleOut(task, run_number);
    this->OnFormerRunStopped(now, *view, task, run_number);
  }
  if (response.status == CallStatus::kFenced) this->OnFenced(*view, sent_fence);
  const auto found = view->runs.find(task);
  if (found == view->runs.end() || found->second.run != run_number) return;
  RunView& run = found->second;
  // A stop that requests with a higher fence have overtaken is sent again.
  if (response.status == CallStatus::kFenced) run.stop_sent.reset();
  // From now on the target rejects starts of this run, so its list is authoritative.
  if (response.status == CallStatus::kDone && run.start_request != StartRequestState::kConfirmed) {
    run.start_request = StartRequestState::kConfirmed;
    run.confirmed_at = now;
  }
}

}  // namespace mangoroad::controller
