#include "state/view_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "state/change_event.h"
#include "table/table.h"

namespace mangoroad::state {
namespace {

using internal::MakeAnswer;

std::string Describe(const View& view) {
  return fmt::format("view {}: {}", view.number,
                     view.retired ? "retired" : fmt::format("{}", fmt::join(view.members, ", ")));
}

std::string ActionName(ViewAction action) {
  constexpr std::array<std::string_view, 3> kNames{"view.add", "view.remove", "domain.retire"};
  return std::string(kNames.at(static_cast<std::size_t>(action)));
}

ChangeAnswer Conflict(const ChangeView& change, const View& view) {
  return MakeAnswer(AnswerKind::kConflict,
                    fmt::format("the change builds on view {} of failure domain '{}', but the "
                                "current view is {}",
                                change.base_view, change.domain, view.number));
}

}  // namespace

View ViewState::ViewOf(const std::string& domain) const {
  const auto found = this->views.find(domain);
  return found == this->views.end() ? View() : found->second;
}

audit::Event ViewState::EventOf(const ApplyContext& context, const ChangeView& change) const {
  return internal::MakeEvent(context.index, change.origin, ActionName(change.action),
                             change.domain);
}

ChangeAnswer ViewState::Add(const ChangeView& change, View& view) const {
  if (view.retired) {
    return MakeAnswer(AnswerKind::kRefused,
                      fmt::format("failure domain '{}' is retired; use a new name", change.domain));
  }
  const auto at = std::ranges::lower_bound(view.members, change.member);
  if (at != view.members.end() && *at == change.member) {
    return MakeAnswer(AnswerKind::kUnchanged,
                      fmt::format("'{}' is a member already", change.member));
  }
  if (change.base_view != view.number) return Conflict(change, view);
  if (view.members.size() >= kMaxViewMembers) {
    return MakeAnswer(AnswerKind::kRefused,
                      fmt::format("failure domain '{}' has {} members, which is the limit",
                                  change.domain, view.members.size()));
  }
  if (view.number == 0 && this->views.size() >= kMaxDomains) {
    return MakeAnswer(
        AnswerKind::kRefused,
        fmt::format("there are {} failure domains, which is the limit", this->views.size()));
  }
  view.members.insert(at, change.member);
  ++view.number;
  return MakeAnswer(AnswerKind::kAccepted, Describe(view));
}

ChangeAnswer ViewState::Remove(const ChangeView& change, View& view) const {
  const auto at = std::ranges::find(view.members, change.member);
  if (at == view.members.end()) {
    return MakeAnswer(AnswerKind::kUnchanged, fmt::format("'{}' is no member", change.member));
  }
  if (change.base_view != view.number) return Conflict(change, view);
  if (view.members.size() == 1) {
    return MakeAnswer(AnswerKind::kRefused,
                      fmt::format("'{}' is the last member of failure domain '{}'; add another one "
                                  "first, or retire the domain when it is lost for ever",
                                  change.member, change.domain));
  }
  view.members.erase(at);
  ++view.number;
  return MakeAnswer(AnswerKind::kAccepted, Describe(view));
}

ChangeAnswer ViewState::Retire(const ChangeView& change, View& view) const {
  if (view.number == 0) {
    return MakeAnswer(AnswerKind::kRefused,
                      fmt::format("unknown failure domain '{}'", change.domain));
  }
  if (view.retired) {
    return MakeAnswer(AnswerKind::kUnchanged,
                      fmt::format("failure domain '{}' is retired already", change.domain));
  }
  const bool has_other = std::ranges::any_of(this->views, [&](const auto& entry) {
    return entry.first != change.domain && !entry.second.retired && !entry.second.members.empty();
  });
  if (!has_other) {
    return MakeAnswer(
        AnswerKind::kRefused,
        fmt::format("no other failure domain could take over the keys of '{}'", change.domain));
  }
  view.members.clear();
  view.retired = true;
  view.retired_ms = change.origin.time_ms;
  ++view.number;
  return MakeAnswer(AnswerKind::kAccepted, fmt::format("failure domain '{}' is retired; its keys "
                                                       "move to the remaining ones",
                                                       change.domain));
}

ChangeAnswer ViewState::Decide(ApplyContext& context, const ChangeView& change) {
  using Handler = ChangeAnswer (ViewState::*)(const ChangeView&, View&) const;
  constexpr std::array<Handler, 3> kHandlers{&ViewState::Add, &ViewState::Remove,
                                             &ViewState::Retire};
  View view = this->ViewOf(change.domain);
  audit::Event event = this->EventOf(context, change);
  event.before = Describe(view);
  ChangeAnswer answer;
  if (!table::IsValidName(change.domain)) {
    answer = MakeAnswer(AnswerKind::kRefused,
                        fmt::format("'{}' is not the name of a failure domain", change.domain));
  } else if (change.action != ViewAction::kRetire && !table::IsValidName(change.member)) {
    answer = MakeAnswer(AnswerKind::kRefused,
                        fmt::format("'{}' is not the name of an entry VM", change.member));
  } else {
    answer = (this->*kHandlers.at(static_cast<std::size_t>(change.action)))(change, view);
  }
  answer.index = context.index;
  answer.view = view.number;
  if (answer.kind == AnswerKind::kAccepted) this->views[change.domain] = view;
  event.after = Describe(view);
  event.result = internal::ResultOf(answer.kind);
  event.effect = answer.message;
  context.audit.Append(std::move(event));
  return answer;
}

std::string ViewState::Snapshot() const {
  return Encode(ViewSnapshot{this->views, this->answers.OldestFirst()});
}

base::Result<base::Done, StateError> ViewState::Restore(std::string_view bytes) {
  auto decoded = Decode<ViewSnapshot>(bytes);
  if (!base::Ok(decoded)) return base::ErrorOf(decoded);
  this->views = std::move(base::ValueOf(decoded).views);
  this->answers = AnswerBook(std::move(base::ValueOf(decoded).answers));
  return base::Done();
}

}  // namespace mangoroad::state
