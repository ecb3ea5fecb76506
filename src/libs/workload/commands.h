// Commands of the replicated log that change the workload state, and their outcomes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/name_table.h"
#include "workload/declaration.h"
#include "workload/job.h"

namespace mangoroad::workload {

/// A target as described by its own announcement.
struct TargetRecord {
  TargetIncarnation incarnation;
  std::string address;  ///< ip:port
  std::string failure_domain;
  std::string service;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  /// Run ends up to this number in the target's list have been applied to the workload state.
  std::uint64_t acknowledged = 0;
  /// Number of the last change of this record or of the tasks that run on the target, so that
  /// results derived from them can be kept. Set by WorkloadState; differs between replicas and is
  /// neither encoded nor compared.
  std::uint64_t last_change = 0;

  /// True when both announcements say the same of the target.
  [[nodiscard]] bool SaysTheSame(const TargetRecord& other) const;
};

struct Declare {
  Declaration declaration;
};

struct Submit {
  JobId id;
  std::string queue;
  JobSpec spec;
  std::int64_t at_ms = 0;  ///< time of day, Unix milliseconds
};

struct Cancel {
  JobId id;
  std::int64_t at_ms = 0;
};

struct RegisterTarget {
  TargetRecord target;
};

struct RemoveTarget {
  TargetIncarnation incarnation;
};

/// A target has left by itself. Unlike RemoveTarget, this is final: a delayed announcement of the
/// same incarnation doesn't register it again.
struct RetireTarget {
  TargetIncarnation incarnation;
};

/// Requests for a former incarnation of the target may have extended the lease of this one. Comes
/// before its registration.
struct InheritLease {
  TargetIncarnation incarnation;
  /// Latest end of that lease, in ms on the clock of the incarnation.
  std::int64_t deadline_ms = 0;
};

/// A run whose start the leader is about to request. Ignored unless the task is ready to start
/// and `run` is higher than its latest run.
struct Start {
  TaskRef task;
  std::uint32_t run = 0;
  TargetIncarnation target;
};

struct End {
  TaskRef task;
  std::uint32_t run = 0;
  TargetIncarnation target;
  RunEnd how = RunEnd::kDone;
  std::string checkpoint;
  /// Position in the target's list of ends; 0 for an end that the leader inferred.
  std::uint64_t number = 0;
};

/// Occurrence `number` of a periodic job has become due.
struct DueOccurrence {
  JobId job;
  std::uint32_t number = 0;
};

/// Changes decided in one round of the leader; applied in the order of the fields.
struct RunChanges {
  std::vector<End> ends;
  std::vector<DueOccurrence> due_occurrences;
  std::vector<Start> starts;
  std::int64_t at_ms = 0;
};

/// The record of a registered incarnation was wrong: it came from an announcement that wasn't the
/// target's own. Unlike RegisterTarget, it may end the draining.
struct CorrectTarget {
  TargetRecord target;
};

/// Logs contain the position in this list, so new commands are appended.
using Command = std::variant<Declare, Submit, Cancel, RegisterTarget, RemoveTarget, RunChanges,
                             RetireTarget, InheritLease, CorrectTarget>;

/// Result of WorkloadState::Apply for a command.
enum class Outcome : std::uint8_t {
  kApplied,
  kAlreadyThere,  ///< a job with this id, or a newer declaration, exists
  kNotFound,      ///< no such queue, job or target
  kMalformed,
};
inline constexpr base::NameTable<Outcome, 4> kOutcomeNames{{
    {Outcome::kApplied, "applied"},
    {Outcome::kAlreadyThere, "already-there"},
    {Outcome::kNotFound, "not-found"},
    {Outcome::kMalformed, "malformed"},
}};

std::string EncodeCommand(const Command& command);
/// Returns nullopt if the bytes aren't a valid command.
std::optional<Command> DecodeCommand(std::string_view bytes);
std::string EncodeOutcome(Outcome outcome);
/// Returns kMalformed if the bytes aren't a valid outcome.
Outcome DecodeOutcome(std::string_view bytes);

}  // namespace mangoroad::workload
