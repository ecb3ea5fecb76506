// A part of the replicated state that applies its own commands.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "audit/audit_trail.h"
#include "base/name_table.h"
#include "base/result.h"

namespace mangoroad::state {

/// Number of a sub-state in the command envelope. Numbers are never used again for something else,
/// since they are part of the log on disk.
enum class SubStateKind : std::uint8_t {
  kNone = 0,
  kTable = 1,
  kViews = 2,
  kTargets = 3,
  kJobs = 4
};

inline constexpr base::NameTable<SubStateKind, 5> kSubStateKindNames{{
    {SubStateKind::kNone, "none"},
    {SubStateKind::kTable, "table"},
    {SubStateKind::kViews, "views"},
    {SubStateKind::kTargets, "targets"},
    {SubStateKind::kJobs, "jobs"},
}};

enum class StateErrorKind : std::uint8_t { kMalformed, kUnknownFormat, kDamaged };
using StateError = base::BasicError<StateErrorKind>;

/// What a sub-state sees of the log and of the other sub-states while it applies a command.
struct ApplyContext {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  audit::AuditTrail& audit;
  /// Rows with work in any sub-state; may have repetitions.
  std::vector<std::string> rows_in_use;
};

/// Applies commands one after the other. Equal commands in equal order give equal states and
/// answers on each replica: Apply() uses no clock, no random numbers and no local settings.
class SubState {
 public:
  SubState() = default;
  virtual ~SubState() = default;
  SubState(const SubState&) = delete;
  SubState& operator=(const SubState&) = delete;
  SubState(SubState&&) = delete;
  SubState& operator=(SubState&&) = delete;

  /// Applies an encoded command and gives the encoded answer. A command that can't be decoded
  /// changes nothing and is answered with an error.
  virtual std::string Apply(ApplyContext& context, std::string_view payload) = 0;
  virtual std::string Snapshot() const = 0;
  /// Takes over a snapshot, or stays as it was and returns an error.
  virtual base::Result<base::Done, StateError> Restore(std::string_view bytes) = 0;
  /// Rows with work in this sub-state, which a change of the table must not break.
  virtual std::vector<std::string> RowsInUse() const { return {}; }
};

}  // namespace mangoroad::state
