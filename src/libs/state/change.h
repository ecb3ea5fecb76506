// Changes of the replicated state and their answers. A change holds all that its effect depends on;
// replicas read no clock when they apply it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "base/time.h"
#include "table/csv_reader.h"
#include "table/diff.h"

namespace mangoroad::state {

constexpr std::size_t kMaxChangeIdBytes = 128;
constexpr std::size_t kMaxAuthorBytes = 128;
constexpr std::size_t kMaxReasonBytes = 1'024;
/// Longest id of a target, and longest name of an entry VM or failure domain.
constexpr std::size_t kMaxIdBytes = 128;
/// Most rows, faults and problems in one answer, so that it fits into one message.
constexpr std::size_t kMaxDiffRows = 1'000;
constexpr std::size_t kMaxFaults = 1'000;
constexpr std::size_t kMaxProblems = 20;

/// Who made a change, when and why. The entry VM that receives the change sets the time.
struct Origin {
  /// Equal for each sending of one change: 1 to kMaxChangeIdBytes printable ASCII characters
  /// without space.
  std::string change_id;
  /// 1 to kMaxAuthorBytes bytes.
  std::string author;
  base::WallMilliseconds time_ms = 0;
  /// At most kMaxReasonBytes bytes.
  std::string reason;

  bool operator==(const Origin&) const = default;
};

/// What is wrong with an origin, or nothing.
std::optional<std::string> FaultOf(const Origin& origin);

/// Replaces the whole table.
struct ApplyTable {
  Origin origin;
  /// Version that the author edited; 0 before the first change.
  std::uint64_t base_version = 0;
  std::string csv;
  /// Rows with live requests in progress, as known to the entry VM that proposes the change. Rows
  /// with jobs are known to the replicated state itself.
  std::vector<std::string> rows_in_use;
};

enum class ViewAction : std::uint8_t { kAdd, kRemove, kRetire };

/// Adds or removes one member of a failure domain's key registry, or retires the domain for ever.
struct ChangeView {
  Origin origin;
  ViewAction action = ViewAction::kAdd;
  std::string domain;
  /// Name of the entry VM; empty for kRetire.
  std::string member;
  /// View that the change builds on, 0 for a new domain; ignored for kRetire.
  std::uint64_t base_view = 0;
};

enum class TargetAction : std::uint8_t { kDrain, kUndrain, kLost, kForget };

/// Stops or resumes new work on a target, declares it lost, or takes that back.
struct ChangeTarget {
  Origin origin;
  TargetAction action = TargetAction::kDrain;
  std::string target;
  /// kLost: this incarnation and all older ones run nothing any more; at least 1.
  std::uint64_t incarnation = 0;
};

enum class AnswerKind : std::uint8_t {
  kAccepted,
  /// It was so already; nothing changed.
  kUnchanged,
  /// The change builds on a version or view that isn't the current one.
  kConflict,
  /// The table has faults.
  kFaults,
  /// The change of the table is unsafe for work in progress.
  kUnsafe,
  kRefused,
  /// The change id was used for a different change.
  kChangeIdReused,
  /// The command can't be decoded or its origin is wrong; nothing is recorded.
  kMalformed,
};

inline constexpr base::NameTable<AnswerKind, 8> kAnswerKindNames{{
    {AnswerKind::kAccepted, "accepted"},
    {AnswerKind::kUnchanged, "unchanged"},
    {AnswerKind::kConflict, "conflict"},
    {AnswerKind::kFaults, "faults"},
    {AnswerKind::kUnsafe, "unsafe-change"},
    {AnswerKind::kRefused, "refused"},
    {AnswerKind::kChangeIdReused, "change-id-reused"},
    {AnswerKind::kMalformed, "bad-request"},
}};

/// Answer to ApplyTable.
struct TableAnswer {
  AnswerKind kind = AnswerKind::kMalformed;
  /// One sentence; what was wrong, or what the change did.
  std::string message;
  /// This is the recorded answer to an earlier sending.
  bool resent = false;
  std::uint64_t base_version = 0;
  /// Accepted or unchanged: the version with this table. Otherwise the current version when the
  /// change was first answered.
  std::uint64_t version = 0;
  /// Difference from the base version to `version`; at most kMaxDiffRows.
  std::vector<table::RowChange> diff;
  /// False when the base version has left the history or more rows differ.
  bool diff_complete = false;
  /// At most kMaxFaults.
  std::vector<table::Fault> faults;
  std::uint64_t faults_total = 0;
  /// At most kMaxProblems.
  std::vector<table::UnsafeChange> problems;
};

/// Answer to ChangeView and ChangeTarget.
struct ChangeAnswer {
  AnswerKind kind = AnswerKind::kMalformed;
  std::string message;
  bool resent = false;
  /// Index in the log of the change when it was first applied.
  std::uint64_t index = 0;
  /// ChangeView: number of the domain's view after the change.
  std::uint64_t view = 0;
};

}  // namespace mangoroad::state
