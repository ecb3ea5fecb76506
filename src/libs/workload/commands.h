// Commands of the replicated log that change the ledger.
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

/// A target as it announces itself.
struct TargetRecord {
  TargetIncarnation incarnation;
  std::string address;  ///< ip:port
  std::string failure_domain;
  std::string service;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  /// Ends up to this number of the target's list are in the ledger.
  std::uint64_t acknowledged = 0;
};

struct Declare {
  Declaration declaration;
};

struct Submit {
  JobId id;
  std::string queue;
  JobSpec spec;
  std::int64_t at_ms = 0;  ///< time of day
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

/// A run that is about to be ordered. It is void when the task isn't waiting at its next run.
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
  /// Position in the target's list of ends; 0 for an end that the leader concluded.
  std::uint64_t number = 0;
};

/// Occurrence `number` of a job with times has become due.
struct DueOccurrence {
  JobId job;
  std::uint32_t number = 0;
};

/// What one round of the leader's decisions changes, in the order of the fields.
struct RunChanges {
  std::vector<End> ends;
  std::vector<DueOccurrence> due_occurrences;
  std::vector<Start> starts;
  std::int64_t at_ms = 0;
};

using Command = std::variant<Declare, Submit, Cancel, RegisterTarget, RemoveTarget, RunChanges>;

/// What a command came to; the answer of Ledger::Apply.
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
/// Nothing when the bytes are no command.
std::optional<Command> DecodeCommand(std::string_view bytes);
std::string EncodeOutcome(Outcome outcome);
/// kMalformed when the bytes are no outcome.
Outcome DecodeOutcome(std::string_view bytes);

}  // namespace mangoroad::workload
