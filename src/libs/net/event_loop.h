// The event loop of a process, over libevent. The only place of the libraries that reads a clock.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/time.h"

struct event_base;

namespace mangoroad::net {

/// When the loop is behind, urgent events go before all others: the replicated log and what tells
/// replicas that this one is alive must not wait behind requests.
enum class Urgency : std::uint8_t { kUrgent, kNormal };

/// Priority of libevent for events of `urgency`.
constexpr int PriorityOf(Urgency urgency) { return static_cast<int>(urgency); }

/// A timer that stops when this handle is destroyed.
class Timer {
 public:
  Timer();
  ~Timer();
  Timer(Timer&&) noexcept;
  Timer& operator=(Timer&&) noexcept;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

 private:
  friend class EventLoop;
  struct Private;
  std::unique_ptr<Private> d;
};

/// One loop on one thread. All callbacks run on the thread that calls Run().
class EventLoop {
 public:
  using Callback = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// The monotonic clock of this VM, read now and not cached, so that it is true after a pause of
  /// the process.
  [[nodiscard]] base::TimePoint Now() const;
  /// Wall clock, only for labels of records.
  [[nodiscard]] base::WallMilliseconds WallNow() const;

  /// Processor time that this process has used so far.
  [[nodiscard]] base::Duration ProcessorTime() const;

  /// Random bits from the operating system, for identities and nonces.
  [[nodiscard]] std::uint64_t RandomBits() const;

  /// Calls `callback` once after `delay`.
  [[nodiscard]] Timer After(base::Duration delay, Callback callback);
  /// Calls `callback` every `interval` until the handle is destroyed.
  [[nodiscard]] Timer Every(base::Duration interval, Callback callback,
                            Urgency urgency = Urgency::kNormal);
  /// Calls `callback` in the next round of the loop, whatever it captured; see PostScope.
  void Post(Callback callback, Urgency urgency = Urgency::kNormal);
  /// Calls `callback` for each signal `number` until the handle is destroyed.
  [[nodiscard]] Timer OnSignal(int number, Callback callback);

  /// Runs until Stop().
  void Run();
  void Stop();

  [[nodiscard]] event_base* Base() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

/// Posts callbacks of one object to a loop; those that are still to come end with this scope, so
/// they may capture the object that holds it.
class PostScope {
 public:
  explicit PostScope(EventLoop& event_loop) : loop(event_loop) {}
  PostScope(const PostScope&) = delete;
  PostScope& operator=(const PostScope&) = delete;

  /// Calls `callback` in the next round of the loop, unless this scope has ended.
  void Post(EventLoop::Callback callback, Urgency urgency = Urgency::kNormal);

 private:
  EventLoop& loop;
  /// Only its lifetime counts.
  std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
};

}  // namespace mangoroad::net
