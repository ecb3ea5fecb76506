#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "answer_check.h"
#include "history_check.h"

namespace mangoroad::load {
namespace {

using nlohmann::json;

json Attempt(const std::string& outcome, int status, bool is_whole = true) {
  return {{"outcome", outcome}, {"status", status}, {"whole", is_whole}};
}

// A history with one request and a record that ran it `count` times.
CheckReport CheckOne(bool is_idempotent, const std::vector<json>& attempts, int count) {
  std::stringstream record;
  for (int i = 0; i < count; ++i) {
    record << json{{"event", "request-start"}, {"path", "/p"}}.dump() << "\n";
    record << json{{"event", "request-end"}, {"path", "/p"}}.dump() << "\n";
  }
  std::stringstream history;
  history << json{{"path", "/p"}, {"idempotent", is_idempotent}, {"attempts", attempts}}.dump()
          << "\n";
  HistoryCheck check;
  check.ReadRecord("record", record);
  check.ReadHistory("history", history);
  return check.Finish();
}

// Guards against a check that passes over lost, doubled or falsely reported work.
TEST_CASE("violations of the reported outcome are found") {
  const json ran = Attempt("ran", 200);
  const json not_run = Attempt("not-run", 503, false);
  const json unknown = Attempt("unknown", 0, false);
  CHECK(CheckOne(false, {ran}, 1).IsClean());
  CHECK(CheckOne(false, {not_run}, 0).IsClean());
  CHECK(CheckOne(false, {unknown}, 0).IsClean());
  CHECK(CheckOne(false, {unknown}, 1).IsClean());
  CHECK(CheckOne(false, {not_run, ran}, 1).IsClean());
  CHECK(CheckOne(true, {ran}, 2).IsClean());
  CHECK(CheckOne(false, {Attempt("ran", 500, false)}, 1).IsClean());
  CHECK(CheckOne(false, {not_run}, 1).violations.size() == 1);
  CHECK(CheckOne(true, {not_run, not_run}, 1).violations.size() == 1);
  CHECK(CheckOne(false, {unknown, ran}, 2).violations.size() == 1);
  CHECK(CheckOne(false, {ran}, 0).violations.size() == 1);
  CHECK(CheckOne(false, {Attempt("ran", 200, false)}, 1).violations.size() == 1);
}

// Guards against a task that two targets run at once.
TEST_CASE("overlapping attempts of a task are found") {
  const auto [second_start, violations] =
      GENERATE(table<int, std::size_t>({{100, 0}, {99, 1}, {50, 1}}));
  std::stringstream record;
  const auto write = [&record](const char* event, const char* target, int token, int time) {
    record << json{{"event", event},
                   {"target", target},
                   {"job", 1},
                   {"token", token},
                   {"time_us", time}}
                  .dump()
           << "\n";
  };
  write("task-start", "t1", 1, 10);
  write("task-end", "t1", 1, 100);
  write("task-start", "t2", 2, second_start);
  write("task-start", "t3", 3, 300);
  HistoryCheck check;
  check.ReadRecord("record", record);
  const CheckReport report = check.Finish();
  CHECK(report.violations.size() == violations);
  CHECK(report.task_attempts == 3);
}

// Guards against a damaged file that looks like a clean one.
TEST_CASE("bad lines are reported, a cut last record line is not") {
  HistoryCheck check;
  std::stringstream record("{\"event\":\"request-start\"}\nnonsense\n{\"event\":\"request-st");
  check.ReadRecord("record", record);
  std::stringstream history("{}\n");
  check.ReadHistory("history", history);
  CHECK(check.Finish().bad_lines.size() == 3);
}

// Guards against answers that are cut, mixed up or changed on their way.
TEST_CASE("only the whole answer of the same request is accepted") {
  const std::string answer = "{\"path\":\"/p\",\"length\":3}\nabc";
  CHECK(IsWholeAnswer(answer, "/p", "abc"));
  CHECK_FALSE(IsWholeAnswer(answer, "/q", "abc"));
  CHECK_FALSE(IsWholeAnswer(answer, "/p", "abd"));
  for (std::size_t size = 0; size < answer.size(); ++size) {
    CHECK_FALSE(IsWholeAnswer(answer.substr(0, size), "/p", "abc"));
  }
}

}  // namespace
}  // namespace mangoroad::load
