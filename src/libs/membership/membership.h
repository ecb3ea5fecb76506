// Which entry VMs are reachable, the soft state of targets of the failure domain, and summaries of
// the others.
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
  /// Nothing has been heard since the start.
  kUnknown,
  /// Heard, and it hears this VM.
  kAlive,
  /// Heard, but it says that it doesn't hear this VM.
  kOneWay,
  /// Silent for longer than its past explains; a new connection was asked for.
  kSuspect,
  /// Silent also after a new connection was asked for.
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
  /// Number of this start of the daemon; higher than at each earlier start.
  std::uint64_t incarnation = 1;
  struct Peer {
    std::string name;
    std::string failure_domain;
  };
  std::vector<Peer> peers;
  /// Must be the same on all entry VMs.
  base::Duration heartbeat_every = std::chrono::milliseconds(100);
};

struct OutgoingGossip {
  std::string peer;
  Gossip message;
};

struct StateChange {
  std::string peer;
  PeerState state = PeerState::kUnknown;
  std::uint64_t incarnation = 0;
  /// The peer was started anew since the last change.
  bool is_restarted = false;
};

/// What has to be done after a call.
struct MembershipOutput {
  std::vector<OutgoingGossip> messages;
  /// Peers to which a new connection is to replace the present one.
  std::vector<std::string> replace_links;
  std::vector<StateChange> changes;
};

class Membership {
 public:
  /// A domain's summary is ignored this long after it was received.
  static constexpr base::Duration kSummaryAge = std::chrono::seconds(10);

  Membership(MembershipConfig config, base::TimePoint now);
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  /// A message of a peer whose name the link has proven. Duplicates, messages that arrive out of
  /// order and those of an earlier incarnation are ignored.
  void OnGossip(base::TimePoint now, std::string_view from, const Gossip& gossip);
  /// Call it at least four times in each heartbeat interval.
  MembershipOutput Tick(base::TimePoint now);

  /// kUnknown for a name that isn't a peer.
  [[nodiscard]] PeerState StateOf(std::string_view peer) const;
  /// Incarnation that was last heard; nothing when the peer was never heard.
  [[nodiscard]] std::optional<std::uint64_t> IncarnationOf(std::string_view peer) const;
  /// Names of the peers that are kAlive; those of one failure domain unless it is empty.
  [[nodiscard]] std::vector<std::string> Alive(std::string_view failure_domain = {}) const;

  /// Tells the other entry VMs of the failure domain about a target that this VM owns. It must be
  /// repeated at least every 5 s with a higher `change`.
  void Publish(base::TimePoint now, const TargetEntry& entry);
  /// Present targets of the failure domain.
  [[nodiscard]] std::vector<TargetEntry> Targets(base::TimePoint now) const;
  /// The newest entry of a target, also a removed one; nullptr when there is none.
  [[nodiscard]] const TargetEntry* FindTarget(std::string_view id) const;
  /// Ids of targets that changed since the last call.
  std::vector<std::string> TakeChangedTargets();

  /// Sets this domain's summary, which is sent to the peers of the other domains.
  void SetSummary(const DomainSummary& summary);
  /// Newest summary of another domain; nothing when it is older than kSummaryAge.
  [[nodiscard]] std::optional<DomainSummary> SummaryOf(base::TimePoint now,
                                                       std::string_view failure_domain) const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::membership
