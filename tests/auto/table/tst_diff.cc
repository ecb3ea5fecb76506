#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "random_table.h"
#include "table/diff.h"

namespace mangoroad::table {
namespace {

Row MakeRow(const std::string& name) {
  Row row;
  row.row = name;
  row.team = "t";
  row.deadline_ms = 100;
  return row;
}

// Guards against a change that an operator doesn't see before applying it.
TEST_CASE("a difference names added, removed and changed rows with their fields") {
  Row changed = MakeRow("b");
  changed.weight = 7;
  changed.place = {"kochi", "thrissur"};
  const auto changes = Diff(Table({MakeRow("a"), MakeRow("b"), MakeRow("c")}),
                            Table({changed, MakeRow("c"), MakeRow("d")}));
  REQUIRE(changes.size() == 3);
  CHECK(changes[0] == RowChange{ChangeKind::kRemoved, "a", {}});
  CHECK(changes[1] == RowChange{ChangeKind::kChanged,
                                "b",
                                {{"weight", "1", "7"}, {"place", "any", "kochi|thrissur"}}});
  CHECK(changes[2].kind == ChangeKind::kAdded);
  CHECK(changes[2].fields.size() == 13);
  CHECK(changes[2].fields[0] == FieldChange{"row", "", "d"});
}

// Guards against a difference that leaves something out: it must lead from one table to the other.
TEST_CASE("applying a difference gives the other table") {
  CHECK(rc::check([] {
    const Table before = *RandomTable();
    const Table after = *RandomTable();
    const auto changes = Diff(before, after);
    RC_ASSERT(ApplyDiff(before, changes) == after);
    RC_ASSERT(changes.empty() == (before == after));
    RC_ASSERT(Diff(after, before).size() == changes.size());
  }));
}

// Guards against changes that break the promise under which work in progress was accepted.
TEST_CASE("unsafe changes are refused with a reason") {
  const Table before({MakeRow("a"), MakeRow("b")});
  Row row = MakeRow("a");
  SECTION("an empty table") {
    CHECK(CheckChange(before, Table(), {}).size() == 1);
    CHECK(CheckChange(Table(), Table(), {}).size() == 1);
  }
  SECTION("a row in use is removed") {
    const auto problems = CheckChange(before, Table({row}), {"x", "b", "a"});
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].row == "b");
    CHECK(problems[0].column.empty());
    CHECK_THAT(problems[0].message, Catch::Contains("row 'b' has jobs or requests in progress"));
    CHECK(CheckChange(before, Table({row}), {"a"}).empty());
  }
  SECTION("class or idempotent of a row in use changes") {
    row.work_class = WorkClass::kBatch;
    row.idempotent = true;
    row.weight = 5;
    const Table after({row, MakeRow("b")});
    const auto problems = CheckChange(before, after, {"a"});
    REQUIRE(problems.size() == 2);
    CHECK(problems[0].column == "class");
    CHECK(problems[1].column == "idempotent");
    CHECK_THAT(problems[1].message, Catch::Contains("'no' to 'yes'"));
    CHECK(CheckChange(before, after, {"b"}).empty());
  }
  SECTION("other columns of a row in use may change, and rows may be added") {
    row.weight = 5;
    row.place = {"kochi"};
    CHECK(CheckChange(before, Table({row, MakeRow("b"), MakeRow("c")}), {"a", "b", "c"}).empty());
  }
}

}  // namespace
}  // namespace mangoroad::table
