#include <catch2/catch.hpp>
#include <string>

#include "entry/job_json.h"

namespace mangoroad::entry {
namespace {

constexpr const char* kJob =
    R"({"row":"bundle","team":"t","key":"k","processors":1.5,"memory_mib":10,"command":"c"})";

// Guards against jobs that are taken with fields that nobody checked.
TEST_CASE("a job's body is read or its faults are named") {
  const auto read = ReadJobSpec(kJob);
  REQUIRE(base::Ok(read));
  CHECK(base::ValueOf(read).declared.millicores == 1500);
  CHECK_FALSE(base::ValueOf(read).urgent);
  for (const char* bad :
       {"", "{}", R"({"row":"bundle"})",
        R"({"row":"b","team":"t","key":"k","processors":0,"memory_mib":1,"command":"c"})",
        R"({"row":"b","team":"t","key":"a b","processors":1,"memory_mib":1,"command":"c"})",
        R"({"row":"b","team":"t","key":"k","processors":1,"memory_mib":-1,"command":"c"})",
        R"({"row":"b","team":"t","key":"k","processors":1,"memory_mib":1,"command":"c","x":1})"}) {
    INFO(bad);
    CHECK_FALSE(base::Ok(ReadJobSpec(bad)));
  }
}

// Guards against a report whose end of a task is lost or invented.
TEST_CASE("a report is read or its faults are named") {
  const auto read = ReadReport("t1", R"({"incarnation":1,"sequence":4,"taken_ms_ago":20,"tasks":
      [{"job":7,"token":9,"state":"finished","exit_code":3,"checkpoint":2}],
      "services":[{"row":"push","p99_ms":4.5,"rate":10}]})");
  REQUIRE(base::Ok(read));
  const ParsedReport& report = base::ValueOf(read);
  REQUIRE(report.tasks.tasks.size() == 1);
  CHECK(report.tasks.tasks.front().state == jobs::TaskState::kFinished);
  CHECK(report.tasks.tasks.front().exit_code == 3);
  CHECK(report.age == std::chrono::milliseconds(20));
  for (const char* bad :
       {R"({"incarnation":1})",
        R"({"incarnation":1,"sequence":1,"tasks":[{"job":7,"token":9,"state":"done"}]})",
        R"({"incarnation":1,"sequence":1,"tasks":[{"job":7,"state":"running"}]})",
        R"({"incarnation":1,"sequence":1,"tasks":7})",
        R"({"incarnation":1,"sequence":1,"services":[{"row":"a"}]})"}) {
    INFO(bad);
    CHECK_FALSE(base::Ok(ReadReport("t1", bad)));
  }
}

}  // namespace
}  // namespace mangoroad::entry
