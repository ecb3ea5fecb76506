// The edge role: passes requests of callers to the leader of the core. It keeps no state of jobs.
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
  /// Addresses (ip) of core VMs to begin with; more are learned from answers.
  std::vector<std::string> seeds;
  std::uint16_t relay_port = 0;
  /// Time for one attempt at one core VM; several round trips, a sync and an election's start.
  base::Duration attempt_timeout = std::chrono::milliseconds(800);
  /// A request that no leader has taken for this long is refused, so that its caller comes back
  /// with time left.
  base::Duration leader_timeout = std::chrono::milliseconds(1800);
  /// Pause before the next core VM is asked.
  base::Duration retry_delay = std::chrono::milliseconds(60);
  /// Interval of probes, and how old the last answer of a leader may be for this VM to be ready.
  base::Duration probe_interval = std::chrono::milliseconds(700);
  base::Duration ready_timeout = std::chrono::milliseconds(2500);
  /// Advice to callers that were refused for want of a leader: elections take about a second.
  std::int64_t retry_after_ms = 1000;
};

class EdgeNode {
 public:
  EdgeNode(net::EventLoop& loop, net::HttpClient& client, EdgeSettings settings);
  ~EdgeNode();
  EdgeNode(const EdgeNode&) = delete;
  EdgeNode& operator=(const EdgeNode&) = delete;

  using OnReply = std::function<void(const CallerReply&)>;
  /// Calls `done` once, `within` this time at the latest.
  void Handle(const CallerRequest& request, base::Duration timeout, OnReply done);
  /// True while a leader was heard of lately.
  [[nodiscard]] bool IsReady() const;
  void UpdateSeeds(std::vector<std::string> seeds);

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::controller
