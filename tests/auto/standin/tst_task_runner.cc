#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "task_runner.h"

namespace mangoroad::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

class Runner {
 public:
  Runner() {
    TaskRunnerSettings settings;
    settings.target = "t1";
    settings.incarnation = 7;
    settings.processors = 4;
    settings.run_time = base::ValueOf(ServiceTime::Parse("constant:1000"));
    this->runner = std::make_unique<TaskRunner>(
        settings, [this](const std::string& line) { this->lines.push_back(json::parse(line)); });
  }

  int Start(int token, const json& changes = json::object()) {
    json order{{"job", 5},          {"token", token},  {"row", "r"},
               {"command", "x"},    {"processors", 2}, {"memory_mib", 64},
               {"accelerators", 0}, {"checkpoint", 0}, {"lease_ms", 30'000}};
    order.update(changes);
    return this->runner->Start(this->now, order.dump()).status;
  }
  json Report() { return json::parse(this->runner->MakeReport(this->now, json::array())); }
  json OnlyTask() { return this->Report()["tasks"].at(0); }

  base::TimePoint now{std::chrono::hours(1)};
  std::vector<json> lines;
  std::unique_ptr<TaskRunner> runner;
};

// Guards against an end that is lost because its report was lost.
TEST_CASE("an ended task stays in reports until it is acknowledged") {
  Runner r;
  REQUIRE(r.Start(10) == 200);
  CHECK(r.Start(10) == 200);
  r.now += milliseconds(500);
  CHECK(r.OnlyTask()["progress"] == Approx(0.5));
  r.now += milliseconds(500);
  CHECK(r.OnlyTask()["state"] == "finished");
  const json report = r.Report();
  CHECK(report["tasks"].size() == 1);
  const json reply{{"sequence", report["sequence"]},
                   {"acknowledged", {{{"job", 5}, {"token", 10}}}}};
  r.runner->OnReportReply(r.now, reply.dump());
  CHECK(r.Report()["tasks"].empty());
  CHECK(r.Start(10) == 409);
  CHECK(r.Start(9) == 409);
  CHECK(r.Start(11) == 200);
  CHECK(r.lines.size() == 3);
}

// Guards against a task that goes on after the leader may have started it elsewhere.
TEST_CASE("a task ends with its lease, counted from the sending of the renewed report") {
  Runner r;
  REQUIRE(r.Start(10, {{"lease_ms", 100}, {"command", "run_ms=60000"}}) == 200);
  const json report = r.Report();
  r.now += milliseconds(90);
  const json reply{{"sequence", report["sequence"]},
                   {"renew", {{{"job", 5}, {"token", 10}, {"lease_ms", 120}}}}};
  r.runner->OnReportReply(r.now, reply.dump());
  r.now += milliseconds(29);
  CHECK(r.OnlyTask()["state"] == "running");
  r.now += milliseconds(1);
  CHECK(r.OnlyTask()["state"] == "lease-ended");
  r.runner->OnReportReply(r.now, reply.dump());
  CHECK(r.OnlyTask()["state"] == "lease-ended");
}

// Guards against a start that was delayed on its way and begins a lease that has ended.
TEST_CASE("the lease of a start counts from the report that it names") {
  Runner r;
  const json report = r.Report();
  r.now += milliseconds(100);
  const json terms{{"report_sequence", report["sequence"]}, {"lease_ms", 100}};
  CHECK(r.Start(10, terms) == 409);
  CHECK(r.Start(10, {{"report_sequence", 12345}}) == 409);
  CHECK(r.Start(10, {{"incarnation", 6}}) == 409);
  CHECK(r.lines.empty());
}

// Guards against reservations beyond the target, and against two attempts of a job at once.
TEST_CASE("starts beyond the capacity or beside an older attempt are refused") {
  Runner r;
  CHECK(r.Start(10, {{"processors", 5}}) == 503);
  CHECK(r.Start(10, {{"accelerators", 1}}) == 503);
  CHECK(r.Start(10) == 200);
  CHECK(r.Start(11) == 409);
  CHECK(r.Start(12, {{"job", "other"}, {"processors", 3}}) == 503);
  CHECK(r.Start(12, {{"job", "other"}}) == 200);
}

// Guards against work that is done twice or skipped after an eviction.
TEST_CASE("a stopped task resumes from its checkpoint") {
  Runner r;
  REQUIRE(r.Start(10) == 200);
  r.now += milliseconds(200);
  CHECK(r.runner->Act(r.now, "5", "throttle", R"({"token":10})").status == 200);
  r.now += milliseconds(200);
  CHECK(r.runner->Act(r.now, "5", "checkpoint", R"({"token":9})").status == 409);
  const TaskAnswer saved = r.runner->Act(r.now, "5", "checkpoint", R"({"token":10})");
  CHECK(json::parse(saved.body)["checkpoint"] == 300);
  CHECK(r.runner->Act(r.now, "5", "stop", R"({"token":10})").status == 200);
  CHECK(r.OnlyTask()["state"] == "stopped");
  REQUIRE(r.Start(11, {{"checkpoint", 300}}) == 200);
  r.now += milliseconds(699);
  CHECK(r.OnlyTask()["state"] == "running");
  r.now += milliseconds(1);
  CHECK(r.OnlyTask()["state"] == "finished");
}

// Guards against a worker that fails everything but can't be simulated.
TEST_CASE("a failing target ends tasks at once, a leaving one checkpoints them") {
  Runner r;
  r.runner->SetFailAll(true);
  REQUIRE(r.Start(10) == 200);
  CHECK(r.OnlyTask()["exit_code"] == 1);
  r.runner->SetFailAll(false);
  REQUIRE(r.Start(11) == 200);
  r.now += milliseconds(250);
  r.runner->Leave(r.now);
  CHECK(r.OnlyTask()["state"] == "stopped");
  CHECK(r.OnlyTask()["checkpoint"] == 250);
  CHECK(r.Start(12) == 503);
}

}  // namespace
}  // namespace mangoroad::standin
