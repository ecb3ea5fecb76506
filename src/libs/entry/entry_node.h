// An entry VM: joins routing, lending, the replicated log and scheduling to the event loop.
#pragma once

#include <functional>
#include <memory>

#include "base/result.h"
#include "entry/entry_error.h"

namespace mangoroad::net {
class EventLoop;
}

namespace mangoroad::settings {
struct Settings;
}

namespace mangoroad::entry {

class EntryNode {
 public:
  EntryNode(net::EventLoop& loop, const settings::Settings& settings);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  /// Reads the data folder, listens and connects to the peers.
  base::Result<base::Done, EntryError> Start();

  /// Graceful stop: refuses new work, hands over leadership, lets requests in progress end, then
  /// calls `done`. Requests that still run after the drain time of the settings are abandoned.
  void Drain(std::function<void()> done);

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::entry
