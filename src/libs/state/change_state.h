// Base of sub-states whose commands carry a change id.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "audit/digest.h"
#include "state/answer_book.h"
#include "state/change.h"
#include "state/state_codec.h"
#include "state/sub_state.h"

namespace mangoroad::state {

/// Applies each change id once; a resent change gets its first answer, also after a snapshot.
template <typename Command, typename Answer>
class ChangeState : public SubState {
 public:
  std::string Apply(ApplyContext& context, std::string_view payload) final {
    const auto decoded = Decode<Command>(payload);
    if (!base::Ok(decoded)) return Encode(this->Malformed(base::ErrorOf(decoded).message));
    const Command& command = base::ValueOf(decoded);
    if (const auto fault = FaultOf(command.origin)) return Encode(this->Malformed(*fault));
    Answer answer = this->FirstAnswer(context, command);
    this->Complete(command, answer);
    return Encode(answer);
  }

 protected:
  /// Decides about a change that wasn't seen before, and writes the audit record.
  virtual Answer Decide(ApplyContext& context, const Command& command) = 0;
  /// The change as it enters the audit trail.
  virtual audit::Event EventOf(const ApplyContext& context, const Command& command) const = 0;
  /// The command without what may differ between sendings, apart from the time.
  virtual void RemoveLocal(Command& command) const { (void)command; }
  /// Parts of an answer that aren't recorded, since Complete() can derive them again.
  virtual void RemoveDerived(Answer& answer) const { (void)answer; }
  virtual void Complete(const Command& command, Answer& answer) const {
    (void)command;
    (void)answer;
  }

  AnswerBook answers;

 private:
  static Answer Malformed(std::string message) {
    Answer answer;
    answer.kind = AnswerKind::kMalformed;
    answer.message = std::move(message);
    return answer;
  }

  std::string FingerprintOf(const Command& command) const {
    Command content = command;
    content.origin.time_ms = 0;
    this->RemoveLocal(content);
    return audit::Sha256Hex(Encode(content));
  }

  Answer FirstAnswer(ApplyContext& context, const Command& command) {
    const std::string fingerprint = this->FingerprintOf(command);
    if (const RecordedAnswer* recorded = this->answers.Find(command.origin.change_id)) {
      if (recorded->fingerprint != fingerprint) return this->Reused(context, command);
      auto decoded = Decode<Answer>(recorded->answer);
      if (!base::Ok(decoded)) return Malformed(base::ErrorOf(decoded).message);
      base::ValueOf(decoded).resent = true;
      return std::move(base::ValueOf(decoded));
    }
    Answer answer = this->Decide(context, command);
    Answer recorded = answer;
    this->RemoveDerived(recorded);
    this->answers.Record({command.origin.change_id, fingerprint, Encode(recorded)});
    return answer;
  }

  Answer Reused(ApplyContext& context, const Command& command) const {
    Answer answer;
    answer.kind = AnswerKind::kChangeIdReused;
    answer.message = "change id '" + command.origin.change_id + "' was used for another change";
    audit::Event event = this->EventOf(context, command);
    event.result = audit::ChangeResult::kRefused;
    event.effect = answer.message;
    context.audit.Append(std::move(event));
    return answer;
  }
};

}  // namespace mangoroad::state
