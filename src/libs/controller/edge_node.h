// The edge role: forwards requests of callers to the leader of the core. Stores no state of jobs.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "controller/caller_messages.h"

namespace mangoroad::net {
class EventLoop;
class HttpClient;
}  // namespace mangoroad::net

namespace mangoroad::controller {

struct EdgeSettings {
  /// Initial addresses (ip) of core VMs; further ones are learned from replies.
  std::vector<std::string> seeds;
  std::uint16_t relay_port = 0;
  /// Time-out of one attempt at one core VM: several round trips, a disk sync and the start of an
  /// election.
  base::Duration attempt_timeout = std::chrono::milliseconds(800);
  /// A request that no leader has accepted within this time is refused, so that the caller can
  /// retry before its own deadline.
  base::Duration leader_timeout = std::chrono::milliseconds(1800);
  /// Delay before the next core VM is tried.
  base::Duration retry_delay = std::chrono::milliseconds(60);
  /// Interval of probes, and the maximum age of the last reply of a leader for this VM to be ready.
  base::Duration probe_interval = std::chrono::milliseconds(700);
  base::Duration ready_timeout = std::chrono::milliseconds(2500);
  /// Retry-After of requests refused because there is no leader; elections take about a second.
  std::int64_t retry_after_ms = 1000;
};

class EdgeNode {
 public:
  EdgeNode(net::EventLoop& loop, net::HttpClient& client, EdgeSettings settings);
  ~EdgeNode();
  EdgeNode(const EdgeNode&) = delete;
  EdgeNode& operator=(const EdgeNode&) = delete;

  using OnReply = std::function<void(const CallerReply&)>;
  /// Calls `done` once, after `timeout` at the latest.
  void Handle(const CallerRequest& request, base::Duration timeout, OnReply done);
  /// True while a leader has replied within `ready_timeout`.
  [[nodiscard]] bool IsReady() const;
  void UpdateSeeds(std::vector<std::string> seeds);

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::controller
