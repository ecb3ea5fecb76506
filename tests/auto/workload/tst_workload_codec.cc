#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "support/required.h"
#include "wire/record_codec.h"
#include "workload/commands.h"
#include "workload/workload_codec.h"
#include "workload/workload_state.h"

namespace mangoroad::workload {
namespace {

using support::Required;

// Guards against a log entry that decodes to something else than was encoded.
TEST_CASE("commands are unchanged by encoding and decoding") {
  RunChanges changes;
  changes.at_ms = 77;
  changes.starts = {{{"00000000000000aa", 1, 2, 3}, 4, {"t1", 5}}};
  changes.ends = {{{"00000000000000aa", 1, 2, 3}, 4, {"t1", 5}, RunEnd::kLeaseExpired, "save", 9}};
  const auto decoded = DecodeCommand(EncodeCommand(changes));
  REQUIRE(decoded.has_value());
  const auto& result = std::get<RunChanges>(Required(decoded));
  CHECK(result.at_ms == 77);
  CHECK(result.starts[0].target.id == "t1");
  CHECK(result.ends[0].checkpoint == "save");
  CHECK(result.ends[0].how == RunEnd::kLeaseExpired);
}

// Guards against running out of memory on a few corrupt bytes: a header states the element count,
// so that 5 bytes can claim gigabytes, and a VM has 256 MB.
TEST_CASE("sizes inside a message can't exceed the message") {
  const std::string huge_array("\xdd\xff\xff\xff\xff", 5);
  const std::string huge_text("\xdb\xff\xff\xff\xff", 5);
  const std::string deep(10'000, '\x91');
  for (const std::string& bytes :
       {huge_array, huge_text, deep, std::string(), std::string("\xc1")}) {
    CHECK_FALSE(DecodeCommand(bytes).has_value());
    CHECK_FALSE(wire::DecodeRecord<JobSpec>(bytes).has_value());
    WorkloadState state;
    CHECK_FALSE(state.Restore(bytes));
  }
}

// Guards against applying part of a truncated command.
TEST_CASE("every prefix of a command and a command with trailing bytes are refused") {
  Submit submit;
  submit.id = "00000000000000aa";
  submit.queue = "match";
  submit.spec.steps.resize(2);
  const std::string bytes = EncodeCommand(submit);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeCommand(bytes.substr(0, size)).has_value());
  }
  CHECK_FALSE(DecodeCommand(bytes + '\0').has_value());
}

// Guards against exponential time on the leader: 120 steps that each depend on all earlier ones
// have 2^118 paths.
TEST_CASE("critical paths are computed without enumerating all paths") {
  JobSpec spec;
  spec.steps.resize(120);
  for (std::uint32_t i = 0; i < spec.steps.size(); ++i) {
    spec.steps[i].estimate_ms = 10;
    for (std::uint32_t before = 0; before < i; ++before) spec.steps[i].after.push_back(before);
  }
  REQUIRE(FindSpecError(spec).empty());
  const auto paths_ms = RemainingCriticalPathsMs(spec);
  CHECK(paths_ms.front() == 1'200);
  CHECK(paths_ms.back() == 10);
  std::ranges::reverse(spec.steps);
  for (StepSpec& step : spec.steps) {
    for (std::uint32_t& before : step.after) before = 119 - before;
  }
  CHECK(RemainingCriticalPathsMs(spec).back() == 1'200);
}

// Guards against a job of a few KB that takes more memory than a core VM has.
TEST_CASE("the tasks of all steps of a job are limited") {
  JobSpec spec;
  spec.steps.resize(1'000);
  spec.steps[0].count = 99'001;
  CHECK(FindSpecError(spec).empty());
  spec.steps[0].count = 99'002;
  CHECK(FindSpecError(spec) == "a job has at most 100000 tasks in all steps");
  for (StepSpec& step : spec.steps) step.count = 4'294'967'295;
  CHECK_FALSE(FindSpecError(spec).empty());
}

// Guards against accepting a job that can never finish, such as one with a dependency cycle.
TEST_CASE("job specifications that can't run are rejected") {
  JobSpec spec;
  CHECK_FALSE(FindSpecError(spec).empty());
  spec.steps.resize(2);
  CHECK(FindSpecError(spec).empty());
  spec.steps[0].after = {1};
  CHECK(FindSpecError(spec).empty());
  spec.steps[1].after = {0};
  CHECK_FALSE(FindSpecError(spec).empty());
  spec.steps[1].after = {7};
  CHECK_FALSE(FindSpecError(spec).empty());
  spec.steps[1].after = {};
  spec.steps[1].count = 0;
  CHECK_FALSE(FindSpecError(spec).empty());
}

}  // namespace
}  // namespace mangoroad::workload
