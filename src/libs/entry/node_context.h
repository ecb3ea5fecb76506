// What the services of an entry VM share.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "entry/cluster_machine.h"
#include "entry/log_service.h"
#include "entry/target_directory.h"
#include "membership/gossip.h"
#include "metrics/metrics.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "settings/settings.h"

namespace mangoroad::entry {

/// Kinds of messages between entry VMs, as named on the design page.
namespace message_kind {
inline constexpr std::string_view kRaft = "raft";
inline constexpr std::string_view kBorrow = "borrow";
inline constexpr std::string_view kLend = "lend";
inline constexpr std::string_view kTargets = "targets";
inline constexpr std::string_view kClaim = "claim";
inline constexpr std::string_view kRelay = "relay";
inline constexpr std::string_view kRelayed = "relayed";
inline constexpr std::string_view kTargetReport = "target-report";
inline constexpr std::string_view kTargetReply = "target-reply";
inline constexpr std::string_view kGossip = "gossip";
inline constexpr std::string_view kNodeStatus = "node-status";
}  // namespace message_kind

/// Name of the entry VM in the identity `name.incarnation` of a process.
inline std::string NameOfIdentity(std::string_view identity) {
  return std::string(identity.substr(0, identity.rfind('.')));
}

/// What an entry VM tells the others about itself once a second.
struct NodeStatus {
  std::string name;
  std::string identity;  // of the process
  std::string failure_domain;
  std::uint64_t table_version = 0;
  std::uint64_t applied = 0;
  std::uint64_t targets = 0;      // owned
  std::uint64_t served_view = 0;  // of its failure domain's key registry; 0 while it serves none
  bool draining = false;
  base::TimePoint heard;  // by the receiver's clock
};

/// The services of one process, joined by EntryNode. All members outlive the services.
struct NodeContext {
  net::EventLoop& loop;
  const settings::Settings& settings;
  std::string identity;  // name.incarnation, unique for each start of the process
  net::HttpClient& client;
  metrics::Registry& metrics;
  ClusterMachine& machine;
  LogService& log;
  TargetDirectory& directory;
  /// Sends to another entry VM by name; false when there is no link to it now.
  std::function<bool(std::string_view peer, std::string_view kind, std::string payload)> send;
  /// What other entry VMs last told of themselves, by name.
  std::function<const std::map<std::string, NodeStatus>&()> nodes;
  /// Whether an entry VM is heard and hears this one.
  std::function<bool(std::string_view peer)> alive;
  /// Free capacity of another failure domain; nothing when it isn't known or old.
  std::function<std::optional<membership::DomainSummary>(std::string_view domain)> summary_of;
  base::TimePoint started;
  bool draining = false;
};

}  // namespace mangoroad::entry
