#include "entry/live_outcome.h"

#include <algorithm>
#include <array>
#include <utility>

namespace mangoroad::entry {
namespace {

constexpr std::array<std::pair<routing::RefusalKind, ErrorKind>, 7> kRefusals{{
    {routing::RefusalKind::kUnknownRow, ErrorKind::kUnknownRow},
    {routing::RefusalKind::kOverLimit, ErrorKind::kOverLimit},
    {routing::RefusalKind::kOverloaded, ErrorKind::kOverloaded},
    {routing::RefusalKind::kNoTarget, ErrorKind::kNoTarget},
    {routing::RefusalKind::kDraining, ErrorKind::kDraining},
    {routing::RefusalKind::kDeadline, ErrorKind::kDeadline},
    {routing::RefusalKind::kTargetFailed, ErrorKind::kTargetFailed},
}};

}  // namespace

ErrorKind ToErrorKind(routing::RefusalKind kind) {
  const auto entry =
      std::ranges::find(kRefusals, kind, [](const auto& candidate) { return candidate.first; });
  return entry == kRefusals.end() ? ErrorKind::kOverloaded : entry->second;
}

Outcome ToOutcome(routing::Outcome outcome) {
  switch (outcome) {
    case routing::Outcome::kRan:
      return Outcome::kRan;
    case routing::Outcome::kNotRun:
      return Outcome::kNotRun;
    case routing::Outcome::kUnknown:
      break;
  }
  return Outcome::kUnknown;
}

std::string_view MessageOf(routing::RefusalKind kind) {
  switch (kind) {
    case routing::RefusalKind::kOverLimit:
      return "the row is over its limit";
    case routing::RefusalKind::kOverloaded:
      return "the request can't be run before its deadline";
    case routing::RefusalKind::kNoTarget:
      return "no target can take the request";
    case routing::RefusalKind::kDraining:
      return "this entry VM is being stopped";
    case routing::RefusalKind::kDeadline:
      return "the deadline has passed";
    case routing::RefusalKind::kTargetFailed:
      return "the target failed";
    case routing::RefusalKind::kUnknownRow:
      break;
  }
  return "the row isn't in the table";
}

routing::Outcome ToRoutingOutcome(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRan:
      return routing::Outcome::kRan;
    case Outcome::kNotRun:
      return routing::Outcome::kNotRun;
    case Outcome::kUnknown:
      break;
  }
  return routing::Outcome::kUnknown;
}

}  // namespace mangoroad::entry
