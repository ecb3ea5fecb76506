// The core role: a replica of the log that, while it leads, schedules all work.
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
#include "controller/caller_messages.h"
#include "controller/run_leader.h"
#include "entry/entry_error.h"
#include "workload/declaration.h"

namespace mangoroad::net {
class EventLoop;
}

namespace mangoroad::controller {

struct CoreSettings {
  std::string ip;
  std::uint16_t peer_port = 0;   ///< links between replicas
  std::uint16_t relay_port = 0;  ///< requests of edge VMs
  /// Addresses (ip) of replicas to join through; the first voters at the first start.
  std::vector<std::string> seeds;
  bool is_first_start = false;
  std::string data_folder;
  /// Losses of replicas to be borne at once.
  std::size_t tolerated_losses = 1;
  /// Keys of the links, in the format of wire::KeyRing.
  std::string keys;
  RunLeaderSettings leader;
};

/// What became of an operator's change.
enum class DeclareOutcome : std::uint8_t {
  kInForce,    ///< durable on a majority; or an equal or newer version is
  kNotLeader,  ///< nothing was done
  kUnknown,    ///< it may or may not come into force
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
  /// Hands leadership over and calls `done` when others have it or after a short time.
  void Stop(std::function<void()> done);
  /// Other replicas to join through; used when this one isn't a member.
  void UpdateSeeds(std::vector<std::string> seeds);

  /// True when this replica may answer for the state.
  [[nodiscard]] bool MayAnswer() const;
  /// Address (ip) of the leader, when another replica is known to lead.
  [[nodiscard]] std::optional<std::string> OtherLeader() const;

  void Declare(workload::Declaration declaration, std::function<void(DeclareOutcome)> done);
  /// The declaration in force; only while MayAnswer().
  [[nodiscard]] const workload::Declaration& InForce() const;
  void Announce(const Announcement& announcement, const RunLeader::OnAnnounced& done);
  void Leave(const std::string& id, std::optional<workload::IncarnationNumber> birth,
             const RunLeader::OnAnnounced& done);
  using OnReply = std::function<void(const RelayReply&)>;
  void HandleCaller(CallerRequest request, const OnReply& done);

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::controller
