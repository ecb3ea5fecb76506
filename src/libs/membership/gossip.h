// Messages between the membership modules of entry VMs.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace mangoroad::membership {

/// Orders the states of a target: by its start, its changes of owner, and the owner's updates.
struct TargetVersion {
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  std::uint64_t change = 0;

  friend auto operator<=>(const TargetVersion&, const TargetVersion&) = default;
};

/// Soft state of a target as last published by its owner.
struct TargetEntry {
  std::string id;
  TargetVersion version;
  /// The target was removed.
  bool is_removed = false;
  /// State published by the owner, opaque to this library.
  std::string payload;
  /// Time since the owner published the entry. Without it, an entry that some VMs have expired
  /// would return from others and never expire.
  base::Duration age{};

  bool operator==(const TargetEntry&) const = default;
};

/// Free capacity of a failure domain. Its size doesn't depend on the number of targets.
struct DomainSummary {
  std::string failure_domain;
  std::uint32_t targets = 0;
  std::uint32_t free_slots = 0;
  std::uint64_t free_millicores = 0;
  std::uint64_t free_memory_mib = 0;
  std::uint32_t free_accelerators = 0;
  /// Requests waiting in the domain.
  std::uint32_t queued = 0;

  bool operator==(const DomainSummary&) const = default;
};

/// Name and incarnation of an entry VM.
struct Member {
  std::string name;
  std::uint64_t incarnation = 0;

  bool operator==(const Member&) const = default;
};

/// Heartbeat with piggybacked state.
struct Gossip {
  std::uint64_t incarnation = 0;
  /// Increases by one with each message to the same peer.
  std::uint64_t sequence = 0;
  /// The entry VMs from which the sender receives heartbeats.
  std::vector<Member> receives_from;
  /// The sender has received all target changes of the receiver up to this number. The number
  /// belongs to the receiver's incarnation in `receives_from`.
  std::uint64_t received_changes = 0;
  /// The sender's target changes from `first_change` to `last_change`; 0 when there are none.
  std::uint64_t first_change = 0;
  std::uint64_t last_change = 0;
  std::vector<TargetEntry> targets;
  /// Set only in messages between failure domains.
  std::optional<DomainSummary> summary;

  bool operator==(const Gossip&) const = default;
};

}  // namespace mangoroad::membership
