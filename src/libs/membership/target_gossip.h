// Dissemination of the soft state of targets among the entry VMs of a failure domain.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "membership/gossip.h"

namespace mangoroad::membership {

/// Newest known entry of each target. Each adopted entry gets a change number, so that a peer is
/// sent only the changes it lacks. Entries received from one peer are forwarded to the others, so
/// that they also arrive when a link is cut.
class TargetGossip {
 public:
  /// Maximum number of entries in one message.
  static constexpr std::size_t kMaxEntries = 256;
  /// An entry that has not been published for this long is ignored and then removed.
  static constexpr base::Duration kMaxAge = std::chrono::seconds(10);

  /// Adopts an entry if it is newer than the known one and not expired. `source` is the peer that
  /// sent it, empty for this VM.
  bool Adopt(base::TimePoint now, const TargetEntry& entry, std::string_view source);

  struct Delta {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::vector<TargetEntry> entries;
  };
  /// The changes after number `after` that didn't come from `peer`.
  [[nodiscard]] Delta ChangesAfter(base::TimePoint now, std::uint64_t after,
                                   std::string_view peer) const;

  /// Entries that are neither removed nor expired.
  [[nodiscard]] std::vector<TargetEntry> Current(base::TimePoint now) const;
  /// Ids whose entry was adopted or has expired since the last call.
  std::vector<std::string> TakeChanged();
  void RemoveExpired(base::TimePoint now);
  [[nodiscard]] const TargetEntry* Find(std::string_view id) const;

 private:
  struct KnownEntry {
    TargetEntry entry;
    std::uint64_t change = 0;
    std::string source;
    base::TimePoint published;
  };

  std::map<std::string, KnownEntry, std::less<>> targets;
  /// Ids by change number.
  std::map<std::uint64_t, std::string> changes;
  std::uint64_t last_change = 0;
  std::set<std::string> changed;
};

}  // namespace mangoroad::membership
