#include "simulated_targets.h"

#include <algorithm>
#include <utility>

namespace mangoroad::bench {

using controller::CallStatus;

namespace {

constexpr base::Duration kOneWay = std::chrono::milliseconds(5);
/// Tail latency of a task that lasts, in ms; well below its objective.
constexpr std::int64_t kTailMs = 15;

}  // namespace

SimulatedTargets::SimulatedTargets(VirtualClock& virtual_clock, DurationOf task_duration,
                                   Deliver to_leader)
    : clock(virtual_clock), duration_of(std::move(task_duration)), deliver(std::move(to_leader)) {}

void SimulatedTargets::Add(const workload::TargetIncarnation& incarnation) {
  this->targets[incarnation.id].number = incarnation.number;
}

dispatch::TargetMilliseconds SimulatedTargets::TargetClock() const {
  return base::ToMilliseconds(this->clock.Now().time_since_epoch());
}

void SimulatedTargets::Respond(const OnResponse& done) {
  this->clock.After(kOneWay, [this, done, clock_value = this->TargetClock()] {
    this->deliver(
        [this, done, clock_value] { done(this->clock.Now(), {CallStatus::kDone, clock_value}); });
  });
}

void SimulatedTargets::End(Target& target, const workload::TaskRef& task, std::uint32_t run,
                           workload::RunEnd how) {
  const auto running = target.running.find(task);
  if (running == target.running.end() || running->second.number != run) return;
  target.running.erase(running);
  target.ends.push_back({target.next_end++, task, run, how, {}});
  if (target.waiting_poll) this->RespondToPoll(target);
}

void SimulatedTargets::Start(const controller::TargetEndpoint& to,
                             const controller::StartRequest& request, OnResponse done) {
  this->starts += 1;
  this->clock.After(kOneWay, [this, id = to.target.id, request, done = std::move(done)] {
    const auto duration = this->duration_of(request.task);
    this->targets[id].running[request.task] = {request.run, this->clock.Now(), duration};
    if (duration) {
      this->clock.After(*duration, [this, id, task = request.task, run = request.run] {
        this->End(this->targets[id], task, run, workload::RunEnd::kDone);
      });
    }
    this->Respond(done);
  });
}

void SimulatedTargets::Stop(const controller::TargetEndpoint& to,
                            const controller::StopRequest& request, OnResponse done) {
  this->clock.After(kOneWay, [this, id = to.target.id, request, done = std::move(done)] {
    this->End(this->targets[id], request.task, request.run, workload::RunEnd::kStopped);
    this->Respond(done);
  });
}

void SimulatedTargets::Throttle(const controller::TargetEndpoint& /*to*/,
                                const controller::ThrottleRequest& /*request*/, OnResponse done) {
  this->clock.After(kOneWay, [this, done = std::move(done)] { this->Respond(done); });
}

void SimulatedTargets::Poll(const controller::TargetEndpoint& to,
                            const controller::PollRequest& request, OnPollResponse done) {
  this->polls += 1;
  this->clock.After(kOneWay, [this, id = to.target.id, request, done = std::move(done)] {
    Target& target = this->targets[id];
    std::erase_if(target.ends,
                  [&](const dispatch::EndRow& row) { return row.number <= request.acknowledged; });
    target.waiting_poll = done;
    const std::uint64_t number = ++target.poll_number;
    if (!target.ends.empty() || request.wait == base::Duration{}) {
      return this->RespondToPoll(target);
    }
    this->clock.After(request.wait, [this, id, number] {
      Target& later = this->targets[id];
      if (later.waiting_poll && later.poll_number == number) this->RespondToPoll(later);
    });
  });
}

void SimulatedTargets::RespondToPoll(Target& target) {
  controller::PollResponse response;
  response.status = CallStatus::kDone;
  response.lists.clock = this->TargetClock();
  response.lists.incarnation = target.number;
  response.lists.ends = target.ends;
  for (const auto& [task, run] : target.running) {
    const base::Duration elapsed = this->clock.Now() - run.started_at;
    const std::int64_t percent = run.duration ? elapsed * 100 / *run.duration : 100;
    response.lists.running.push_back(
        {task,
         run.number,
         {},
         static_cast<std::int32_t>(std::min<std::int64_t>(percent, 100)),
         run.duration ? 1'000 : kTailMs});
  }
  this->clock.After(kOneWay, [this, response = std::move(response),
                              done = std::exchange(target.waiting_poll, nullptr)] {
    this->deliver([this, response, done] { done(this->clock.Now(), response); });
  });
}

}  // namespace mangoroad::bench
