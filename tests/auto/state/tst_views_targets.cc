#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "state_fixture.h"

namespace mangoroad::state {
namespace {

// Guards against two views with one number, and against views that differ by more than one member.
TEST_CASE("a view changes by one member at a time and only from the current view") {
  ClusterState state;
  struct Step {
    ViewAction action;
    std::string member;
    std::uint64_t base;
    AnswerKind kind;
    std::uint64_t view;
  };
  const std::vector<Step> steps{
      {ViewAction::kAdd, "e2", 1, AnswerKind::kConflict, 0},
      {ViewAction::kAdd, "e2", 0, AnswerKind::kAccepted, 1},
      {ViewAction::kAdd, "e2", 0, AnswerKind::kUnchanged, 1},
      {ViewAction::kAdd, "e1", 0, AnswerKind::kConflict, 1},
      {ViewAction::kAdd, "e1", 1, AnswerKind::kAccepted, 2},
      {ViewAction::kRemove, "e3", 2, AnswerKind::kUnchanged, 2},
      {ViewAction::kRemove, "e2", 1, AnswerKind::kConflict, 2},
      {ViewAction::kRemove, "e2", 2, AnswerKind::kAccepted, 3},
      {ViewAction::kRemove, "e1", 3, AnswerKind::kRefused, 3},
      {ViewAction::kAdd, "no name", 3, AnswerKind::kRefused, 3},
  };
  int id = 0;
  for (const Step& step : steps) {
    INFO(id);
    const auto answer =
        Apply(state, MakeView(std::to_string(++id), step.action, step.member, step.base));
    CHECK(answer.kind == step.kind);
    CHECK(answer.view == step.view);
  }
  CHECK(state.Views().Views().at("kochi").members == std::vector<std::string>{"e1"});
}

// Guards against keys that are served by a domain that was declared lost for ever.
TEST_CASE("a retired domain stays retired") {
  auto state = std::make_unique<ClusterState>();
  const auto retire = [](const std::string& id) {
    return MakeView(id, ViewAction::kRetire, "", 0);
  };
  CHECK(Apply(*state, retire("1")).kind == AnswerKind::kRefused);
  Apply(*state, MakeView("2", ViewAction::kAdd, "e1", 0));
  CHECK(Apply(*state, retire("3")).kind == AnswerKind::kRefused);
  Apply(*state, MakeView("4", ViewAction::kAdd, "e9", 0, "thrissur"));
  const auto retired = Apply(*state, retire("5"));
  CHECK(retired.kind == AnswerKind::kAccepted);
  CHECK(retired.view == 2);
  Restart(state);
  CHECK(Apply(*state, retire("5")).resent);
  CHECK(Apply(*state, retire("6")).kind == AnswerKind::kUnchanged);
  CHECK(Apply(*state, MakeView("7", ViewAction::kAdd, "e1", 2)).kind == AnswerKind::kRefused);
  const View& view = state->Views().Views().at("kochi");
  CHECK(view.retired);
  CHECK(view.retired_ms == 5000);
  CHECK(view.members.empty());
}

// Guards against new work on a drained target, and against tasks that are started elsewhere while
// an incarnation that isn't declared lost still runs them.
TEST_CASE("targets are drained and declared lost up to an incarnation") {
  auto state = std::make_unique<ClusterState>();
  CHECK(Apply(*state, MakeTarget("1", TargetAction::kDrain)).kind == AnswerKind::kAccepted);
  CHECK(Apply(*state, MakeTarget("2", TargetAction::kDrain)).kind == AnswerKind::kUnchanged);
  CHECK(Apply(*state, MakeTarget("3", TargetAction::kLost)).kind == AnswerKind::kRefused);
  CHECK(Apply(*state, MakeTarget("4", TargetAction::kLost, 7)).kind == AnswerKind::kAccepted);
  CHECK(Apply(*state, MakeTarget("5", TargetAction::kLost, 6)).kind == AnswerKind::kUnchanged);
  Restart(state);
  CHECK(state->Targets().IsDrained("vm-1"));
  CHECK(state->Targets().IsLost("vm-1", 7));
  CHECK_FALSE(state->Targets().IsLost("vm-1", 8));
  CHECK(Apply(*state, MakeTarget("6", TargetAction::kUndrain)).kind == AnswerKind::kAccepted);
  CHECK(Apply(*state, MakeTarget("7", TargetAction::kForget)).kind == AnswerKind::kAccepted);
  CHECK(state->Targets().Marks().empty());
  // The first drain, sent again after it was undone, must not drain the target again.
  CHECK(Apply(*state, MakeTarget("1", TargetAction::kDrain)).resent);
  CHECK_FALSE(state->Targets().IsDrained("vm-1"));
}

}  // namespace
}  // namespace mangoroad::state
