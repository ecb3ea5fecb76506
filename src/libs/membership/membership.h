// Reachability of entry VMs, soft state of the targets of the failure domain, and summaries of the
// other failure domains.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/name_table.h"
#include "base/time.h"
#include "membership/gossip.h"

namespace mangoroad::membership {

enum class PeerState {
  /// No message has arrived since the start.
  kUnknown,
  /// Messages arrive in both directions.
  kAlive,
  /// Messages of the peer arrive, but it reports that it receives none of this VM.
  kOneWay,
  /// No message within the adaptive timeout; a new connection was requested.
  kSuspect,
  /// Still no message after a new connection was requested.
  kUnreachable,
};

inline constexpr base::NameTable<PeerState, 5> kPeerStateNames{{
    {PeerState::kUnknown, "unknown"},
    {PeerState::kAlive, "alive"},
    {PeerState::kOneWay, "one-way"},
    {PeerState::kSuspect, "suspect"},
    {PeerState::kUnreachable, "unreachable"},
}};

struct MembershipConfig {
  std::string name;
  std::string failure_domain;
  /// Number of this start of the daemon; higher than at any earlier start.
  std::uint64_t incarnation = 1;
  struct Peer {
    std::string name;
    std::string failure_domain;
  };
  std::vector<Peer> peers;
  /// Must be the same on all entry VMs.
  base::Duration heartbeat_interval = std::chrono::milliseconds(100);
};

struct OutgoingGossip {
  std::string peer;
  Gossip message;
};

struct StateChange {
  std::string peer;
  PeerState state = PeerState::kUnknown;
  std::uint64_t incarnation = 0;
  /// The peer was restarted since the last change.
  bool is_restarted = false;
};

/// Actions for the caller.
struct MembershipOutput {
  std::vector<OutgoingGossip> messages;
  /// Peers whose connection is to be replaced by a new one.
  std::vector<std::string> replace_links;
  std::vector<StateChange> changes;
};

class Membership {
 public:
  /// A domain's summary is ignored from this time after its receipt.
  static constexpr base::Duration kMaxSummaryAge = std::chrono::seconds(10);

  Membership(MembershipConfig config, base::TimePoint now);
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  /// Handles a message of a peer whose name the link has authenticated. Duplicates, messages that
  /// arrive out of order and messages of an earlier incarnation are ignored.
  void OnGossip(base::TimePoint now, std::string_view from, const Gossip& gossip);
  /// To be called at least four times per heartbeat interval.
  MembershipOutput Tick(base::TimePoint now);

  /// kUnknown for a name that isn't a peer.
  [[nodiscard]] PeerState StateOf(std::string_view peer) const;
  /// Latest incarnation of the peer; empty when no message of it has arrived.
  [[nodiscard]] std::optional<std::uint64_t> IncarnationOf(std::string_view peer) const;
  /// Names of the peers that are kAlive, restricted to `failure_domain` unless it is empty.
  [[nodiscard]] std::vector<std::string> Alive(std::string_view failure_domain = {}) const;

  /// Publishes a target that this VM owns to the other entry VMs of the failure domain. To be
  /// repeated at least every 5 s with a higher `change`.
  void Publish(base::TimePoint now, const TargetEntry& entry);
  /// Current targets of the failure domain.
  [[nodiscard]] std::vector<TargetEntry> Targets(base::TimePoint now) const;
  /// The newest entry of a target, also of a removed one; null when there is none.
  [[nodiscard]] const TargetEntry* FindTarget(std::string_view id) const;
  /// Ids of targets that changed since the last call.
  std::vector<std::string> TakeChangedTargets();

  /// Sets this domain's summary, which is sent to the peers of the other domains.
  void SetSummary(const DomainSummary& summary);
  /// Newest summary of another domain; empty when there is none or it is older than kMaxSummaryAge.
  [[nodiscard]] std::optional<DomainSummary> SummaryOf(base::TimePoint now,
                                                       std::string_view failure_domain) const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::membership
