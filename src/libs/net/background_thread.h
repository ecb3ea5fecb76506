// Runs calls that block, such as syncs of a disk, beside the event loop.
#pragma once

#include <functional>
#include <memory>

#include "net/event_loop.h"

namespace mangoroad::net {

/// One thread that runs one piece of work after the other. All decisions stay on the loop's thread:
/// work must use nothing that the loop uses at the same time.
class BackgroundThread {
 public:
  explicit BackgroundThread(EventLoop& event_loop);
  /// Waits for the work in progress; work that hasn't begun and completions that are still to come
  /// are dropped.
  ~BackgroundThread();
  BackgroundThread(const BackgroundThread&) = delete;
  BackgroundThread& operator=(const BackgroundThread&) = delete;

  /// Runs `work` on the thread, then `completed` on the loop.
  void Run(std::function<void()> work, EventLoop::Callback completed);

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::net
