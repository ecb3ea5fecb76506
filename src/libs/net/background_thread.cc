#include "net/background_thread.h"

#include <event2/event.h>
#include <event2/util.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace mangoroad::net {

struct BackgroundThread::Private {
  struct Item {
    std::function<void()> work;
    EventLoop::Callback completed;
  };

  explicit Private(EventLoop& event_loop) {
    if (pipe2(this->wake_pipe.data(), O_NONBLOCK | O_CLOEXEC) != 0) this->wake_pipe = {-1, -1};
    this->wake_event = event_new(
        event_loop.Base(), this->wake_pipe[0], EV_READ | EV_PERSIST,
        [](evutil_socket_t, std::int16_t, void* self) {
          static_cast<Private*>(self)->RunCompletions();
        },
        this);
    event_priority_set(this->wake_event, PriorityOf(Urgency::kUrgent));
    event_add(this->wake_event, nullptr);
    this->thread = std::thread([this] { this->RunWork(); });
  }
  ~Private() {
    {
      const std::lock_guard lock(this->mutex);
      this->is_stopping = true;
    }
    this->work_available.notify_one();
    this->thread.join();
    event_free(this->wake_event);
    for (const int descriptor : this->wake_pipe) close(descriptor);
  }
  Private(const Private&) = delete;
  Private& operator=(const Private&) = delete;

  std::optional<Item> TakeWork() {
    std::unique_lock lock(this->mutex);
    this->work_available.wait(lock, [this] { return this->is_stopping || !this->queue.empty(); });
    if (this->is_stopping) return std::nullopt;
    Item item = std::move(this->queue.front());
    this->queue.pop_front();
    return item;
  }

  void RunWork() {
    while (std::optional<Item> item = this->TakeWork()) {
      item->work();
      {
        const std::lock_guard lock(this->mutex);
        this->completions.push_back(std::move(item->completed));
      }
      // A full pipe already wakes the loop.
      [[maybe_unused]] const ssize_t written = write(this->wake_pipe[1], "", 1);
    }
  }

  void RunCompletions() {
    std::array<char, 64> ignored{};
    while (read(this->wake_pipe[0], ignored.data(), ignored.size()) > 0) {
    }
    std::deque<EventLoop::Callback> ready;
    {
      const std::lock_guard lock(this->mutex);
      ready = std::exchange(this->completions, {});
    }
    for (const EventLoop::Callback& callback : ready) callback();
  }

  std::array<int, 2> wake_pipe{-1, -1};
  event* wake_event = nullptr;
  /// Protects the members below.
  std::mutex mutex;
  std::condition_variable work_available;
  std::deque<Item> queue;
  std::deque<EventLoop::Callback> completions;
  bool is_stopping = false;
  std::thread thread;
};

BackgroundThread::BackgroundThread(EventLoop& event_loop)
    : d(std::make_unique<Private>(event_loop)) {}

BackgroundThread::~BackgroundThread() = default;

void BackgroundThread::Run(std::function<void()> work, EventLoop::Callback completed) {
  {
    const std::lock_guard lock(this->d->mutex);
    this->d->queue.push_back({std::move(work), std::move(completed)});
  }
  this->d->work_available.notify_one();
}

}  // namespace mangoroad::net
