#include "net/event_loop.h"

#include <event2/event.h>
#include <event2/util.h>
#include <sys/resource.h>

#include <csignal>
#include <ctime>
#include <utility>

#include "log/log.h"
#include "log/repeat_limit.h"

namespace mangoroad::net {

struct Timer::Private {
  event* handle = nullptr;
  EventLoop::Callback callback;

  Private() = default;
  Private(const Private&) = delete;
  Private& operator=(const Private&) = delete;
  ~Private() {
    if (this->handle != nullptr) event_free(this->handle);
  }
};

Timer::Timer() = default;
Timer::~Timer() = default;
Timer::Timer(Timer&&) noexcept = default;
Timer& Timer::operator=(Timer&&) noexcept = default;

struct EventLoop::Private {
  event_base* base = nullptr;
};

namespace {

timeval ToTimeval(base::Duration duration) {
  const auto count = duration.count() < 0 ? 0 : duration.count();
  return {static_cast<time_t>(count / 1'000'000), static_cast<suseconds_t>(count % 1'000'000)};
}

/// Runs a copy, since the callback may destroy the timer that holds it.
void RunCallback(evutil_socket_t /*fd*/, std::int16_t /*what*/, void* argument) {
  const EventLoop::Callback callback = *static_cast<EventLoop::Callback*>(argument);
  callback();
}

/// A posted callback and the event that runs it.
struct Posted {
  EventLoop::Callback callback;
  event* handle = nullptr;

  explicit Posted(EventLoop::Callback posted_callback) : callback(std::move(posted_callback)) {}
  Posted(const Posted&) = delete;
  Posted& operator=(const Posted&) = delete;
  ~Posted() {
    if (this->handle != nullptr) event_free(this->handle);
  }
};

void RunPosted(evutil_socket_t /*fd*/, std::int16_t /*what*/, void* argument) {
  const std::unique_ptr<Posted> posted(static_cast<Posted*>(argument));
  posted->callback();
}

/// Normal events in a row after which the loop looks for urgent ones. Each look is a system call.
constexpr int kNormalEventsInARow = 16;

event_base* MakeBase() {
  event_config* config = event_config_new();
  event_config_set_max_dispatch_interval(config, nullptr, kNormalEventsInARow,
                                         PriorityOf(Urgency::kNormal));
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  event_base_priority_init(base, PriorityOf(Urgency::kNormal) + 1);
  return base;
}

base::Duration ReadClock(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return std::chrono::duration_cast<base::Duration>(std::chrono::seconds(time.tv_sec) +
                                                    std::chrono::nanoseconds(time.tv_nsec));
}

/// Messages of libevent go through the project's log; a repeated one is summed.
void LogLibevent(int severity, const char* message) {
  static log::RepeatLimit limit(std::chrono::seconds(1));
  const std::uint64_t times = limit.Count(base::TimePoint(ReadClock(CLOCK_BOOTTIME)), message);
  if (times == 0 || severity < EVENT_LOG_MSG) return;
  log::Warning(log::Category::kNet, "libevent", {{"message", message}, {"times", times}});
}

}  // namespace

EventLoop::EventLoop() : d(std::make_unique<Private>()) {
  // Writing to a connection that the peer closed must give an error, not end the process.
  std::signal(SIGPIPE, SIG_IGN);  // NOLINT(cert-err33-c)
  event_set_log_callback(LogLibevent);
  this->d->base = MakeBase();
}

EventLoop::~EventLoop() { event_base_free(this->d->base); }

base::TimePoint EventLoop::Now() const {
  // CLOCK_BOOTTIME also counts the time during which the VM was suspended, so leases end then, too.
  return base::TimePoint(ReadClock(CLOCK_BOOTTIME));
}

base::WallMilliseconds EventLoop::WallNow() const {
  return base::ToMilliseconds(ReadClock(CLOCK_REALTIME));
}

base::Duration EventLoop::ProcessorTime() const {
  // The processor clocks of the users' bench go on while a process waits; its rusage doesn't.
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto of = [](const timeval& time) {
    return base::Duration(std::chrono::seconds(time.tv_sec) +
                          std::chrono::microseconds(time.tv_usec));
  };
  return of(usage.ru_utime) + of(usage.ru_stime);
}

std::uint64_t EventLoop::RandomBits() const {
  std::uint64_t bits = 0;
  evutil_secure_rng_get_bytes(&bits, sizeof(bits));
  return bits;
}

Timer EventLoop::After(base::Duration delay, Callback callback) {
  Timer timer;
  timer.d = std::make_unique<Timer::Private>();
  timer.d->callback = std::move(callback);
  timer.d->handle = event_new(this->d->base, -1, 0, RunCallback, &timer.d->callback);
  event_priority_set(timer.d->handle, PriorityOf(Urgency::kNormal));
  const timeval time = ToTimeval(delay);
  event_add(timer.d->handle, &time);
  return timer;
}

Timer EventLoop::Every(base::Duration interval, Callback callback, Urgency urgency) {
  Timer timer;
  timer.d = std::make_unique<Timer::Private>();
  timer.d->callback = std::move(callback);
  timer.d->handle = event_new(this->d->base, -1, EV_PERSIST, RunCallback, &timer.d->callback);
  event_priority_set(timer.d->handle, PriorityOf(urgency));
  const timeval time = ToTimeval(interval);
  event_add(timer.d->handle, &time);
  return timer;
}

void EventLoop::Post(Callback callback, Urgency urgency) {
  auto* posted = new Posted(std::move(callback));  // RunPosted() deletes it.
  event* handle = event_new(this->d->base, -1, 0, RunPosted, posted);
  posted->handle = handle;
  event_priority_set(handle, PriorityOf(urgency));
  // Unlike timers, activated events run in the order in which they were activated.
  event_active(handle, EV_TIMEOUT, 1);
}

void PostScope::Post(EventLoop::Callback callback, Urgency urgency) {
  this->loop.Post(
      [watch = std::weak_ptr(this->alive), callback = std::move(callback)] {
        if (!watch.expired()) callback();
      },
      urgency);
}

Timer EventLoop::OnSignal(int number, Callback callback) {
  Timer timer;
  timer.d = std::make_unique<Timer::Private>();
  timer.d->callback = std::move(callback);
  timer.d->handle =
      event_new(this->d->base, number, EV_SIGNAL | EV_PERSIST, RunCallback, &timer.d->callback);
  event_add(timer.d->handle, nullptr);
  return timer;
}

void EventLoop::Run() { event_base_dispatch(this->d->base); }

void EventLoop::Stop() { event_base_loopbreak(this->d->base); }

event_base* EventLoop::Base() const { return this->d->base; }

}  // namespace mangoroad::net
