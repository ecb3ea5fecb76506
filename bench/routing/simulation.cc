#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <numeric>
#include <queue>
#include <string>
#include <unordered_set>

#include "base/random.h"
#include "lending/owner.h"
#include "routing/holder_slots.h"
#include "routing/router.h"

namespace mangoroad::bench {
namespace {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;

constexpr Duration kTickEvery = milliseconds(2);
constexpr Duration kLendingEvery = milliseconds(20);
constexpr Duration kEntryLink{250};

// Arrivals and service times, equal for equal seeds whatever the policy.
class Workload {
 public:
  explicit Workload(const Scenario& own)
      : scenario(own), arrivals(own.seed), services(own.seed + 1) {}

  Duration NextGap() {
    const double rate = this->scenario.load * this->scenario.targets * this->scenario.slots /
                        static_cast<double>(this->scenario.mean_service.count());
    return Duration(std::lround(this->arrivals.Exponential(1 / rate)));
  }
  Duration Service(int target) {
    const bool slow = target < this->scenario.slow_part * this->scenario.targets;
    const double factor = slow ? this->scenario.slow_factor : 1.0;
    return Duration(static_cast<Duration::rep>(
        factor *
        this->services.Exponential(static_cast<double>(this->scenario.mean_service.count()))));
  }

 private:
  const Scenario& scenario;
  base::Random arrivals;
  base::Random services;
};

class Recorder {
 public:
  explicit Recorder(const Scenario& own) : scenario(own) {}

  void OnSubmit(TimePoint now) { this->submitted += this->Counts(now) ? 1 : 0; }
  void OnRefuse(TimePoint submitted_at) { this->refused += this->Counts(submitted_at) ? 1 : 0; }
  void OnComplete(TimePoint submitted_at, TimePoint now) {
    if (!this->Counts(submitted_at)) return;
    this->result.latencies.push_back(now - submitted_at);
    if (now - submitted_at <= this->scenario.deadline) ++this->good;
  }
  Measurement Take() {
    std::ranges::sort(this->result.latencies);
    const double measured =
        std::chrono::duration<double>(this->scenario.length - this->scenario.warm_up).count();
    const double capacity = this->scenario.targets * this->scenario.slots /
                            std::chrono::duration<double>(this->scenario.mean_service).count();
    this->result.goodput = this->good / (capacity * measured);
    this->result.refused = this->refused / std::max(1.0, this->submitted);
    return std::move(this->result);
  }

 private:
  [[nodiscard]] bool Counts(TimePoint submitted_at) const {
    return submitted_at >= TimePoint(this->scenario.warm_up);
  }

  const Scenario& scenario;
  Measurement result;
  double submitted = 0;
  double refused = 0;
  double good = 0;
};

struct Event {
  TimePoint time;
  std::function<void()> action;

  friend bool operator>(const Event& a, const Event& b) { return a.time > b.time; }
};

class Events {
 public:
  [[nodiscard]] TimePoint Now() const { return this->now; }
  void After(Duration delay, std::function<void()> action) {
    this->queue.push({this->now + delay, std::move(action)});
  }
  void RunUntil(TimePoint end) {
    while (!this->queue.empty() && this->queue.top().time <= end) {
      const Event event = this->queue.top();
      this->queue.pop();
      this->now = event.time;
      event.action();
    }
  }

 private:
  TimePoint now;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue;
};

// Each target's slots belong to the only entry VM.
class FixedSlots : public routing::SlotSource {
 public:
  FixedSlots(int targets, int slots) : free(targets, slots) {}
  std::optional<lending::Fence> Acquire(TimePoint /*now*/, lending::TargetIndex target) override {
    if (this->free[target] == 0) return std::nullopt;
    --this->free[target];
    return lending::Fence{};
  }
  void Release(lending::TargetIndex target) override { ++this->free[target]; }
  void Abandon(lending::TargetIndex /*target*/, TimePoint /*until*/) override {}
  int FreeSlots(TimePoint /*now*/, lending::TargetIndex target) const override {
    return this->free[target];
  }

 private:
  std::vector<int> free;
};

struct EntryVm {
  std::unique_ptr<lending::Owner> owner;
  std::unique_ptr<lending::Holder> holder;
  std::unique_ptr<routing::SlotSource> slots;
  std::unique_ptr<routing::Router> router;
};

class RouterSimulation {
 public:
  explicit RouterSimulation(const Scenario& own)
      : scenario(own),
        workload(own),
        recorder(own),
        random(own.seed + 2),
        running(own.targets),
        target_indexes(own.targets) {
    std::iota(target_indexes.begin(), target_indexes.end(), 0);
    for (int i = 0; i < own.entries; ++i) this->AddEntry(i);
    if (own.entries > 1) {
      this->Announce();
      this->Lend();
    }
    this->Tick();
    this->Arrive();
  }

  Measurement Run() {
    this->events.RunUntil(TimePoint(this->scenario.length));
    return this->recorder.Take();
  }

 private:
  [[nodiscard]] bool Lends() const { return this->scenario.entries > 1; }
  static std::string Identity(int entry) { return std::to_string(entry); }

  void AddEntry(int i) {
    EntryVm entry;
    if (this->Lends()) {
      entry.owner = std::make_unique<lending::Owner>(Identity(i), this->random.Bits());
      entry.holder = std::make_unique<lending::Holder>(Identity(i));
      entry.slots = std::make_unique<routing::HolderSlots>(*entry.holder);
    } else {
      entry.slots = std::make_unique<FixedSlots>(this->scenario.targets, this->scenario.slots);
    }
    routing::RouterSettings settings;
    settings.strategy = this->scenario.strategy;
    settings.seed = this->scenario.seed + 10 + static_cast<std::uint64_t>(i);
    entry.router = std::make_unique<routing::Router>(settings, *entry.slots);
    entry.router->SetRows({{"service", 1, 0, 0, 0, false, {}}});
    for (int target = 0; target < this->scenario.targets; ++target) {
      const auto index = static_cast<lending::TargetIndex>(target);
      if (this->Lends()) {
        const int owner = target % this->scenario.entries;
        entry.holder->SetOwner(std::to_string(target), Identity(owner), {1, 1});
      }
      entry.router->SetTarget(this->events.Now(), index, true);
    }
    this->entries.push_back(std::move(entry));
  }

  // The targets announce every 500 ms, each returning the nonce of the answer before.
  void Announce() {
    this->nonces.resize(this->scenario.targets);
    for (int repeat = 0; repeat < 2; ++repeat) {
      for (int target = 0; target < this->scenario.targets; ++target) {
        lending::Owner& owner = *this->entries[target % this->scenario.entries].owner;
        lending::Announcement message{
            std::to_string(target), "",   {1, 1}, this->nonces[target], {this->scenario.slots, 64},
            this->running[target],  false};
        this->nonces[target] = owner.OnAnnouncement(this->events.Now(), message).nonce;
      }
    }
    this->events.After(lending::kAnnouncementInterval, [this] { this->Announce(); });
  }

  void Lend() {
    const TimePoint now = this->events.Now();
    for (EntryVm& entry : this->entries) {
      auto& slots = dynamic_cast<routing::HolderSlots&>(*entry.slots);
      slots.SpreadDemand(this->target_indexes, entry.router->WantedSlots(), 0);
      for (const lending::LendMessage& recall : entry.owner->Tick(now)) this->Deliver(recall);
      for (const lending::BorrowRequest& borrow : entry.holder->Tick(now)) {
        this->events.After(kEntryLink, [this, borrow] {
          lending::Owner& owner = *this->entries[std::stoi(borrow.owner)].owner;
          this->Deliver(owner.OnBorrowRequest(this->events.Now(), borrow));
        });
      }
    }
    this->events.After(kLendingEvery, [this] { this->Lend(); });
  }

  void Deliver(const lending::LendMessage& lend) {
    this->events.After(kEntryLink, [this, lend] {
      const int entry = std::stoi(lend.holder);
      this->entries[entry].holder->OnLendMessage(this->events.Now(), lend);
      for (const auto target : this->entries[entry].holder->TakeChanged()) {
        this->entries[entry].router->RefreshTarget(this->events.Now(), target);
      }
      this->Flush(entry);
    });
  }

  void Tick() {
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      this->entries[i].router->Tick(this->events.Now());
      this->Flush(static_cast<int>(i));
    }
    this->events.After(kTickEvery, [this] { this->Tick(); });
  }

  void Arrive() {
    const TimePoint now = this->events.Now();
    const auto entry =
        static_cast<int>(this->random.Below(static_cast<std::uint32_t>(this->scenario.entries)));
    const routing::RequestId id = this->submitted.size();
    this->submitted.push_back(now);
    this->recorder.OnSubmit(now);
    this->entries[entry].router->Submit(now, {id, 0, now + this->scenario.deadline});
    this->Flush(entry);
    this->events.After(this->workload.NextGap(), [this] { this->Arrive(); });
  }

  void Flush(int entry) {
    const routing::Actions actions = this->entries[entry].router->TakeActions();
    for (const routing::SendAction& send : actions.send) {
      const auto target = static_cast<int>(send.target);
      this->running[target][Identity(entry)].slots += 1;
      this->events.After(this->workload.Service(target), [this, entry, send, target] {
        this->running[target][Identity(entry)].slots -= 1;
        // The target runs a request past its deadline to the end, and the slot is free then.
        if (this->cancelled.erase(send.id) > 0 && !this->Lends()) {
          this->entries[entry].slots->Release(send.target);
          this->entries[entry].router->RefreshTarget(this->events.Now(), send.target);
        }
        this->entries[entry].router->OnAttemptEnd(
            this->events.Now(), {send.id, send.attempt, routing::AttemptResult::kRan});
        this->Flush(entry);
      });
    }
    for (const routing::CancelAction& cancel : actions.cancel) this->cancelled.insert(cancel.id);
    for (const routing::RefuseAction& refuse : actions.refuse) {
      this->recorder.OnRefuse(this->submitted[refuse.id]);
    }
    for (const routing::CompleteAction& complete : actions.complete) {
      this->recorder.OnComplete(this->submitted[complete.id], this->events.Now());
    }
  }

  const Scenario& scenario;
  Workload workload;
  Recorder recorder;
  base::Random random;
  Events events;
  std::vector<EntryVm> entries;
  std::unordered_set<routing::RequestId> cancelled;
  std::vector<std::uint64_t> nonces;
  std::vector<std::map<std::string, lending::Amount>> running;
  std::vector<lending::TargetIndex> target_indexes;
  std::vector<TimePoint> submitted;
};

}  // namespace

double Measurement::PercentileMs(double part) const {
  if (this->latencies.empty()) return 0;
  const auto last = static_cast<double>(this->latencies.size() - 1);
  return std::chrono::duration<double, std::milli>(
             this->latencies[static_cast<std::size_t>(std::lround(part * last))])
      .count();
}

Measurement SimulateRouters(const Scenario& scenario) { return RouterSimulation(scenario).Run(); }

Measurement SimulateSharedQueue(const Scenario& scenario) {
  Workload workload(scenario);
  Recorder recorder(scenario);
  // Times at which slots become free, with their target.
  using Slot = std::pair<TimePoint, int>;
  std::priority_queue<Slot, std::vector<Slot>, std::greater<>> slots;
  for (int i = 0; i < scenario.targets * scenario.slots; ++i) {
    slots.emplace(TimePoint{}, i % scenario.targets);
  }
  TimePoint now;
  const TimePoint end(scenario.length);
  while (now < end) {
    recorder.OnSubmit(now);
    const auto [free_at, target] = slots.top();
    slots.pop();
    const TimePoint done = std::max(now, free_at) + workload.Service(target);
    slots.emplace(done, target);
    if (done <= end) recorder.OnComplete(now, done);
    now += workload.NextGap();
  }
  return recorder.Take();
}

}  // namespace mangoroad::bench
