#include "controller/run_leader.h"

#include <algorithm>

#include "log/log.h"

namespace mangoroad::controller {

using dispatch::RunView;
using dispatch::StartRequestState;
using dispatch::TargetView;
using workload::End;
using workload::RunEnd;
using workload::TargetIncarnation;
using workload::TargetRecord;
using workload::Task;
using workload::TaskPhase;
using workload::TaskRef;

namespace {

/// Pauses after which the time between two looks at a silent target grows no more.
constexpr int kLongestBackoff = 5;
/// Least time between two lines on what waits.
constexpr base::Duration kBacklogLineEvery = std::chrono::seconds(1);

}  // namespace

RunLeader::RunLeader(const workload::WorkloadState& run_ledger, TargetCalls& target_calls,
                     LeaderContext& leader_context, RunLeaderSettings leader_settings)
    : ledger(run_ledger),
      calls(target_calls),
      context(leader_context),
      settings(leader_settings),
      book(leader_settings.lease, leader_settings.health),
      planner(run_ledger, this->book, leader_settings.plan) {}

void RunLeader::BeginTerm(base::TimePoint now, Fence new_fence) {
  this->EndTerm();
  this->leading = true;
  this->fence = new_fence;
  this->book.Reset(now);
  for (const auto& [id, record] : this->ledger.Targets()) {
    TargetView& view = this->book.FindOrCreate(record.incarnation);
    view.last_contact = now;
    this->AdoptRuns(view);
  }
  for (const auto& [life, tasks] : this->ledger.RunningOn()) {
    if (this->RecordOf(life) == nullptr) this->departed.emplace(life, now);
  }
  this->context.RequestAdvance();
}

void RunLeader::EndTerm() {
  this->leading = false;
  this->generation += 1;
  this->departed.clear();
  this->replaced.clear();
  this->ends.clear();
  this->concluded.clear();
  this->strays.clear();
  this->round_in_flight = false;
}

const TargetRecord* RunLeader::RecordOf(const TargetIncarnation& life) const {
  const auto found = this->ledger.Targets().find(life.id);
  return found == this->ledger.Targets().end() || found->second.incarnation != life
             ? nullptr
             : &found->second;
}

Destination RunLeader::DestinationOf(const TargetRecord& record) const {
  return {record.address, record.incarnation};
}

/// The ledger's runs there, whose orders an earlier leader may or may not have sent.
void RunLeader::AdoptRuns(TargetView& view) {
  const auto running = this->ledger.RunningOn().find(view.incarnation);
  if (running == this->ledger.RunningOn().end()) return;
  for (const TaskRef& ref : running->second) {
    RunView& run = view.runs[ref];
    run.run = this->ledger.FindTask(ref)->run;
    run.start_request = StartRequestState::kSent;
  }
}

void RunLeader::Conclude(const TaskRef& task, std::uint32_t run, const TargetIncarnation& life,
                         RunEnd how) {
  if (!this->concluded.emplace(task, run).second) return;
  log::Info(log::Category::kJobs, "run concluded",
            {{"task", workload::ToText(task)},
             {"run", run},
             {"target", life.id},
             {"birth", life.incarnation},
             {"how", base::NameOf(workload::kRunEndNames, how)}});
  this->ends.push_back({task, run, life, how, {}, 0});
}

bool RunLeader::NeedsLook(base::TimePoint now, const TargetView& view,
                          const TargetRecord& record) const {
  // A target that didn't answer is asked again as long as it announces itself, or it would stay
  // unused after a cut that let its announcements through.
  const bool is_lost = view.unanswered_requests > 0 &&
                       now - view.last_contact < this->settings.health.silence_timeout;
  return !view.is_fenced || !view.runs.empty() || view.poll.acknowledged < record.acknowledged ||
         is_lost;
}

void RunLeader::SendLooks(base::TimePoint now) {
  for (auto& [id, view] : this->book.All()) {
    const dispatch::PollState& look = view.poll;
    if (look.in_flight || now < look.next_at) continue;
    const TargetRecord* record = this->RecordOf(view.incarnation);
    if (record == nullptr) continue;
    // Ends that were listed are noted in the ledger first, else the target would answer at once.
    const bool awaits_log = look.listed > record->acknowledged;
    if (awaits_log || !this->NeedsLook(now, view, *record)) continue;
    this->SendLook(now, view, *record);
  }
}

void RunLeader::SendLook(base::TimePoint now, TargetView& view, const TargetRecord& record) {
  if (!this->context.MayLead()) return;
  view.poll.in_flight = true;
  LookOrder order;
  order.fence = this->fence;
  order.noted = record.acknowledged;
  // A silent target's lease isn't extended, or it would never be over.
  if (view.unanswered_requests == 0) order.deadline = view.lease.Grant(now);
  if (view.is_fenced && !view.runs.empty()) {
    order.wait = view.is_near_slo ? this->settings.watch_wait : this->settings.look_wait;
  }
  const std::uint64_t sent_generation = this->generation;
  this->calls.Look(this->DestinationOf(record), order,
                   [this, life = view.incarnation, sent_generation, now, noted = order.noted](
                       base::TimePoint answered, const LookAnswer& answer) {
                     if (sent_generation != this->generation) return;
                     this->OnLook(answered, life, now, noted, answer);
                   });
}

void RunLeader::OnLook(base::TimePoint now, const TargetIncarnation& life, base::TimePoint sent_at,
                       std::uint64_t noted, const LookAnswer& answer) {
  TargetView* view = this->book.Find(life.id);
  if (view == nullptr || view->incarnation != life) return;
  dispatch::PollState& look = view->poll;
  look.in_flight = false;
  switch (answer.verdict) {
    case Verdict::kDone:
      if (answer.lists.incarnation != 0 && answer.lists.incarnation != life.incarnation) {
        this->OnOtherLife(life);
        break;
      }
      look.acknowledged = std::max(look.acknowledged, noted);
      look.next_at = now;
      this->TakeLists(now, *view, sent_at, answer.lists);
      break;
    case Verdict::kOtherLife:
      this->OnOtherLife(life);
      break;
    default:
      log::Info(log::Category::kJobs, "look failed",
                {{"target", life.id},
                 {"verdict", base::NameOf(kVerdictNames, answer.verdict)},
                 {"fence", this->fence}});
      this->OnSilence(*view);
      look.next_at =
          now + this->settings.retry_pause * std::min(view->unanswered_requests, kLongestBackoff);
  }
  this->context.RequestAdvance();
}

void RunLeader::OnSilence(TargetView& view) {
  view.unanswered_requests += 1;
  if (view.unanswered_requests == 2) {
    log::Warning(log::Category::kJobs, "target lost",
                 {{"target", view.incarnation.id}, {"birth", view.incarnation.incarnation}});
  }
}

void RunLeader::OnOtherLife(const TargetIncarnation& life) {
  log::Warning(log::Category::kJobs, "target was replaced",
               {{"target", life.id}, {"birth", life.incarnation}});
  this->replaced.insert(life);
  this->context.Propose(workload::RemoveTarget{life}, [](base::TimePoint, bool) {});
}

void RunLeader::TakeRunning(base::TimePoint now, TargetView& view,
                            const dispatch::RunningRow& row) {
  const Task* task = this->ledger.FindTask(row.task);
  const bool is_known = task != nullptr && task->phase == TaskPhase::kRunning &&
                        task->run == row.run && task->target == view.incarnation;
  if (!is_known) {
    base::TimePoint& stopped = this->strays[{row.task, row.run}];
    if (stopped == base::TimePoint{} || now - stopped > this->settings.stop_retry) {
      if (this->SendStop(view, row.task, row.run)) stopped = now;
    }
    return;
  }
  RunView& run = view.runs[row.task];
  run.run = row.run;
  if (run.start_request != StartRequestState::kConfirmed) {
    run.start_request = StartRequestState::kConfirmed;
    run.confirmed_at = now;
  }
  if (row.percent > run.percent || run.progressed_at == base::TimePoint{}) run.progressed_at = now;
  run.percent = row.percent;
  run.usage = row.usage;
}

void RunLeader::TakeLists(base::TimePoint now, TargetView& view, base::TimePoint sent_at,
                          const dispatch::TargetLists& lists) {
  if (view.unanswered_requests >= 2) {
    log::Info(log::Category::kJobs, "target is back",
              {{"target", view.incarnation.id}, {"birth", view.incarnation.incarnation}});
  }
  view.unanswered_requests = 0;
  view.last_contact = now;
  view.lease.OnClock(now, lists.clock);
  std::set<TaskRef> listed;
  for (const dispatch::RunningRow& row : lists.running) {
    listed.insert(row.task);
    this->TakeRunning(now, view, row);
  }
  dispatch::PollState& look = view.poll;
  view.has_pending_requests = true;
  const TargetRecord* record = this->RecordOf(view.incarnation);
  const std::uint64_t noted = record == nullptr ? 0 : record->acknowledged;
  for (const dispatch::EndRow& row : lists.ends) {
    listed.insert(row.task);
    if (row.number <= std::max(look.listed, noted)) continue;
    look.listed = row.number;
    this->ends.push_back(
        {row.task, row.run, view.incarnation, row.how, row.checkpoint, row.number});
  }
  this->MeasureServing(now, view);
  const bool first_contact = !view.is_fenced;
  view.is_fenced = true;
  if (lists.is_partial) return;
  for (auto& [task, run] : view.runs) {
    if (listed.contains(task)) continue;
    if (first_contact && run.start_request == StartRequestState::kSent) {
      // An order of an earlier leader has no effect any more under this fence.
      run.start_request = StartRequestState::kToSend;
    } else if (run.start_request == StartRequestState::kConfirmed && run.confirmed_at < sent_at) {
      this->Conclude(task, run.run, view.incarnation, RunEnd::kLost);
    }
  }
}

void RunLeader::SendOrders(base::TimePoint now) {
  for (auto& [id, view] : this->book.All()) {
    if (view.is_fenced && view.has_pending_requests)
      view.has_pending_requests = this->SendOrdersTo(now, view);
  }
}

bool RunLeader::SendOrdersTo(base::TimePoint now, TargetView& view) {
  this->SendPaces(view);
  bool more = false;
  for (auto& [task, run] : view.runs) {
    const workload::Job* job = this->ledger.FindJob(task.job);
    if (job == nullptr || workload::IsFinal(job->state) || run.is_migrating) {
      more = true;
      if (run.start_request == StartRequestState::kToSend && !run.is_in_doubt) {
        this->Conclude(task, run.run, view.incarnation, RunEnd::kRefused);
      } else if (!run.stop_sent || now - *run.stop_sent > this->settings.stop_retry) {
        if (this->SendStop(view, task, run.run)) run.stop_sent = now;
      }
    } else if (run.start_request == StartRequestState::kToSend) {
      if (now >= run.requested_at) this->SendStart(now, view, task);
      more = more || run.start_request == StartRequestState::kToSend;
    }
  }
  return more;
}

void RunLeader::StopRunsOf(const workload::JobId& id) {
  const workload::Job* job = this->ledger.FindJob(id);
  if (job == nullptr || !workload::IsFinal(job->state)) return;
  for (const auto& [occurrence, steps] : job->open) {
    for (const workload::Step& step : steps) {
      for (const Task& task : step.tasks) {
        if (task.phase != TaskPhase::kRunning) continue;
        if (TargetView* view = this->book.Find(task.target.id)) view->has_pending_requests = true;
      }
    }
  }
}

void RunLeader::SendStart(base::TimePoint now, TargetView& view, const TaskRef& task) {
  const TargetRecord* record = this->RecordOf(view.incarnation);
  const workload::Job* job = this->ledger.FindJob(task.job);
  if (record == nullptr || job == nullptr || !this->context.MayLead()) return;
  const auto deadline =
      view.unanswered_requests == 0 ? view.lease.Grant(now) : view.lease.GrantedDeadline();
  if (!deadline) return;
  RunView& run = view.runs.at(task);
  run.start_request = StartRequestState::kSent;
  run.requested_at = now;
  StartOrder order{
      task,      run.run,    job->spec.payload, this->ledger.FindTask(task)->checkpoint,
      *deadline, this->fence};
  const std::uint64_t sent_generation = this->generation;
  this->calls.Start(this->DestinationOf(*record), order,
                    [this, life = view.incarnation, task, number = run.run, sent_generation](
                        base::TimePoint answered, const OrderAnswer& answer) {
                      if (sent_generation != this->generation) return;
                      this->OnStart(answered, life, task, number, answer);
                    });
}

void RunLeader::OnStart(base::TimePoint now, const TargetIncarnation& life, const TaskRef& task,
                        std::uint32_t number, const OrderAnswer& answer) {
  log::Info(log::Category::kJobs, "start answered",
            {{"task", workload::ToText(task)},
             {"run", number},
             {"target", life.id},
             {"fence", this->fence},
             {"verdict", base::NameOf(kVerdictNames, answer.verdict)}});
  TargetView* view = this->book.Find(life.id);
  if (view == nullptr || view->incarnation != life) return;
  if (answer.clock) {
    view->lease.OnClock(now, *answer.clock);
    view->last_contact = now;
    view->unanswered_requests = 0;
  }
  const auto found = view->runs.find(task);
  if (found == view->runs.end() || found->second.run != number) return;
  RunView& run = found->second;
  view->has_pending_requests = true;
  if (run.start_request == StartRequestState::kConfirmed) return;
  switch (answer.verdict) {
    case Verdict::kDone:
    case Verdict::kOld:
      run.start_request = StartRequestState::kConfirmed;
      run.confirmed_at = now;
      run.progressed_at = now;
      break;
    case Verdict::kNoRoom:
    case Verdict::kUnhealthy:
    case Verdict::kInvalid:
      this->book.OnRefused(*view, now);
      if (run.is_in_doubt) {
        // An earlier order of this run may still be carried out, so it is given again.
        run.start_request = StartRequestState::kToSend;
        run.requested_at = now + this->settings.retry_pause;
      } else {
        this->Conclude(task, number, life, RunEnd::kRefused);
      }
      break;
    case Verdict::kOtherLife:
      this->OnOtherLife(life);
      break;
    case Verdict::kNoAnswer:
      run.is_in_doubt = true;
      [[fallthrough]];
    case Verdict::kNotSent:
      this->OnSilence(*view);
      if (answer.verdict == Verdict::kNotSent && !run.is_in_doubt) {
        this->Conclude(task, number, life, RunEnd::kRefused);
        break;
      }
      [[fallthrough]];
    case Verdict::kLate:
    case Verdict::kFenced:
      run.start_request = StartRequestState::kToSend;
      run.requested_at = now + this->settings.retry_pause;
      break;
  }
  this->context.RequestAdvance();
}

bool RunLeader::SendStop(const TargetView& view, const TaskRef& task, std::uint32_t run) {
  const TargetRecord* record = this->RecordOf(view.incarnation);
  if (record == nullptr || !this->context.MayLead()) return false;
  this->calls.Stop(this->DestinationOf(*record), {task, run, this->fence},
                   [this, life = view.incarnation, task, run, sent_generation = this->generation](
                       base::TimePoint answered, const OrderAnswer& answer) {
                     log::Info(log::Category::kJobs, "stop answered",
                               {{"task", workload::ToText(task)},
                                {"run", run},
                                {"target", life.id},
                                {"verdict", base::NameOf(kVerdictNames, answer.verdict)}});
                     if (sent_generation != this->generation) return;
                     TargetView* view_now = this->book.Find(life.id);
                     if (view_now == nullptr || view_now->incarnation != life) return;
                     if (answer.clock) view_now->lease.OnClock(answered, *answer.clock);
                     const auto found = view_now->runs.find(task);
                     if (found == view_now->runs.end() || found->second.run != run) return;
                     // From here on the target refuses this run, so its list tells.
                     if (answer.verdict == Verdict::kDone &&
                         found->second.start_request != StartRequestState::kConfirmed) {
                       found->second.start_request = StartRequestState::kConfirmed;
                       found->second.confirmed_at = answered;
                     }
                   });
  return true;
}

void RunLeader::CheckLeases(base::TimePoint now) {
  for (auto& [id, view] : this->book.All()) {
    if (view.runs.empty() || view.unanswered_requests == 0 || now < view.lease.SafeExpiry())
      continue;
    for (const auto& [task, run] : view.runs) {
      this->Conclude(task, run.run, view.incarnation, RunEnd::kLost);
    }
  }
  for (const auto& [life, tasks] : this->ledger.RunningOn()) {
    if (this->RecordOf(life) != nullptr) continue;
    const auto newer = this->ledger.Targets().find(life.id);
    const bool is_replaced = this->replaced.contains(life) || newer != this->ledger.Targets().end();
    const base::TimePoint since = this->departed.emplace(life, now).first->second;
    if (!is_replaced && now - since < this->settings.leave_time) continue;
    for (const TaskRef& task : tasks) {
      this->Conclude(task, this->ledger.FindTask(task)->run, life, RunEnd::kLost);
    }
  }
}

std::vector<workload::Opening> RunLeader::DueOpenings(std::int64_t time_of_day_ms) const {
  std::vector<workload::Opening> due;
  for (const workload::JobId& id : this->ledger.ScheduledJobs()) {
    const workload::Job& job = *this->ledger.FindJob(id);
    if (job.spec.first_ms + job.next_occurrence * job.spec.interval_ms <= time_of_day_ms) {
      due.push_back({id, job.next_occurrence});
    }
  }
  return due;
}

void RunLeader::LogBacklog(base::TimePoint now) {
  if (now < this->next_backlog_line || this->ledger.Ready().empty()) return;
  this->next_backlog_line = now + kBacklogLineEvery;
  const dispatch::Backlog backlog = this->planner.MeasureBacklog();
  log::Info(log::Category::kJobs, "work waits",
            {{"short_tasks", backlog.short_tasks},
             {"filling_tasks", backlog.best_effort_tasks},
             {"lasting_tasks", backlog.long_running_tasks},
             {"largest_short_cpu", backlog.largest_short_cpu},
             {"largest_lasting_cpu", backlog.largest_long_running_cpu},
             {"usable_targets", backlog.usable_targets},
             {"kept_targets", backlog.reserved_targets},
             {"free_cpu", backlog.free_cpu},
             {"largest_free_cpu", backlog.largest_free_cpu}});
}

void RunLeader::ProposeRound(base::TimePoint now) {
  if (this->round_in_flight) return;
  const std::int64_t time_of_day = this->context.TimeOfDayMs();
  workload::RunChanges changes;
  changes.at_ms = time_of_day;
  changes.ends = std::exchange(this->ends, {});
  changes.openings = this->DueOpenings(time_of_day);
  changes.starts = this->planner.Plan(now, time_of_day);
  if (changes.starts.empty()) this->LogBacklog(now);
  if (changes.ends.empty() && changes.openings.empty() && changes.starts.empty()) return;
  this->round_in_flight = true;
  const std::uint64_t sent_generation = this->generation;
  this->context.Propose(changes, [this, sent_generation](base::TimePoint, bool applied) {
    if (sent_generation != this->generation) return;
    this->round_in_flight = false;
    if (!applied) {
      // The ends are still listed at the targets or concluded again.
      for (auto& [id, view] : this->book.All()) view.poll.listed = 0;
      this->concluded.clear();
    }
    this->context.RequestAdvance();
  });
}

void RunLeader::Advance(base::TimePoint now) {
  if (!this->leading) return;
  this->ProposeRound(now);
  this->SendOrders(now);
  this->SendLooks(now);
}

void RunLeader::Tick(base::TimePoint now) {
  if (!this->leading) return;
  this->CheckLeases(now);
  this->MoveRuns(now);
  this->Advance(now);
}

void RunLeader::OnApplied(base::TimePoint now, const workload::Command& command) {
  if (!this->leading) return;
  if (const auto* cancel = std::get_if<workload::Cancel>(&command)) this->StopRunsOf(cancel->id);
  const auto* changes = std::get_if<workload::RunChanges>(&command);
  if (changes == nullptr) {
    this->context.RequestAdvance();
    return;
  }
  for (const End& end : changes->ends) {
    this->concluded.erase({end.task, end.run});
    this->strays.erase({end.task, end.run});
    TargetView* view = this->book.Find(end.target.id);
    log::Info(log::Category::kJobs, "run ended",
              {{"task", workload::ToText(end.task)},
               {"run", end.run},
               {"target", end.target.id},
               {"how", base::NameOf(workload::kRunEndNames, end.how)},
               {"number", end.number}});
    if (end.how == RunEnd::kFailed) this->StopRunsOf(end.task.job);
    if (view == nullptr || view->incarnation != end.target) continue;
    this->book.OnRunEnded(*view, end.how, now);
    const auto run = view->runs.find(end.task);
    if (run != view->runs.end() && run->second.run == end.run) view->runs.erase(run);
  }
  for (const workload::Start& start : changes->starts) {
    const Task* task = this->ledger.FindTask(start.task);
    if (task == nullptr || task->phase != TaskPhase::kRunning || task->run != start.run) continue;
    TargetView& view = this->book.FindOrCreate(start.target);
    if (view.incarnation != start.target) continue;
    RunView run;
    run.run = start.run;
    run.requested_at = now;
    view.runs[start.task] = run;
    view.has_pending_requests = true;
  }
  this->Advance(now);
}

void RunLeader::Announce(base::TimePoint now, const Announcement& announcement,
                         const OnAnnounced& done) {
  if (!this->leading) return done(false);
  const TargetRecord& said = announcement.target;
  const auto known = this->ledger.Targets().find(said.incarnation.id);
  const bool is_known = known != this->ledger.Targets().end();
  if (is_known && known->second.incarnation.incarnation > said.incarnation.incarnation)
    return done(true);
  const bool same_life = is_known && known->second.incarnation == said.incarnation;
  if (same_life) {
    TargetView& view = this->book.FindOrCreate(said.incarnation);
    if (announcement.sequence < view.poll.sequence) return done(true);
    view.poll.sequence = announcement.sequence;
    view.last_contact = now;
    if (announcement.clock) view.lease.OnClock(now, *announcement.clock);
    const TargetRecord& record = known->second;
    const bool unchanged = record.address == said.address && record.service == said.service &&
                           record.capacity == said.capacity && record.labels == said.labels;
    if (unchanged && (record.draining || !said.draining)) return done(true);
  }
  const auto on_proposed = [this, announcement, done](base::TimePoint applied_at, bool applied) {
    if (applied && this->leading) {
      TargetView& view = this->book.FindOrCreate(announcement.target.incarnation);
      view.last_contact = applied_at;
      if (announcement.clock) view.lease.OnClock(applied_at, *announcement.clock);
      this->context.RequestAdvance();
    }
    done(applied);
  };
  log::Info(log::Category::kMembership, "target announced",
            {{"target", said.incarnation.id},
             {"birth", said.incarnation.incarnation},
             {"address", said.address},
             {"draining", said.draining}});
  this->context.Propose(workload::RegisterTarget{said}, on_proposed);
}

void RunLeader::Leave(base::TimePoint /*now*/, const std::string& id,
                      std::optional<workload::IncarnationNumber> birth, const OnAnnounced& done) {
  if (!this->leading) return done(false);
  const auto known = this->ledger.Targets().find(id);
  if (known == this->ledger.Targets().end()) return done(true);
  const TargetRecord& record = known->second;
  const bool is_meant = birth ? record.incarnation.incarnation == *birth : record.draining;
  if (!is_meant) return done(true);
  log::Info(log::Category::kMembership, "target leaves",
            {{"target", id}, {"birth", record.incarnation.incarnation}});
  this->context.Propose(workload::RemoveTarget{record.incarnation},
                        [done](base::TimePoint, bool applied) { done(applied); });
}

}  // namespace mangoroad::controller
