// Messages between the membership modules of entry VMs.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace mangoroad::membership {

/// Orders the states of a target: by its start, its change of owner, and its owner's change.
struct TargetVersion {
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  std::uint64_t change = 0;

  friend auto operator<=>(const TargetVersion&, const TargetVersion&) = default;
};

/// Soft state of a target as its owner last told it.
struct TargetEntry {
  std::string id;
  TargetVersion version;
  /// The target is gone.
  bool is_removed = false;
  /// What the owner tells, in a form of its own.
  std::string payload;
  /// Time since the owner published it. Without it, an entry that some VMs have forgotten would
  /// come back from others and never age out.
  base::Duration age{};

  bool operator==(const TargetEntry&) const = default;
};

/// Free capacity of a failure domain; of constant size, whatever the number of targets.
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

/// Heartbeat with what it carries along.
struct Gossip {
  std::uint64_t incarnation = 0;
  /// Grows by one with each message to the same peer.
  std::uint64_t sequence = 0;
  /// The entry VMs that the sender hears.
  std::vector<Member> hears;
  /// All of the receiver's target changes up to this number have arrived at the sender; it belongs
  /// to the receiver's incarnation in `hears`.
  std::uint64_t received_changes = 0;
  /// The sender's target changes from `first_change` to `last_change`; 0 when there are none.
  std::uint64_t first_change = 0;
  std::uint64_t last_change = 0;
  std::vector<TargetEntry> targets;
  /// Only between failure domains.
  std::optional<DomainSummary> summary;

  bool operator==(const Gossip&) const = default;
};

}  // namespace mangoroad::membership
