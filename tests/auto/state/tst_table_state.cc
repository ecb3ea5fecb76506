#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "state_fixture.h"

namespace mangoroad::state {
namespace {

const std::string kFirst = MakeCsv({{"a", 1}, {"b", 1}});
const std::string kSecond = MakeCsv({{"a", 2}, {"b", 1}});

// Guards against two operators overwriting each other's change unseen.
TEST_CASE("of two changes with equal base versions one wins") {
  ClusterState state;
  CHECK(Apply(state, MakeChange("1", 0, kFirst)).kind == AnswerKind::kAccepted);
  const auto won = Apply(state, MakeChange("2", 1, kSecond));
  CHECK(won.kind == AnswerKind::kAccepted);
  CHECK(won.version == 2);
  const auto lost = Apply(state, MakeChange("3", 1, MakeCsv({{"a", 3}, {"b", 1}})));
  CHECK(lost.kind == AnswerKind::kConflict);
  CHECK(lost.base_version == 1);
  CHECK(lost.version == 2);
  CHECK(lost.diff_complete);
  REQUIRE(lost.diff.size() == 1);
  CHECK(lost.diff[0].fields[0] == table::FieldChange{"weight", "1", "2"});
  CHECK(table::WriteCsv(state.Table().Current()) == kSecond);
  const auto future = Apply(state, MakeChange("4", 9, kFirst));
  CHECK(future.kind == AnswerKind::kConflict);
  CHECK_THAT(future.message, Catch::Contains("base version 9 doesn't exist"));
}

// Guards against a change that is applied twice, or answered otherwise, after a lost answer.
TEST_CASE("a resent change gets its first answer, also after a restart") {
  auto state = std::make_unique<ClusterState>();
  Apply(*state, MakeChange("1", 0, kFirst));
  Apply(*state, MakeChange("lost", 0, kSecond));
  Apply(*state, MakeChange("faulty", 1, "no table"));
  Apply(*state, MakeChange("2", 1, kSecond));
  ApplyTable in_use = MakeChange("unsafe", 2, MakeCsv({{"a", 1}}));
  in_use.rows_in_use = {"b"};
  Apply(*state, in_use);
  Apply(*state, MakeChange("3", 2, kFirst));
  if (GENERATE(false, true)) Restart(state);
  const std::uint64_t records = state->Audit().LastNumber();

  ApplyTable again = MakeChange("2", 1, kSecond);
  again.origin.time_ms = 99;
  again.rows_in_use = {"a"};
  const auto accepted = Apply(*state, again);
  CHECK(accepted.kind == AnswerKind::kAccepted);
  CHECK(accepted.version == 2);
  CHECK(accepted.resent);
  CHECK(accepted.diff.size() == 1);
  const auto lost = Apply(*state, MakeChange("lost", 0, kSecond));
  CHECK(lost.kind == AnswerKind::kConflict);
  CHECK(lost.version == 1);
  CHECK(lost.diff.size() == 2);
  const auto faulty = Apply(*state, MakeChange("faulty", 1, "no table"));
  CHECK(faulty.kind == AnswerKind::kFaults);
  CHECK(faulty.faults_total == 14);
  in_use.rows_in_use.clear();
  const auto unsafe = Apply(*state, in_use);
  CHECK(unsafe.kind == AnswerKind::kUnsafe);
  REQUIRE(unsafe.problems.size() == 1);
  CHECK(unsafe.problems[0].row == "b");
  CHECK(state->Table().Version() == 3);
  CHECK(state->Audit().LastNumber() == records);
}

// Guards against an answer to one change that is given for another one.
TEST_CASE("a change id can't be used for another change") {
  ClusterState state;
  Apply(state, MakeChange("1", 0, kFirst));
  const auto other = Apply(state, MakeChange("1", 1, kSecond));
  CHECK(other.kind == AnswerKind::kChangeIdReused);
  CHECK(state.Table().Version() == 1);
  CHECK(state.Audit().After(1, 1)[0].event.result == audit::ChangeResult::kRefused);
}

// Guards against versions without a difference, which would make other operators' changes conflict.
TEST_CASE("an equal table keeps the version") {
  ClusterState state;
  Apply(state, MakeChange("1", 0, kFirst));
  const auto same = Apply(state, MakeChange("2", 1, kFirst));
  CHECK(same.kind == AnswerKind::kUnchanged);
  CHECK(same.version == 1);
  CHECK(same.diff_complete);
}

// Guards against changes that are recorded without a clear author or id.
TEST_CASE("wrong origins are refused and not recorded") {
  Origin origin{"id", "asha", 0, ""};
  SECTION("empty id") { origin.change_id = ""; }
  SECTION("space in the id") { origin.change_id = "a b"; }
  SECTION("long id") { origin.change_id = std::string(129, 'x'); }
  SECTION("no author") { origin.author = ""; }
  SECTION("long author") { origin.author = std::string(129, 'x'); }
  SECTION("long reason") { origin.reason = std::string(1025, 'x'); }
  ClusterState state;
  CHECK(Apply(state, ApplyTable{origin, 0, kFirst, {}}).kind == AnswerKind::kMalformed);
  CHECK(state.Table().Version() == 0);
  CHECK(state.Audit().LastNumber() == 0);
}

// Guards against history and recorded answers that grow without bound, and against bounds that cut
// what must still be known.
TEST_CASE("history and recorded answers are bounded") {
  auto state = std::make_unique<ClusterState>();
  constexpr std::uint64_t kChanges = kMaxRecordedAnswers + 5;
  const auto change = [](std::uint64_t i) {
    return MakeChange("id-" + std::to_string(i), i - 1,
                      MakeCsv({{"a", 1 + static_cast<std::uint32_t>(i) % 1000}}));
  };
  for (std::uint64_t i = 1; i <= kChanges; ++i) {
    state->Apply(i, 1, EncodeCommand(change(i)));
  }
  REQUIRE(state->Table().Version() == kChanges);
  Restart(state);
  const TableHistory& history = state->Table().History();
  CHECK(history.OldestFirst().size() == kMaxVersions);
  CHECK_FALSE(history.At(kChanges - kMaxVersions));
  CHECK_FALSE(history.At(0));
  CHECK_FALSE(history.At(kChanges + 1));
  for (const std::uint64_t version : {kChanges, kChanges - 1, kChanges - kMaxVersions + 1}) {
    const auto table = history.At(version);
    REQUIRE(table);
    CHECK(table::WriteCsv(table.value_or(table::Table())) == change(version).csv);
  }
  CHECK(Apply(*state, change(6)).resent);
  const auto forgotten = Apply(*state, change(5));
  CHECK_FALSE(forgotten.resent);
  CHECK(forgotten.kind == AnswerKind::kConflict);
  CHECK_FALSE(forgotten.diff_complete);
}

/// A sub-state with jobs of one row.
class FakeJobs final : public SubState {
 public:
  std::string Apply(ApplyContext& context, std::string_view payload) override {
    return std::to_string(context.index) + std::string(payload);
  }
  std::string Snapshot() const override { return this->row; }
  base::Result<base::Done, StateError> Restore(std::string_view bytes) override {
    if (bytes == "broken") return StateError{StateErrorKind::kDamaged, "broken"};
    this->row = std::string(bytes);
    return base::Done();
  }
  std::vector<std::string> RowsInUse() const override { return {this->row}; }

  std::string row = "b";
};

// Guards against removing a row whose jobs would then have no declaration.
TEST_CASE("rows with jobs are known from the other sub-states") {
  ClusterState state;
  FakeJobs jobs;
  state.AddSubState(SubStateKind::kJobs, jobs);
  Apply(state, MakeChange("1", 0, kFirst));
  const auto refused = Apply(state, MakeChange("2", 1, MakeCsv({{"a", 1}})));
  CHECK(refused.kind == AnswerKind::kUnsafe);
  jobs.row = "a";
  CHECK(Apply(state, MakeChange("3", 1, MakeCsv({{"a", 1}}))).kind == AnswerKind::kAccepted);
  CHECK(state.Apply(9, 1, EncodeCommand(SubStateKind::kJobs, "x")).answer == "9x");
}

// Guards against a restore that leaves some sub-states new and others old.
TEST_CASE("a snapshot that one sub-state refuses changes nothing") {
  ClusterState source;
  FakeJobs source_jobs;
  source.AddSubState(SubStateKind::kJobs, source_jobs);
  Apply(source, MakeChange("1", 0, kFirst));
  source_jobs.row = "broken";

  ClusterState state;
  FakeJobs jobs;
  state.AddSubState(SubStateKind::kJobs, jobs);
  CHECK_FALSE(base::Ok(state.Restore(source.Snapshot())));
  CHECK(state.Table().Version() == 0);
  CHECK(state.AppliedIndex() == 0);
  CHECK(jobs.row == "b");
  ClusterState without_jobs;
  CHECK_FALSE(base::Ok(without_jobs.Restore(source.Snapshot())));
}

}  // namespace
}  // namespace mangoroad::state
