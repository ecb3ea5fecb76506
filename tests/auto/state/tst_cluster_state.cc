#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "base/random.h"
#include "state_fixture.h"

namespace mangoroad::state {
namespace {

ClusterState& Fill(ClusterState& state) {
  Apply(state, MakeChange("1", 0, MakeCsv({{"a", 1}, {"b", 2}})));
  Apply(state, MakeChange("2", 1, MakeCsv({{"a", 2}})));
  Apply(state, MakeView("3", ViewAction::kAdd, "entry-1", 0));
  Apply(state, MakeTarget("4", TargetAction::kDrain));
  return state;
}

// Guards against commands of a newer program, or damaged ones, that stop a replica.
TEST_CASE("commands that can't be read are answered and change nothing") {
  ClusterState state;
  const std::string good = EncodeCommand(MakeChange("1", 0, MakeCsv({{"a", 1}})));
  for (const std::string& command :
       {std::string("x"), good.substr(0, good.size() / 2), good + "x",
        EncodeCommand(SubStateKind::kJobs, ""), EncodeCommand(SubStateKind::kNone, ""),
        Encode(Envelope{7, SubStateKind::kTable, ""})}) {
    CHECK(ApplyAs<ChangeAnswer>(state, command).kind == AnswerKind::kMalformed);
  }
  CHECK(ApplyAs<TableAnswer>(state, EncodeCommand(SubStateKind::kTable, "y")).kind ==
        AnswerKind::kMalformed);
  CHECK(state.Apply(50, 2, "").answer.empty());
  CHECK(state.AppliedIndex() == 50);
  CHECK(state.AppliedTerm() == 2);
  CHECK(state.Table().Version() == 0);
}

// Guards against an entry that is applied twice when the log is read again after a restart.
TEST_CASE("entries that were applied before change nothing") {
  ClusterState state;
  Fill(state);
  const std::string before = state.Snapshot();
  CHECK(state.Apply(4, 1, EncodeCommand(MakeTarget("5", TargetAction::kUndrain))).answer.empty());
  CHECK(state.Snapshot() == before);
}

// Guards against replicas that differ after one of them restarted.
TEST_CASE("a restored state equals the one it was made from") {
  ClusterState state;
  Fill(state);
  ClusterState restored;
  REQUIRE(base::Ok(restored.Restore(state.Snapshot())));
  CHECK(restored.Snapshot() == state.Snapshot());
  CHECK(restored.AppliedIndex() == 4);
  CHECK(restored.Audit().Head() == state.Audit().Head());
  CHECK(restored.Targets().IsDrained("vm-1"));
  CHECK(restored.Views().Views().at("kochi").members == std::vector<std::string>{"entry-1"});
}

// Guards against taking over a damaged snapshot.
TEST_CASE("a damaged snapshot is refused and changes nothing") {
  ClusterState source;
  const std::string good = Fill(source).Snapshot();
  CHECK(rc::check([&good] {
    std::string bytes = good;
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    if (*rc::gen::arbitrary<bool>()) {
      bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
    } else {
      bytes.resize(at);
    }
    ClusterState state;
    RC_ASSERT(!base::Ok(state.Restore(bytes)));
    RC_ASSERT(state.AppliedIndex() == 0);
    RC_ASSERT(state.Table().Version() == 0);
  }));
}

// Guards against bytes from the network or the disk that crash the codec or make it allocate much.
TEST_CASE("any bytes decode to a value or an error") {
  const std::string good = EncodeCommand(MakeChange("1", 0, MakeCsv({{"a", 1}})));
  base::Random random(3);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = good;
    for (int j = 0; j < 3; ++j) {
      bytes[random.Below(static_cast<std::uint32_t>(bytes.size()))] =
          static_cast<char>(random.Below(256));
    }
    const auto envelope = Decode<Envelope>(bytes);
    if (base::Ok(envelope)) (void)Decode<ApplyTable>(base::ValueOf(envelope).payload);
  }
  CHECK_FALSE(base::Ok(Decode<TableSnapshot>("\x92\x01\xdd\xff\xff\xff\xff")));
  const auto newer = Decode<Envelope>("\x92\x02\x93" + std::string(1, '\0') + "\x01\xa0");
  REQUIRE_FALSE(base::Ok(newer));
  CHECK(base::ErrorOf(newer).kind == StateErrorKind::kUnknownFormat);
}

// Guards against changes without a trace: each one that reached the log has a record.
TEST_CASE("each change is in the audit trail with before and after") {
  ClusterState state;
  Fill(state);
  Apply(state, MakeChange("5", 0, MakeCsv({{"a", 9}})));
  const auto records = state.Audit().After(0, 100);
  REQUIRE(records.size() == 5);
  CHECK(records[1].event.rows == std::vector<std::string>{"a", "b"});
  CHECK_THAT(records[1].event.before, Catch::Contains("\nb,service,team,2"));
  CHECK_THAT(records[1].event.after, Catch::Contains("\na,service,team,2"));
  CHECK(records[1].event.effect == "version 2: 0 rows added, 1 removed, 1 changed");
  CHECK(records[2].event.action == "view.add");
  CHECK(records[3].event.before == "not drained, not lost");
  CHECK(records[3].event.after == "drained, not lost");
  CHECK(records[4].event.result == audit::ChangeResult::kConflict);
}

}  // namespace
}  // namespace mangoroad::state
