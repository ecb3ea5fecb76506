#include "state/target_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "state/change_event.h"

namespace mangoroad::state {
namespace {

using internal::MakeAnswer;

std::string Describe(const TargetMark& mark) {
  return fmt::format("{}, {}", mark.drained ? "drained" : "not drained",
                     mark.lost_incarnation == 0
                         ? std::string("not lost")
                         : fmt::format("lost up to incarnation {}", mark.lost_incarnation));
}

/// What an action is called in the audit trail, and what it does to a mark.
struct Action {
  std::string_view name;
  void (*apply)(const ChangeTarget& change, TargetMark& mark);
};

constexpr std::array<Action, 4> kActions{{
    {"target.drain", [](const ChangeTarget&, TargetMark& mark) { mark.drained = true; }},
    {"target.undrain", [](const ChangeTarget&, TargetMark& mark) { mark.drained = false; }},
    {"target.lost",
     [](const ChangeTarget& change, TargetMark& mark) {
       mark.lost_incarnation = std::max(mark.lost_incarnation, change.incarnation);
     }},
    {"target.forget", [](const ChangeTarget&, TargetMark& mark) { mark.lost_incarnation = 0; }},
}};

const Action& ActionOf(const ChangeTarget& change) {
  return kActions.at(static_cast<std::size_t>(change.action));
}

std::optional<std::string> FaultOfTarget(const ChangeTarget& change) {
  const bool is_printable =
      std::ranges::all_of(change.target, [](char c) { return c > ' ' && c < '\x7f'; });
  if (change.target.empty() || change.target.size() > kMaxIdBytes || !is_printable) {
    return fmt::format(
        "the target id has {} bytes; it needs 1 to {} printable ASCII characters "
        "without space",
        change.target.size(), kMaxIdBytes);
  }
  if (change.action == TargetAction::kLost && change.incarnation == 0) {
    return fmt::format("target '{}' can be declared lost only with an incarnation of at least 1",
                       change.target);
  }
  return std::nullopt;
}

}  // namespace

bool TargetState::IsDrained(const std::string& target) const {
  const auto found = this->marks.find(target);
  return found != this->marks.end() && found->second.drained;
}

bool TargetState::IsLost(const std::string& target, std::uint64_t incarnation) const {
  const auto found = this->marks.find(target);
  return found != this->marks.end() && incarnation <= found->second.lost_incarnation;
}

audit::Event TargetState::EventOf(const ApplyContext& context, const ChangeTarget& change) const {
  return internal::MakeEvent(context.index, change.origin, std::string(ActionOf(change).name),
                             change.target);
}

ChangeAnswer TargetState::Decide(ApplyContext& context, const ChangeTarget& change) {
  const auto found = this->marks.find(change.target);
  const TargetMark before = found == this->marks.end() ? TargetMark() : found->second;
  TargetMark after = before;
  ActionOf(change).apply(change, after);
  ChangeAnswer answer;
  if (const auto fault = FaultOfTarget(change)) {
    answer = MakeAnswer(AnswerKind::kRefused, *fault);
  } else if (after == before) {
    answer = MakeAnswer(AnswerKind::kUnchanged,
                        fmt::format("target '{}' is {}", change.target, Describe(before)));
  } else if (found == this->marks.end() && this->marks.size() >= kMaxMarks) {
    answer = MakeAnswer(AnswerKind::kRefused,
                        fmt::format("{} targets are drained or lost, which is the limit; undo some "
                                    "first",
                                    this->marks.size()));
  } else {
    answer = MakeAnswer(AnswerKind::kAccepted,
                        fmt::format("target '{}' is {}", change.target, Describe(after)));
  }
  audit::Event event = this->EventOf(context, change);
  event.before = Describe(before);
  event.after = Describe(after);
  event.result = internal::ResultOf(answer.kind);
  event.effect = answer.message;
  context.audit.Append(std::move(event));
  answer.index = context.index;
  if (answer.kind != AnswerKind::kAccepted) return answer;
  if (!after.drained && after.lost_incarnation == 0) {
    this->marks.erase(change.target);
    return answer;
  }
  after.author = change.origin.author;
  after.reason = change.origin.reason;
  after.time_ms = change.origin.time_ms;
  after.index = context.index;
  this->marks[change.target] = std::move(after);
  return answer;
}

std::string TargetState::Snapshot() const {
  return Encode(TargetSnapshot{this->marks, this->answers.OldestFirst()});
}

base::Result<base::Done, StateError> TargetState::Restore(std::string_view bytes) {
  auto decoded = Decode<TargetSnapshot>(bytes);
  if (!base::Ok(decoded)) return base::ErrorOf(decoded);
  this->marks = std::move(base::ValueOf(decoded).marks);
  this->answers = AnswerBook(std::move(base::ValueOf(decoded).answers));
  return base::Done();
}

}  // namespace mangoroad::state
