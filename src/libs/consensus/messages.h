// Messages between replicas of the log.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "consensus/configuration.h"
#include "storage/log_types.h"

namespace mangoroad::consensus {

using storage::EntryKind;
using storage::HardState;
using storage::Index;
using storage::LogEntry;
using storage::Snapshot;
using storage::Term;

/// Asks for a vote. A pre-vote names the next term without entering it. `transfer` is set for a
/// leadership transfer, for which the leader has released its lease.
struct VoteRequest {
  bool pre_vote = false;
  bool transfer = false;
  Index last_index = 0;
  Term last_term = 0;
};

struct VoteResponse {
  bool pre_vote = false;
  bool granted = false;
};

/// Entries after `previous_index`; without entries it is a heartbeat.
struct AppendRequest {
  Index previous_index = 0;
  Term previous_term = 0;
  Index commit_index = 0;
  /// Microseconds on the leader's clock; the response returns it, which renews the leader's lease.
  std::int64_t sent_at = 0;
  std::vector<LogEntry> entries;
};

struct AppendResponse {
  bool accepted = false;
  /// The last index known to agree with the leader's log, or when refused the refused
  /// previous_index.
  Index index = 0;
  /// When refused: where the logs may agree.
  Index hint_index = 0;
  Term hint_term = 0;
  std::int64_t sent_at = 0;
  std::uint64_t incarnation = 0;
  /// The entries are synced to a disk.
  bool durable = false;
};

/// A part of a snapshot from `offset` on.
struct SnapshotChunk {
  Index index = 0;
  Term index_term = 0;
  std::string configuration;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string data;
  std::int64_t sent_at = 0;
};

struct SnapshotResponse {
  Index index = 0;
  /// Offset of the chunk that the follower needs next.
  std::uint64_t next_offset = 0;
  std::int64_t sent_at = 0;
  std::uint64_t incarnation = 0;
};

/// The receiver is to start an election at once.
struct TimeoutNow {};

/// A command from a replica that isn't the leader. Numbers are unique in an incarnation.
struct ProposeRequest {
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  std::string data;
};

/// `index` is 0 when the leader refused the command; it was not appended then.
struct ProposeResponse {
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  Index index = 0;
};

struct ReadIndexRequest {
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
};

struct ReadIndexResponse {
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  Index index = 0;
};

using MessageBody = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                                 SnapshotChunk, SnapshotResponse, TimeoutNow, ProposeRequest,
                                 ProposeResponse, ReadIndexRequest, ReadIndexResponse>;

struct Message {
  Term term = 0;
  ReplicaId from;
  ReplicaId to;
  MessageBody body;
};

}  // namespace mangoroad::consensus
