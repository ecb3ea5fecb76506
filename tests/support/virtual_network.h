// Virtual time, processes and an unreliable network for history tests. Everything follows from one
// seed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace mangoroad::testing {

using base::Duration;
using base::TimePoint;

/// Probabilities and delays of messages between two nodes.
struct LinkFaults {
  double loss = 0.0;
  double duplicate = 0.0;
  Duration shortest{200};
  Duration longest{2000};  ///< Messages overtake each other, as delays are independent.
};

/// Runs events in order of virtual time. A node is a VM; its generation is one start of a process.
class VirtualNetwork {
 public:
  VirtualNetwork(std::uint64_t seed, int nodes)
      : random(seed), generations(nodes, 1), paused_until(nodes), clocks(nodes) {
    for (Clock& clock : this->clocks) {
      clock.offset = this->random.Between(std::chrono::seconds(10), std::chrono::hours(1));
      // Two clocks drift apart by at most 0.8%, inside the allowance of 1%.
      clock.rate = 0.996 + 0.008 * this->random.Unit();
    }
  }

  base::Random random;
  LinkFaults faults;

  [[nodiscard]] TimePoint Now() const { return this->now; }
  [[nodiscard]] int Generation(int node) const { return this->generations[node]; }
  /// The node's own monotonic clock.
  [[nodiscard]] TimePoint LocalNow(int node) const {
    const Clock& clock = this->clocks[node];
    const auto elapsed = static_cast<double>(this->now.time_since_epoch().count());
    return TimePoint(clock.offset + Duration(static_cast<Duration::rep>(elapsed * clock.rate)));
  }

  /// Runs `action` at a node after `delay`, unless its process has ended by then.
  void After(int node, Duration delay, std::function<void()> action) {
    this->Push(this->now + delay, node, this->generations[node], std::move(action));
  }

  /// Sends a message, which may be lost, cut, delayed, repeated or overtaken. It reaches whichever
  /// process runs at the receiver.
  void Send(int from, int to, const std::function<void()>& deliver) {
    this->Send(from, to, this->faults, deliver);
  }
  void Send(int from, int to, const LinkFaults& link, const std::function<void()>& deliver) {
    if (this->IsCut(from, to) || this->random.Chance(link.loss)) return;
    const int copies = this->random.Chance(link.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const Duration delay = this->random.Between(link.shortest, link.longest);
      this->Push(this->now + delay, to, kAnyGeneration, [this, from, to, deliver] {
        if (!this->IsCut(from, to)) deliver();
      });
    }
  }

  /// Cuts one direction of a link.
  void Cut(int from, int to, Duration length) { this->cuts[{from, to}] = this->now + length; }
  void Pause(int node, Duration length) { this->paused_until[node] = this->now + length; }
  /// Ends the process of a node; its pending events are dropped.
  void EndProcess(int node) { this->generations[node] += 1; }

  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.top().time <= end) {
      Event event = this->events.top();
      this->events.pop();
      this->now = std::max(this->now, event.time);
      if (this->paused_until[event.node] > this->now) {
        event.time = this->paused_until[event.node];
        this->events.push(std::move(event));
        continue;
      }
      if (event.generation == kAnyGeneration || event.generation == this->generations[event.node]) {
        event.action();
      }
    }
    this->now = end;
  }

 private:
  static constexpr int kAnyGeneration = 0;

  struct Clock {
    Duration offset{};
    double rate = 1.0;
  };
  struct Event {
    TimePoint time;
    std::uint64_t order = 0;
    int node = 0;
    int generation = 0;
    std::function<void()> action;

    friend bool operator>(const Event& a, const Event& b) {
      return std::pair(a.time, a.order) > std::pair(b.time, b.order);
    }
  };

  [[nodiscard]] bool IsCut(int from, int to) const {
    const auto cut = this->cuts.find({from, to});
    return cut != this->cuts.end() && this->now < cut->second;
  }
  void Push(TimePoint time, int node, int generation, std::function<void()> action) {
    this->events.push({time, this->next_order++, node, generation, std::move(action)});
  }

  TimePoint now;
  std::vector<int> generations;
  std::vector<TimePoint> paused_until;
  std::vector<Clock> clocks;
  std::map<std::pair<int, int>, TimePoint> cuts;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t next_order = 0;
};

}  // namespace mangoroad::testing
