// The core role: a replica of the log that schedules all tasks while it is the leader.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "base/result.h"
#include "base/time.h"
#include "controller/call_delegator.h"
#include "controller/caller_messages.h"
#include "controller/run_manager.h"
#include "entry/entry_error.h"
#include "workload/declaration.h"

namespace mangoroad::net {
class EventLoop;
}

namespace mangoroad::controller {

struct CoreSettings {
  std::string ip;
  std::string failure_domain;
  std::uint16_t peer_port = 0;   ///< connections between replicas
  std::uint16_t relay_port = 0;  ///< requests of edge VMs
  /// Addresses (ip) of replicas through which to join; at the first start, the first voters.
  std::vector<std::string> seeds;
  bool is_first_start = false;
  std::string data_folder;
  /// Number of simultaneous replica failures to tolerate.
  std::size_t tolerated_failures = 1;
  /// Keys of the connections between replicas, in the format of wire::KeyRing.
  std::string link_keys;
  RunManagerSettings run_manager;
  DelegationSettings delegation;
  /// Open connections of edge VMs.
  std::size_t max_relay_connections = 1'000;
};

/// Outcome of an operator's declaration.
enum class DeclareOutcome : std::uint8_t {
  kInForce,    ///< this, or an equal or newer version, is durable on a majority
  kNotLeader,  ///< the declaration had no effect
  kUnknown,    ///< in doubt: the declaration may or may not come into force
};
inline constexpr base::NameTable<DeclareOutcome, 3> kDeclareOutcomeNames{{
    {DeclareOutcome::kInForce, "in-force"},
    {DeclareOutcome::kNotLeader, "not-leader"},
    {DeclareOutcome::kUnknown, "unknown"},
}};

class CoreNode {
 public:
  /// `calls` must outlive the node.
  CoreNode(net::EventLoop& loop, TargetCalls& calls, CoreSettings settings);
  ~CoreNode();
  CoreNode(const CoreNode&) = delete;
  CoreNode& operator=(const CoreNode&) = delete;

  base::Result<base::Done, entry::EntryError> Start();
  /// Transfers leadership and calls `done` when another replica leads, or after 1 s.
  void Stop(std::function<void()> done);
  /// Sets the replicas through which to join; used while this one isn't a member.
  void UpdateSeeds(std::vector<std::string> seeds);

  /// True while this replica leads and may respond from its state.
  [[nodiscard]] bool IsActiveLeader() const;
  /// Address (ip) of the leader, when it is another replica and known.
  [[nodiscard]] std::optional<std::string> OtherLeader() const;

  void Declare(workload::Declaration declaration, std::function<void(DeclareOutcome)> done);
  /// The declaration in force; valid only while IsActiveLeader().
  [[nodiscard]] const workload::Declaration& InForce() const;
  /// True when this replica may be called with announcements of targets: it leads, or it confirms
  /// them for a leader with which it is in contact.
  [[nodiscard]] bool TakesAnnouncements() const;
  void Announce(const Announcement& announcement, const RunManager::OnAnnounced& done);
  /// Address (ip) of the core VM that should get the target's further announcements.
  [[nodiscard]] std::string AnnounceTo(const workload::TargetRecord& target) const;
  void Leave(const std::string& id, std::optional<workload::IncarnationNumber> incarnation_number,
             const RunManager::OnAnnounced& done);
  using OnReply = std::function<void(const RelayReply&)>;
  void HandleCallerRequest(CallerRequest request, const OnReply& done);

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::controller
