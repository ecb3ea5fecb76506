#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "support/required.h"
#include "wire/record_codec.h"
#include "workload/commands.h"
#include "workload/workload_state.h"
#include "workload/workload_codec.h"

namespace mangoroad::workload {
namespace {

using support::Required;

// Guards against an entry of the log that reads back as something else.
TEST_CASE("commands survive encoding") {
  RunChanges changes;
  changes.at_ms = 77;
  changes.starts = {{{"00000000000000aa", 1, 2, 3}, 4, {"t1", 5}}};
  changes.ends = {{{"00000000000000aa", 1, 2, 3}, 4, {"t1", 5}, RunEnd::kLeaseExpired, "save", 9}};
  const auto read = DecodeCommand(EncodeCommand(changes));
  REQUIRE(read.has_value());
  const auto& same = std::get<RunChanges>(Required(read));
  CHECK(same.at_ms == 77);
  CHECK(same.starts[0].target.id == "t1");
  CHECK(same.ends[0].checkpoint == "save");
  CHECK(same.ends[0].how == RunEnd::kLeaseExpired);
}

// Guards against a few damaged bytes that ask for gigabytes: a header says how many elements
// follow, and a VM has 256 MB.
TEST_CASE("sizes inside a message can't exceed the message") {
  const std::string huge_array("\xdd\xff\xff\xff\xff", 5);
  const std::string huge_text("\xdb\xff\xff\xff\xff", 5);
  const std::string deep(10'000, '\x91');
  for (const std::string& bytes :
       {huge_array, huge_text, deep, std::string(), std::string("\xc1")}) {
    CHECK_FALSE(DecodeCommand(bytes).has_value());
    CHECK_FALSE(wire::DecodeRecord<JobSpec>(bytes).has_value());
    WorkloadState ledger;
    CHECK_FALSE(ledger.Restore(bytes));
  }
}

// Guards against a torn command that is applied in part.
TEST_CASE("every prefix of a command is refused") {
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

// Guards against a job with many paths through its steps that keeps the leader busy for ever: 120
// steps that each come after all earlier ones have 2^118 paths.
TEST_CASE("chains through many paths are found without walking each path") {
  JobSpec spec;
  spec.steps.resize(120);
  for (std::uint32_t i = 0; i < spec.steps.size(); ++i) {
    spec.steps[i].estimate_ms = 10;
    for (std::uint32_t before = 0; before < i; ++before) spec.steps[i].after.push_back(before);
  }
  REQUIRE(FindSpecError(spec).empty());
  const auto chains = RemainingCriticalPathsMs(spec);
  CHECK(chains.front() == 1'200);
  CHECK(chains.back() == 10);
  std::ranges::reverse(spec.steps);
  for (StepSpec& step : spec.steps) {
    for (std::uint32_t& before : step.after) before = 119 - before;
  }
  CHECK(RemainingCriticalPathsMs(spec).back() == 1'200);
}

// Guards against a job that waits for itself for ever.
TEST_CASE("impossible jobs are found") {
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
