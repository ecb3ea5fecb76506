#include "fake_targets.h"

#include <algorithm>

namespace mangoroad::controller {
namespace {

constexpr std::int64_t kOneWayMs = 5;
constexpr std::int64_t kTimeoutMs = 700;

}  // namespace

std::int64_t VirtualTime::NowMs() const {
  return base::ToMilliseconds(this->now.time_since_epoch());
}

void VirtualTime::After(std::int64_t ms, std::function<void()> action) {
  this->entries.push(
      {this->now + std::chrono::milliseconds(ms), this->next_number++, std::move(action)});
}

void VirtualTime::RunUntil(std::int64_t ms) {
  const base::TimePoint end{std::chrono::milliseconds(ms)};
  while (!this->entries.empty() && this->entries.top().at <= end) {
    const Entry entry = this->entries.top();
    this->entries.pop();
    this->now = entry.at;
    entry.action();
  }
  this->now = end;
}

void FakeTargets::Add(const std::string& id) {
  FakeTarget target;
  target.identity = {id, this->time.NowMs()};
  target.address = "10.0.0." + std::to_string(this->targets.size() + 1) + ":80";
  target.started_at = this->time.Now();
  this->targets.emplace(id, target);
}

void FakeTargets::Reboot(const std::string& id, std::int64_t ms) {
  FakeTarget& target = this->targets.at(id);
  target.is_up = false;
  target.running.clear();
  target.lease_generation += 1;
  this->time.After(ms, [this, id] {
    FakeTarget& old = this->targets.at(id);
    FakeTarget next;
    next.identity = {id, this->time.NowMs()};
    next.address = old.address;
    next.isolated = old.isolated;
    next.is_mute = old.is_mute;
    next.started_at = this->time.Now();
    next.lease_generation = old.lease_generation + 1;
    old = next;
  });
}

void FakeTargets::Replace(const std::string& id, const std::string& next_id) {
  FakeTarget next;
  next.identity = {next_id, this->time.NowMs()};
  next.address = this->targets.at(id).address;
  next.started_at = this->time.Now();
  FakeTarget& old = this->targets.at(id);
  old.is_up = false;
  old.running.clear();
  old.lease_generation += 1;
  old.address.clear();
  this->targets.emplace(next_id, next);
}

/// The clock of a target starts with its incarnation and is 2% slow.
dispatch::TargetMilliseconds FakeTargets::ClockOf(const FakeTarget& target) const {
  return base::ToMilliseconds(this->time.Now() - target.started_at) * 98 / 100;
}

std::int32_t FakeTargets::ProgressOf(const FakeTarget& target, const FakeRun& run) const {
  if (target.is_stalled) return 0;
  const auto elapsed = base::ToMilliseconds(this->time.Now() - run.started_at);
  return static_cast<std::int32_t>(std::min<std::int64_t>(99, elapsed * 100 / this->run_ms));
}

FakeTarget* FakeTargets::FindReachable(const TargetEndpoint& to) {
  for (auto& [id, target] : this->targets) {
    if (target.address == to.address) return target.is_up && !target.isolated ? &target : nullptr;
  }
  return nullptr;
}

void FakeTargets::Extend(FakeTarget& target, dispatch::TargetMilliseconds deadline) {
  if (deadline <= target.lease_until) return;
  target.lease_until = deadline;
  const std::uint64_t generation = ++target.lease_generation;
  const std::int64_t left_ms = (deadline - this->ClockOf(target)) * 100 / 98 + 1;
  this->time.After(std::max<std::int64_t>(left_ms, 0), [this, id = target.identity.id, generation] {
    FakeTarget& later = this->targets.at(id);
    if (later.lease_generation != generation || !later.is_up) return;
    const auto runs = later.running;
    for (const auto& [task, run] : runs) this->End(later, task, workload::RunEnd::kLeaseExpired);
  });
}

void FakeTargets::End(FakeTarget& target, const workload::TaskRef& task, workload::RunEnd how) {
  const auto running = target.running.find(task);
  if (running == target.running.end()) return;
  const std::uint32_t run = running->second.run;
  target.running.erase(running);
  target.highest_ended_run[task] = std::max(target.highest_ended_run[task], run);
  target.ends.push_back({target.next_end++, task, run, how, {}});
  if (how == workload::RunEnd::kDone) this->done.insert(task);
}

void FakeTargets::EndLater(FakeTarget& target, const workload::TaskRef& task, std::uint32_t run) {
  if (this->stop_ms == 0) return this->End(target, task, workload::RunEnd::kStopped);
  this->time.After(this->stop_ms, [this, identity = target.identity, task, run] {
    FakeTarget& later = this->targets.at(identity.id);
    const auto found = later.running.find(task);
    if (later.identity != identity || found == later.running.end()) return;
    if (found->second.run == run) this->End(later, task, workload::RunEnd::kStopped);
  });
}

void FakeTargets::CheckStart(const FakeTarget& target, const workload::TaskRef& task) {
  const std::string name = task.job + "." + std::to_string(task.index);
  for (const auto& [id, other] : this->targets) {
    if (&other != &target && other.is_up && other.running.contains(task)) {
      std::string line = name;
      line.append(" runs on ").append(id).append(" and starts on ").append(target.identity.id);
      this->violations.push_back(std::move(line));
    }
  }
}

CallResponse FakeTargets::BeginRun(FakeTarget& target, const StartRequest& request) {
  const dispatch::TargetMilliseconds clock = this->ClockOf(target);
  if (request.deadline <= clock) return {CallStatus::kDeadlineExceeded, clock};
  const auto ended = target.highest_ended_run.find(request.task);
  const auto running = target.running.find(request.task);
  const bool is_stale = (ended != target.highest_ended_run.end() && request.run <= ended->second) ||
                        (running != target.running.end() && request.run < running->second.run);
  this->Extend(target, request.deadline);
  if (is_stale) return {CallStatus::kStaleRun, clock};
  if (running != target.running.end()) return {CallStatus::kDone, clock};
  this->CheckStart(target, request.task);
  this->starts += 1;
  target.running[request.task] = {request.run, this->time.Now()};
  const auto how = this->random.Chance(this->failure_probability) ? workload::RunEnd::kFailed
                                                                  : workload::RunEnd::kDone;
  this->time.After(this->run_ms, [this, id = target.identity.id, number = target.identity.number,
                                  task = request.task, run = request.run, how] {
    FakeTarget& later = this->targets.at(id);
    const auto found = later.running.find(task);
    if (later.is_up && later.identity.number == number && found != later.running.end() &&
        found->second.run == run && !later.is_stalled) {
      this->End(later, task, how);
    }
  });
  return {CallStatus::kDone, clock};
}

void FakeTargets::Deliver(const TargetEndpoint& to, const Handler& handler,
                          const OnResponse& on_response) {
  if (this->random.Chance(this->in_doubt_probability)) {
    this->time.After(kOneWayMs, [this, to, handler, late_ms = 2'000 + this->random.Below(10'000)] {
      const FakeTarget* receiver = this->FindReachable(to);
      if (receiver == nullptr || receiver->identity.id != to.target.id) return;
      // Only the incarnation that has received the request carries it out.
      this->time.After(late_ms, [this, to, handler, incarnation = receiver->identity] {
        FakeTarget* target = this->FindReachable(to);
        if (target != nullptr && target->identity == incarnation) handler(*target);
      });
    });
    this->time.After(kTimeoutMs, [this, on_response] { on_response(this->time.Now(), {}); });
    return;
  }
  this->time.After(kOneWayMs, [this, to, handler, on_response] {
    FakeTarget* target = this->FindReachable(to);
    if (target == nullptr) {
      this->time.After(kTimeoutMs, [this, on_response] { on_response(this->time.Now(), {}); });
      return;
    }
    // The platform's requests name the target, not its incarnation.
    const CallResponse response = target->identity.id == to.target.id
                                      ? handler(*target)
                                      : CallResponse{CallStatus::kOtherIncarnation, {}};
    this->time.After(kOneWayMs,
                     [this, on_response, response] { on_response(this->time.Now(), response); });
  });
}

void FakeTargets::Start(const TargetEndpoint& to, const StartRequest& request,
                        OnResponse on_response) {
  this->Deliver(
      to,
      [this, request](FakeTarget& target) -> CallResponse {
        if (request.fence < target.fence) return {CallStatus::kFenced, this->ClockOf(target)};
        target.fence = request.fence;
        return this->BeginRun(target, request);
      },
      on_response);
}

void FakeTargets::Stop(const TargetEndpoint& to, const StopRequest& request,
                       OnResponse on_response) {
  this->Deliver(
      to,
      [this, request](FakeTarget& target) -> CallResponse {
        if (request.fence < target.fence) return {CallStatus::kFenced, this->ClockOf(target)};
        if (this->refuses_stops) return {CallStatus::kUnhealthy, this->ClockOf(target)};
        target.fence = request.fence;
        const auto running = target.running.find(request.task);
        if (running != target.running.end() && running->second.run <= request.run) {
          this->EndLater(target, request.task, running->second.run);
        }
        target.highest_ended_run[request.task] =
            std::max(target.highest_ended_run[request.task], request.run);
        return {CallStatus::kDone, this->ClockOf(target)};
      },
      on_response);
}

void FakeTargets::Throttle(const TargetEndpoint& to, const ThrottleRequest& request,
                           OnResponse on_response) {
  this->Deliver(
      to,
      [this, request](FakeTarget& target) -> CallResponse {
        return {request.fence < target.fence ? CallStatus::kFenced : CallStatus::kDone,
                this->ClockOf(target)};
      },
      on_response);
}

void FakeTargets::Poll(const TargetEndpoint& to, const PollRequest& request,
                       OnPollResponse on_response) {
  this->polls += 1;
  auto response = std::make_shared<PollResponse>();
  this->Deliver(
      to,
      [this, request, response](FakeTarget& target) -> CallResponse {
        const dispatch::TargetMilliseconds clock = this->ClockOf(target);
        if (request.fence < target.fence) return {CallStatus::kFenced, clock};
        target.fence = request.fence;
        if (request.deadline) this->Extend(target, *request.deadline);
        std::erase_if(target.ends, [&](const dispatch::EndRow& row) {
          return row.number <= request.acknowledged;
        });
        response->lists.clock = clock;
        response->lists.incarnation = target.identity.number;
        response->lists.ends = target.ends;
        for (const auto& [task, run] : target.running) {
          response->lists.running.push_back({task, run.run, {}, this->ProgressOf(target, run), 0});
        }
        return {CallStatus::kDone, clock};
      },
      [response, on_response](base::TimePoint now, const CallResponse& call_response) {
        response->status = call_response.status;
        on_response(now, *response);
      });
}

}  // namespace mangoroad::controller
