// Audit records of changes that are answered with ChangeAnswer.
#pragma once

#include <string>

#include "audit/audit_trail.h"
#include "state/change.h"

namespace mangoroad::state::internal {

inline ChangeAnswer MakeAnswer(AnswerKind kind, std::string message) {
  ChangeAnswer answer;
  answer.kind = kind;
  answer.message = std::move(message);
  return answer;
}

inline audit::ChangeResult ResultOf(AnswerKind kind) {
  switch (kind) {
    case AnswerKind::kAccepted:
      return audit::ChangeResult::kAccepted;
    case AnswerKind::kUnchanged:
      return audit::ChangeResult::kUnchanged;
    case AnswerKind::kConflict:
      return audit::ChangeResult::kConflict;
    default:
      return audit::ChangeResult::kRefused;
  }
}

/// An event with the fields that each change has.
inline audit::Event MakeEvent(std::uint64_t index, const Origin& origin, std::string action,
                              std::string subject) {
  audit::Event event;
  event.index = index;
  event.time_ms = origin.time_ms;
  event.author = origin.author;
  event.action = std::move(action);
  event.subject = std::move(subject);
  event.reason = origin.reason;
  return event;
}

}  // namespace mangoroad::state::internal
