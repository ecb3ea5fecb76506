#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/random.h"
#include "entry/job_json.h"
#include "entry/responder.h"
#include "entry/target_directory.h"

namespace mangoroad::entry {
namespace {

TargetInfo SomeTarget() {
  TargetInfo info;
  info.id = "t1";
  info.address = "127.0.0.1:9000";
  info.failure_domain = "kochi";
  info.resources = {16'000, 61'440, 1};
  info.capacity = {8, 64};
  info.kinds = {"push"};
  info.fence = {5, 2};
  info.owner_identity = "kochi-1.7";
  return info;
}

RelayRequest SomeRequest() {
  return {.request = 7,
          .row = "push",
          .method = "POST",
          .target = "/v1/call/push/1",
          .headers = {{"A", "b"}},
          .body = std::string("\0x", 2),
          .deadline_us = 5,
          .key = "k",
          .key_time_ms = 9};
}

// Guards against records that lose a field between entry VMs.
TEST_CASE("messages between entry VMs read back as written") {
  const auto targets =
      DecodeTargets(EncodeTargets({SomeTarget()})).value_or(std::vector<TargetInfo>{});
  REQUIRE(targets.size() == 1);
  CHECK(targets.front().resources == SomeTarget().resources);
  CHECK(targets.front().fence == SomeTarget().fence);
  CHECK(targets.front().kinds == SomeTarget().kinds);

  const auto request =
      DecodeRelayRequest(EncodeRelayRequest(SomeRequest())).value_or(RelayRequest{});
  CHECK(request.body == SomeRequest().body);
  CHECK(request.headers == SomeRequest().headers);
  CHECK(request.key_time_ms == 9);

  RelayAnswer part;
  part.part = RelayPart::kRefuse;
  part.error = ErrorKind::kInDoubt;
  part.outcome = Outcome::kUnknown;
  part.bytes = "why";
  const auto answer = DecodeRelayAnswer(EncodeRelayAnswer(part)).value_or(RelayAnswer{});
  CHECK(answer.error == ErrorKind::kInDoubt);
  CHECK(answer.bytes == "why");

  ParsedReport report;
  report.tasks.target = "t1";
  report.tasks.sequence = 3;
  report.age = std::chrono::milliseconds(40);
  report.services = {{"push", 12.5, 100}};
  const auto [number, decoded] = DecodeParsedReport(EncodeParsedReport(11, report))
                                     .value_or(std::make_pair(std::uint64_t{0}, ParsedReport{}));
  CHECK(number == 11);
  CHECK(decoded.tasks.sequence == 3);
  CHECK(decoded.services.size() == 1);
}

// Guards against damaged or hostile frames that end the process.
TEST_CASE("malformed messages are refused") {
  base::Random random(17);
  const std::vector<std::string> originals{EncodeTargets({SomeTarget()}),
                                           EncodeRelayRequest(SomeRequest()), EncodeRelayAnswer({}),
                                           EncodeParsedReport(1, {})};
  const auto decode = [](const std::string& bytes) {
    DecodeTargets(bytes);
    DecodeRelayRequest(bytes);
    DecodeRelayAnswer(bytes);
    DecodeParsedReport(bytes);
  };
  for (const std::string& original : originals) {
    for (std::size_t size = 0; size < original.size(); ++size) decode(original.substr(0, size));
    for (int round = 0; round < 500; ++round) {
      std::string changed = original;
      changed[random.Below(static_cast<std::uint32_t>(changed.size()))] =
          static_cast<char>(random.Below(256));
      decode(changed);
    }
    CHECK_FALSE(DecodeRelayRequest(original + "x"));
  }
}

// Guards against a record of an earlier owner that replaces the present one.
TEST_CASE("a target's record with an older fence is ignored") {
  TargetDirectory directory;
  CHECK(directory.Update(SomeTarget()));
  TargetInfo older = SomeTarget();
  older.fence = {5, 1};
  older.owner_identity = "kochi-2.1";
  CHECK_FALSE(directory.Update(older));
  CHECK(directory.Find("t1")->owner_identity == "kochi-1.7");
  const base::TimePoint later(TargetDirectory::kForgetAfter + base::Duration(1));
  CHECK(directory.DropSilent(later) == std::vector<std::string>{"t1"});
}

}  // namespace
}  // namespace mangoroad::entry
