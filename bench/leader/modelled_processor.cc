#include "modelled_processor.h"

#include <ctime>
#include <utility>

namespace mangoroad::bench {

base::TimePoint ThreadProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return base::TimePoint(std::chrono::duration_cast<base::Duration>(
      std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

void VirtualClock::After(base::Duration delay, std::function<void()> action) {
  this->entries.push({this->now + delay, this->next_number++, std::move(action)});
}

void VirtualClock::RunFor(base::Duration duration) {
  const base::TimePoint end = this->now + duration;
  while (!this->entries.empty() && this->entries.top().at <= end) {
    const Entry entry = this->entries.top();
    this->entries.pop();
    this->now = entry.at;
    entry.action();
  }
  this->now = end;
}

void ModelledProcessor::Run(std::function<void()> work, base::Duration extra,
                            base::Duration blocked) {
  this->items.push_back({std::move(work), extra, blocked});
  if (!std::exchange(this->is_busy, true)) this->RunNext();
}

void ModelledProcessor::RunNext() {
  const Item item = std::move(this->items.front());
  this->items.pop_front();
  const base::TimePoint begin = ThreadProcessorTime();
  item.work();
  const auto used = static_cast<double>((ThreadProcessorTime() - begin + item.extra).count());
  const base::Duration elapsed =
      base::Duration(static_cast<std::int64_t>(used / this->share)) + item.blocked;
  this->occupied += elapsed;
  this->clock.After(elapsed, [this] {
    this->is_busy = !this->items.empty();
    if (this->is_busy) this->RunNext();
  });
}

}  // namespace mangoroad::bench
