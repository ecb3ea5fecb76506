// HTTP server of the stand-in target, and its announcements and reports on one event loop.
#pragma once

#include <memory>
#include <string>

#include "options.h"

namespace mangoroad::standin {

/// Runs until it has left after SIGTERM or SIGINT.
class TargetServer {
 public:
  explicit TargetServer(Options options);
  ~TargetServer();
  TargetServer(const TargetServer&) = delete;
  TargetServer& operator=(const TargetServer&) = delete;

  /// Exit code: 0 after a leave that the owner confirmed, 1 when it ran out of time, 3 when the
  /// address can't be listened on, 4 when the record can't be written.
  int Run();

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::standin
