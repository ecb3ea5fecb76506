#include "routing/router.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <unordered_map>
#include <utility>

#include "routing/fair_queue.h"
#include "routing/limits.h"

namespace mangoroad::routing {
namespace {

using base::Duration;
using base::TimePoint;

// Delay before the first retry; it doubles with each retry.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(2);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(100);
// A target stops a request at its deadline. The additional time covers the link delay and a short
// pause of the target. If a request still runs after it, the target itself refuses a request beyond
// its slots; the capacity lease no longer accounts for it.
constexpr Duration kSlotHoldAfterDeadline = std::chrono::milliseconds(1000);
constexpr double kLatencySmoothing = 0.05;

struct Attempt {
  int number = 0;
  TargetIndex target = 0;
  TimePoint sent;
};

enum class Phase { kWaiting, kRunning, kBackoff, kRelayed };

struct RequestState {
  Request request;
  Phase phase = Phase::kWaiting;
  std::vector<Attempt> attempts;
  int last_attempt = 0;
  int retries = 0;
  bool hedged = false;
  bool may_have_run = false;
  std::optional<TargetIndex> avoid;
};

struct RowState {
  RowSpec spec;
  int in_flight = 0;  // Requests submitted and not yet ended.
  RateLimit rate;
  RetryBudget budget;
  double mean_us = 0;
  double deviation_us = 0;

  void OnLatency(double latency_us) {
    if (this->mean_us == 0) {
      this->mean_us = latency_us;
      this->deviation_us = latency_us / 2;
      return;
    }
    const double difference = latency_us - this->mean_us;
    this->mean_us += kLatencySmoothing * difference;
    this->deviation_us += kLatencySmoothing * (std::abs(difference) - this->deviation_us);
  }
  // Approximates the 95th percentile for an exponential distribution, whose mean deviation is 0.74
  // of the mean.
  [[nodiscard]] Duration Percentile95Latency() const { return this->LatencyAt(2.7); }
  // Approximates the 99th percentile. Admission by the 95th percentile spent 7% of the capacity on
  // requests that missed their deadline at a load of twice the capacity.
  [[nodiscard]] Duration Percentile99Latency() const { return this->LatencyAt(4.9); }
  [[nodiscard]] Duration LatencyAt(double deviations) const {
    return Duration(static_cast<Duration::rep>(this->mean_us + deviations * this->deviation_us));
  }
};

struct TargetState {
  bool usable = false;
  RetryBudget budget;
};

struct Timer {
  TimePoint due;
  RequestId id = 0;
  int attempt = 0;

  friend bool operator>(const Timer& a, const Timer& b) { return a.due > b.due; }
};
using Timers = std::priority_queue<Timer, std::vector<Timer>, std::greater<>>;

}  // namespace

struct Router::Private {
  Private(RouterSettings own, SlotSource& source)
      : settings(std::move(own)),
        slots(source),
        random(settings.seed),
        strategy(MakeStrategy(settings.strategy)),
        health(settings.seed + 1) {}

  RouterSettings settings;
  SlotSource& slots;
  base::Random random;
  std::unique_ptr<Strategy> strategy;
  TargetHealth health;
  LoadIndex index;
  FairQueue queue;
  AdaptiveLimit limit;
  ServiceRate service_rate;
  std::vector<RowState> rows;
  std::vector<DomainState> domains;
  std::vector<TargetState> targets;
  std::size_t usable_targets = 0;
  std::unordered_map<RequestId, RequestState> requests;
  Timers deadlines;
  Timers backoffs;
  Timers hedges;
  int in_flight = 0;
  bool draining = false;
  Actions actions;
  RouterCounts counts;

  // --- End of requests ---

  void Remove(RequestId id, const RequestState& state) {
    this->rows[state.request.row].in_flight -= 1;
    this->requests.erase(id);
  }

  void Refuse(RequestId id, RefusalKind kind, Outcome outcome, Duration retry_after = {}) {
    this->counts.refused += 1;
    this->actions.refuse.push_back({id, kind, outcome, retry_after});
  }

  void EndRefused(RequestId id, const RequestState& state, RefusalKind kind) {
    this->Refuse(id, kind, state.may_have_run ? Outcome::kUnknown : Outcome::kNotRun);
    this->Remove(id, state);
  }

  // Cancels the attempts in progress. They may still run at the target, so their slots stay in use.
  void CancelAttempts(TimePoint now, RequestId id, RequestState& state) {
    for (const Attempt& attempt : state.attempts) {
      this->actions.cancel.push_back({id, attempt.number, attempt.target});
      this->slots.Abandon(attempt.target,
                          std::max(now, state.request.deadline) + kSlotHoldAfterDeadline);
      this->DecrementInFlight(now, attempt.target);
    }
    state.attempts.clear();
  }

  void DecrementInFlight(TimePoint now, TargetIndex target) {
    this->in_flight -= 1;
    this->index.Load(target).in_flight -= 1;
    this->Refresh(now, target);
  }

  // --- Targets ---

  void Refresh(TimePoint now, TargetIndex target) {
    if (target >= this->targets.size()) return;
    int free = this->targets[target].usable ? this->slots.FreeSlots(now, target) : 0;
    const int allowed = this->health.MaxInFlight(target) - this->index.Load(target).in_flight;
    free = std::clamp(free, 0, std::max(allowed, 0));
    this->index.SetFree(target, free);
  }

  // Acquires a slot of a target that the strategy chooses and sends an attempt to it.
  bool Send(TimePoint now, RequestId id, RequestState& state, bool hedge) {
    // A capacity lease may have ended since the index was refreshed; each failure to acquire a slot
    // corrects one entry.
    while (true) {
      const auto target = this->strategy->Choose(this->index, this->random, state.avoid);
      if (!target || (hedge && target == state.avoid)) return false;
      const auto fence = this->slots.Acquire(now, *target);
      if (!fence) {
        this->index.SetFree(*target, 0);
        continue;
      }
      TargetLoad& load = this->index.Load(*target);
      load.in_flight += 1;
      this->index.SetFree(*target, load.free - 1);
      this->in_flight += 1;
      this->counts.sent += 1;
      state.phase = Phase::kRunning;
      state.last_attempt += 1;
      state.attempts.push_back({state.last_attempt, *target, now});
      this->targets[*target].budget.OnFirstAttempt();
      this->actions.send.push_back({id, state.last_attempt, *target, *fence, hedge});
      return true;
    }
  }

  void Dispatch(TimePoint now) {
    while (this->in_flight < this->limit.Limit()) {
      if (this->index.Available().empty()) return;
      const auto next = this->queue.Pop();
      if (!next) return;
      const auto found = this->requests.find(next->second);
      if (found == this->requests.end() || found->second.phase != Phase::kWaiting) continue;
      RequestState& state = found->second;
      // The deadline is checked before each send, so that a process that was paused sends no
      // expired request.
      if (now >= state.request.deadline) {
        this->EndRefused(found->first, state, RefusalKind::kDeadline);
        continue;
      }
      if (!this->Send(now, found->first, state, false)) {
        this->queue.PushFront(next->first, next->second);
        return;
      }
      this->ScheduleHedge(now, found->first, state);
    }
  }

  // --- Admission ---

  [[nodiscard]] Duration Wait(RowIndex row) const {
    const double rate = this->service_rate.PerSecond();
    if (this->queue.Size() == 0 || rate <= 0) return {};
    const double ahead = static_cast<double>(this->queue.Size(row)) + 1;
    return Duration(static_cast<Duration::rep>(ahead / (rate * this->queue.Share(row)) * 1e6));
  }

  // The first other domain in the row's preference list that is expected to respond sooner than the
  // local wait; null when there is none.
  [[nodiscard]] const DomainState* ChooseSpilloverDomain(const RowSpec& row,
                                                         Duration local_wait) const {
    for (const std::string& name : row.place) {
      const auto domain = std::ranges::find(this->domains, name, &DomainState::name);
      if (name == this->settings.domain || domain == this->domains.end()) continue;
      if (domain->usable && 2 * domain->link_delay + domain->wait < local_wait) return &*domain;
    }
    return nullptr;
  }

  bool Relay(const Request& request, RequestState& state, Duration local_wait) {
    if (request.relayed) return false;
    const DomainState* domain =
        this->ChooseSpilloverDomain(this->rows[request.row].spec, local_wait);
    if (domain == nullptr) return false;
    state.phase = Phase::kRelayed;
    this->counts.relays += 1;
    this->actions.relay.push_back({request.id, domain->name});
    return true;
  }

  void Submit(TimePoint now, const Request& request) {
    if (request.row >= this->rows.size()) {
      this->Refuse(request.id, RefusalKind::kUnknownRow, Outcome::kNotRun);
      return;
    }
    if (this->draining) {
      this->Refuse(request.id, RefusalKind::kDraining, Outcome::kNotRun);
      return;
    }
    RowState& row = this->rows[request.row];
    const bool too_many = row.spec.limit_inflight > 0 && row.in_flight >= row.spec.limit_inflight;
    if (too_many || !row.rate.Take(now)) {
      const Duration retry_after = too_many ? row.Percentile95Latency() : row.rate.Wait();
      this->Refuse(request.id, RefusalKind::kOverLimit, Outcome::kNotRun, retry_after);
      return;
    }
    if (this->requests.contains(request.id)) return;
    RequestState& state = this->requests[request.id];
    state.request = request;
    row.in_flight += 1;
    row.budget.OnFirstAttempt();
    this->deadlines.push({request.deadline, request.id, 0});
    this->Admit(now, state);
  }

  void Admit(TimePoint now, RequestState& state) {
    const Request request = state.request;
    const RowState& row = this->rows[request.row];
    const Duration wait = this->Wait(request.row);
    const bool no_target = this->usable_targets == 0;
    if (this->Relay(request, state, no_target ? Duration::max() : wait)) return;
    if (no_target) {
      this->EndRefused(request.id, state, RefusalKind::kNoTarget);
      return;
    }
    const bool too_late = now + wait + row.Percentile99Latency() > request.deadline;
    const bool full = this->queue.Size(request.row) >= this->settings.max_waiting_per_row;
    if (full || (wait > Duration{} && too_late)) {
      this->EndRefused(request.id, state, RefusalKind::kOverloaded);
      return;
    }
    state.phase = Phase::kWaiting;
    this->queue.Push(request.row, request.id);
    this->Dispatch(now);
  }

  // --- Retries and hedges ---

  void ScheduleHedge(TimePoint now, RequestId id, const RequestState& state) {
    const RowState& row = this->rows[state.request.row];
    if (!row.spec.idempotent || row.spec.retries == 0 || row.mean_us == 0) return;
    this->hedges.push({now + row.Percentile95Latency(), id, state.last_attempt});
  }

  void Hedge(TimePoint now, const Timer& timer) {
    const auto found = this->requests.find(timer.id);
    if (found == this->requests.end()) return;
    RequestState& state = found->second;
    const bool only_first_attempt = state.attempts.size() == 1 && !state.hedged &&
                                    state.attempts.front().number == timer.attempt;
    // A hedge must not take a slot that a queued request could use.
    if (!only_first_attempt || now >= state.request.deadline || this->queue.Size() > 0) return;
    if (!this->rows[state.request.row].budget.Take()) return;
    state.avoid = state.attempts.front().target;
    state.hedged = this->Send(now, timer.id, state, true);
    if (state.hedged) this->counts.hedges += 1;
  }

  // Schedules a retry or ends the request. Only an idempotent request, or one that provably did not
  // run, is retried.
  void RetryOrEnd(TimePoint now, RequestId id, RequestState& state, TargetIndex failed,
                  RefusalKind kind) {
    RowState& row = this->rows[state.request.row];
    const Duration longest =
        std::min(kMaxBackoff, kInitialBackoff * (1 << std::min(state.retries, 10)));
    const Duration backoff = this->random.Between(longest / 2, longest);
    const bool may_retry = (row.spec.idempotent || !state.may_have_run) &&
                           state.retries < row.spec.retries &&
                           now + backoff < state.request.deadline;
    if (!may_retry || !this->targets[failed].budget.Take() || !row.budget.Take()) {
      this->EndRefused(id, state, kind);
      return;
    }
    state.retries += 1;
    state.phase = Phase::kBackoff;
    state.avoid = failed;
    this->counts.retries += 1;
    this->backoffs.push({now + backoff, id, 0});
  }

  void OnAttemptEnd(TimePoint now, const AttemptEnd& end) {
    const auto found = this->requests.find(end.id);
    if (found == this->requests.end()) return;
    RequestState& state = found->second;
    const auto attempt = std::ranges::find(state.attempts, end.attempt, &Attempt::number);
    if (attempt == state.attempts.end()) return;
    const Attempt ended = *attempt;
    state.attempts.erase(attempt);
    const bool ran =
        end.result == AttemptResult::kRan || end.result == AttemptResult::kRanWithError;
    if (end.result == AttemptResult::kBroken) {
      this->slots.Abandon(ended.target, state.request.deadline + kSlotHoldAfterDeadline);
    } else {
      this->slots.Release(ended.target);
    }
    this->RecordResult(now, state.request.row, ended, end.result);
    this->DecrementInFlight(now, ended.target);
    if (ran) {
      this->CancelAttempts(now, end.id, state);
      this->actions.complete.push_back({end.id, end.attempt});
      this->Remove(end.id, state);
    } else {
      const bool broken = end.result == AttemptResult::kBroken;
      state.may_have_run = state.may_have_run || broken;
      if (state.attempts.empty()) {
        this->RetryOrEnd(now, end.id, state, ended.target,
                         broken ? RefusalKind::kTargetFailed : RefusalKind::kOverloaded);
      }
    }
    this->Dispatch(now);
  }

  void RecordResult(TimePoint now, RowIndex row_index, const Attempt& attempt,
                    AttemptResult result) {
    // A refusal means that another holder took the slot first; it says nothing about the target.
    if (result == AttemptResult::kRefused) return;
    const bool fault = result != AttemptResult::kRan;
    this->health.OnResult(now, attempt.target, row_index, fault, result == AttemptResult::kNotSent);
    if (result == AttemptResult::kNotSent || result == AttemptResult::kBroken) return;
    this->service_rate.OnCompletion(now);
    RowState& row = this->rows[row_index];
    const Duration latency = now - attempt.sent;
    const auto latency_us = static_cast<double>(latency.count());
    if (row.mean_us > 0) {
      double& relative = this->index.Load(attempt.target).latency;
      relative += kLatencySmoothing * (latency_us / row.mean_us - relative);
    }
    row.OnLatency(latency_us);
    this->limit.OnResponse(now, latency, this->in_flight);
  }

  void OnDeadline(TimePoint now, RequestId id) {
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) return;
    RequestState& state = found->second;
    if (state.phase == Phase::kRunning || state.phase == Phase::kRelayed) state.may_have_run = true;
    for (const Attempt& attempt : state.attempts) {
      this->health.OnResult(now, attempt.target, state.request.row, true, false);
      this->limit.OnCancelled(now - attempt.sent);
    }
    this->CancelAttempts(now, id, state);
    this->EndRefused(id, state, RefusalKind::kDeadline);
  }

  template <typename Handler>
  void RunDue(TimePoint now, Timers& timers, Handler handler) {
    while (!timers.empty() && timers.top().due <= now) {
      const Timer timer = timers.top();
      timers.pop();
      handler(timer);
    }
  }

  void Tick(TimePoint now) {
    this->RunDue(now, this->deadlines, [&](const Timer& t) { this->OnDeadline(now, t.id); });
    this->RunDue(now, this->backoffs, [&](const Timer& timer) {
      const auto found = this->requests.find(timer.id);
      if (found == this->requests.end() || found->second.phase != Phase::kBackoff) return;
      found->second.phase = Phase::kWaiting;
      this->queue.Push(found->second.request.row, timer.id);
    });
    this->RunDue(now, this->hedges, [&](const Timer& timer) { this->Hedge(now, timer); });
    for (const TargetIndex target : this->health.Tick(now)) this->Refresh(now, target);
    this->Dispatch(now);
  }
};

Router::Router(RouterSettings settings, SlotSource& slots)
    : d(std::make_unique<Private>(std::move(settings), slots)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::SetRows(std::vector<RowSpec> rows) {
  // With a shorter list, the state of the removed rows stays for their running requests. The caller
  // maps row names to numbers and refuses new requests of removed rows.
  this->d->rows.resize(std::max(rows.size(), this->d->rows.size()));
  for (std::size_t i = 0; i < rows.size(); ++i) {
    this->d->queue.SetWeight(static_cast<RowIndex>(i), rows[i].weight);
    this->d->rows[i].rate.SetRate(rows[i].limit_rate);
    this->d->rows[i].spec = std::move(rows[i]);
  }
}

void Router::SetDomains(std::vector<DomainState> domains) { this->d->domains = std::move(domains); }

void Router::SetTarget(TimePoint now, TargetIndex target, bool usable, double slowdown) {
  if (target >= this->d->targets.size()) this->d->targets.resize(target + 1UL);
  bool& was_usable = this->d->targets[target].usable;
  if (std::exchange(was_usable, usable) != usable) {
    usable ? ++this->d->usable_targets : --this->d->usable_targets;
  }
  this->d->health.SetTargetCount(this->d->usable_targets);
  this->d->index.Load(target).slowdown = slowdown;
  this->RefreshTarget(now, target);
}

void Router::RefreshTarget(TimePoint now, TargetIndex target) {
  this->d->Refresh(now, target);
  if (this->d->queue.Size() > 0) this->d->Dispatch(now);
}

void Router::Drain() { this->d->draining = true; }

void Router::Submit(TimePoint now, const Request& request) { this->d->Submit(now, request); }

void Router::OnAttemptEnd(TimePoint now, const AttemptEnd& end) { this->d->OnAttemptEnd(now, end); }

void Router::OnRelayEnd(TimePoint now, RequestId id, Outcome outcome) {
  const auto found = this->d->requests.find(id);
  if (found == this->d->requests.end() || found->second.phase != Phase::kRelayed) return;
  RequestState& state = found->second;
  if (outcome == Outcome::kRan) {
    this->d->actions.complete.push_back({id, 0});
    this->d->Remove(id, state);
  } else if (outcome == Outcome::kUnknown) {
    state.may_have_run = true;
    this->d->EndRefused(id, state, RefusalKind::kTargetFailed);
  } else {
    // The request did not run in the other domain: it is queued here and not relayed again.
    state.request.relayed = true;
    this->d->Admit(now, state);
  }
}

void Router::Tick(TimePoint now) { this->d->Tick(now); }

Actions Router::TakeActions() { return std::exchange(this->d->actions, {}); }

int Router::WantedSlots() const {
  const auto needed =
      static_cast<double>(this->d->in_flight) + static_cast<double>(this->d->queue.Size());
  // Two standard deviations of a Poisson process as headroom until the next renewal of the leases.
  // With much more, all demands in a busy domain would look alike and slots would not follow the
  // load.
  return static_cast<int>(needed + 2 * std::sqrt(needed)) + 1;
}

Duration Router::EstimatedWait(RowIndex row) const { return this->d->Wait(row); }
std::size_t Router::Waiting() const { return this->d->queue.Size(); }
int Router::InFlight() const { return this->d->in_flight; }
BreakerState Router::StateOf(TargetIndex target) const { return this->d->health.StateOf(target); }
const RouterCounts& Router::Counts() const { return this->d->counts; }

}  // namespace mangoroad::routing
