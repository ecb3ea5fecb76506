// A processor with a share of a core, under virtual time. Work takes the processor time that this
// machine measures for it, divided by the share, and waits while earlier work is in progress.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

#include "base/time.h"

namespace mangoroad::bench {

/// Processor time of this thread.
base::TimePoint ThreadProcessorTime();

class VirtualClock {
 public:
  [[nodiscard]] base::TimePoint Now() const { return this->now; }
  void After(base::Duration delay, std::function<void()> action);
  void RunFor(base::Duration duration);

 private:
  struct Entry {
    base::TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Entry& other) const {
      return std::tie(other.at, other.number) < std::tie(this->at, this->number);
    }
  };
  base::TimePoint now{std::chrono::seconds(1'000)};
  std::uint64_t next_number = 0;
  std::priority_queue<Entry> entries;
};

class ModelledProcessor {
 public:
  ModelledProcessor(VirtualClock& virtual_clock, double core_share)
      : clock(virtual_clock), share(core_share) {}

  /// Runs `work` as soon as the processor is free. `extra` is processor time that the work itself
  /// doesn't show, for example of sockets; `blocked` is time during which the thread waits.
  void Run(std::function<void()> work, base::Duration extra = {}, base::Duration blocked = {});
  /// Time during which the processor or the thread was occupied.
  [[nodiscard]] base::Duration Occupied() const { return this->occupied; }

 private:
  struct Item {
    std::function<void()> work;
    base::Duration extra;
    base::Duration blocked;
  };
  void RunNext();

  VirtualClock& clock;
  double share;
  bool is_busy = false;
  std::deque<Item> items;
  base::Duration occupied{};
};

}  // namespace mangoroad::bench
