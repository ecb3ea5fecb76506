// Records of the replicated log as they are stored on disk and sent between replicas.
#pragma once

#include <cstdint>
#include <string>

namespace mangoroad::storage {

using Term = std::uint64_t;
using Index = std::uint64_t;

enum class EntryKind : std::uint8_t {
  kCommand = 0,        ///< Bytes for the state machine.
  kConfiguration = 1,  ///< An encoded list of voters and learners.
  kNoop = 2,           ///< Appended by each new leader.
};

/// One entry of the log. The origin is set on forwarded proposals, so that the replica that
/// forwarded one recognises it even when the leader's answer was lost.
struct LogEntry {
  Index index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kCommand;
  std::string data;
  std::string origin_replica;
  std::uint64_t origin_incarnation = 0;
  std::uint64_t origin_number = 0;

  bool operator==(const LogEntry&) const = default;
};

/// What a replica must remember over a restart besides entries.
struct HardState {
  Term term = 0;
  std::string voted_for;
  Index commit = 0;

  bool operator==(const HardState&) const = default;
};

/// The state machine after entry `index`, with the configuration in force there.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  std::string configuration;
  std::string data;

  bool operator==(const Snapshot&) const = default;
};

}  // namespace mangoroad::storage
