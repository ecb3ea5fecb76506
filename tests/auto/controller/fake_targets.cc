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
  target.life = {id, this->time.NowMs()};
  target.address = "10.0.0." + std::to_string(this->targets.size() + 1) + ":80";
  target.born_at = this->time.Now();
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
    next.life = {id, this->time.NowMs()};
    next.address = old.address;
    next.is_cut = old.is_cut;
    next.born_at = this->time.Now();
    next.lease_generation = old.lease_generation + 1;
    old = next;
  });
}

/// The clock starts at the birth and is 2% slow.
dispatch::TargetMilliseconds FakeTargets::ClockOf(const FakeTarget& target) const {
  return base::ToMilliseconds(this->time.Now() - target.born_at) * 98 / 100;
}

std::int32_t FakeTargets::ProgressOf(const FakeTarget& target, const FakeRun& run) const {
  if (target.stands_still) return 0;
  const auto elapsed = base::ToMilliseconds(this->time.Now() - run.begun_at);
  return static_cast<std::int32_t>(std::min<std::int64_t>(99, elapsed * 100 / this->work_ms));
}

FakeTarget* FakeTargets::Reach(const Destination& to) {
  for (auto& [id, target] : this->targets) {
    if (target.address == to.address) return target.is_up && !target.is_cut ? &target : nullptr;
  }
  return nullptr;
}

void FakeTargets::Extend(FakeTarget& target, dispatch::TargetMilliseconds deadline) {
  if (deadline <= target.lease_until) return;
  target.lease_until = deadline;
  const std::uint64_t generation = ++target.lease_generation;
  const std::int64_t left = (deadline - this->ClockOf(target)) * 100 / 98 + 1;
  this->time.After(std::max<std::int64_t>(left, 0), [this, id = target.life.id, generation] {
    FakeTarget& later = this->targets.at(id);
    if (later.lease_generation != generation || !later.is_up) return;
    const auto running = later.running;
    for (const auto& [task, run] : running)
      this->EndRun(later, task, workload::RunEnd::kLeaseExpired);
  });
}

void FakeTargets::EndRun(FakeTarget& target, const workload::TaskRef& task, workload::RunEnd how) {
  const auto running = target.running.find(task);
  if (running == target.running.end()) return;
  const std::uint32_t run = running->second.run;
  target.running.erase(running);
  target.highest_over[task] = std::max(target.highest_over[task], run);
  target.ends.push_back({target.next_end++, task, run, how, {}});
  if (how == workload::RunEnd::kDone) this->done.insert(task);
}

void FakeTargets::CheckStart(const FakeTarget& target, const workload::TaskRef& task) {
  const std::string name = task.job + "." + std::to_string(task.index);
  for (const auto& [id, other] : this->targets) {
    if (&other != &target && other.is_up && other.running.contains(task)) {
      std::string line = name;
      line.append(" runs on ").append(id).append(" and starts on ").append(target.life.id);
      this->violations.push_back(std::move(line));
    }
  }
}

OrderAnswer FakeTargets::BeginRun(FakeTarget& target, const StartOrder& order) {
  const dispatch::TargetMilliseconds clock = this->ClockOf(target);
  if (order.deadline <= clock) return {Verdict::kLate, clock};
  const auto over = target.highest_over.find(order.task);
  const auto running = target.running.find(order.task);
  const bool is_old = (over != target.highest_over.end() && order.run <= over->second) ||
                      (running != target.running.end() && order.run < running->second.run);
  this->Extend(target, order.deadline);
  if (is_old) return {Verdict::kOld, clock};
  if (running != target.running.end()) return {Verdict::kDone, clock};
  this->CheckStart(target, order.task);
  this->starts += 1;
  target.running[order.task] = {order.run, this->time.Now()};
  const auto how = this->random.Chance(this->failing_share) ? workload::RunEnd::kFailed
                                                            : workload::RunEnd::kDone;
  this->time.After(this->work_ms, [this, id = target.life.id, birth = target.life.incarnation,
                                   task = order.task, run = order.run, how] {
    FakeTarget& later = this->targets.at(id);
    const auto found = later.running.find(task);
    if (later.is_up && later.life.incarnation == birth && found != later.running.end() &&
        found->second.run == run && !later.stands_still) {
      this->EndRun(later, task, how);
    }
  });
  return {Verdict::kDone, clock};
}

void FakeTargets::Deliver(const Destination& to, const Act& act, const OnOrder& answered) {
  if (this->random.Chance(this->late_share)) {
    this->time.After(2'000 + this->random.Below(10'000), [this, to, act] {
      FakeTarget* target = this->Reach(to);
      if (target != nullptr && target->life == to.life) act(*target);
    });
    this->time.After(kTimeoutMs, [this, answered] { answered(this->time.Now(), {}); });
    return;
  }
  this->time.After(kOneWayMs, [this, to, act, answered] {
    FakeTarget* target = this->Reach(to);
    if (target == nullptr) {
      this->time.After(kTimeoutMs, [this, answered] { answered(this->time.Now(), {}); });
      return;
    }
    const OrderAnswer answer =
        target->life == to.life ? act(*target) : OrderAnswer{Verdict::kOtherLife, {}};
    this->time.After(kOneWayMs, [this, answered, answer] { answered(this->time.Now(), answer); });
  });
}

void FakeTargets::Start(const Destination& to, const StartOrder& order, OnOrder answered) {
  this->Deliver(
      to,
      [this, order](FakeTarget& target) -> OrderAnswer {
        if (order.fence < target.fence) return {Verdict::kFenced, this->ClockOf(target)};
        target.fence = order.fence;
        return this->BeginRun(target, order);
      },
      answered);
}

void FakeTargets::Stop(const Destination& to, const StopOrder& order, OnOrder answered) {
  this->Deliver(
      to,
      [this, order](FakeTarget& target) -> OrderAnswer {
        if (order.fence < target.fence) return {Verdict::kFenced, this->ClockOf(target)};
        target.fence = order.fence;
        const auto running = target.running.find(order.task);
        if (running != target.running.end() && running->second.run <= order.run) {
          this->EndRun(target, order.task, workload::RunEnd::kStopped);
        }
        target.highest_over[order.task] = std::max(target.highest_over[order.task], order.run);
        return {Verdict::kDone, this->ClockOf(target)};
      },
      answered);
}

void FakeTargets::Pace(const Destination& to, const PaceOrder& order, OnOrder answered) {
  this->Deliver(
      to,
      [this, order](FakeTarget& target) -> OrderAnswer {
        return {order.fence < target.fence ? Verdict::kFenced : Verdict::kDone,
                this->ClockOf(target)};
      },
      answered);
}

void FakeTargets::Look(const Destination& to, const LookOrder& order, OnLook answered) {
  auto answer = std::make_shared<LookAnswer>();
  this->Deliver(
      to,
      [this, order, answer](FakeTarget& target) -> OrderAnswer {
        const dispatch::TargetMilliseconds clock = this->ClockOf(target);
        if (order.fence < target.fence) return {Verdict::kFenced, clock};
        target.fence = order.fence;
        if (order.deadline) this->Extend(target, *order.deadline);
        std::erase_if(target.ends,
                      [&](const dispatch::EndRow& row) { return row.number <= order.noted; });
        answer->lists.clock = clock;
        answer->lists.incarnation = target.life.incarnation;
        answer->lists.ends = target.ends;
        for (const auto& [task, run] : target.running) {
          answer->lists.running.push_back({task, run.run, {}, this->ProgressOf(target, run), 0});
        }
        return {Verdict::kDone, clock};
      },
      [answer, answered](base::TimePoint now, const OrderAnswer& order_answer) {
        answer->verdict = order_answer.verdict;
        answered(now, *answer);
      });
}

}  // namespace mangoroad::controller
