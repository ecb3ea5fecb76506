#include <catch2/catch.hpp>
#include <string>

#include "controller/caller_messages.h"
#include "support/required.h"

namespace mangoroad::controller {
namespace {

using support::Required;

// Guards against a request that the leader decodes differently from what the edge VM encoded.
TEST_CASE("requests and replies survive encoding") {
  CallerRequest request{CallerVerb::kSubmit, "a.example", "/q/0000000000000001", {}};
  request.spec.emplace();
  request.spec->payload = "text";
  request.spec->steps.resize(1);
  const auto read = DecodeCallerRequest(EncodeCallerRequest(request));
  REQUIRE(read.has_value());
  CHECK(Required(read).path == request.path);
  CHECK(Required(read).spec == request.spec);
  RelayReply reply;
  reply.answered = true;
  reply.reply = {CallerOutcome::kBusy, workload::JobState::kQueued, 5, 2'000, "full"};
  reply.members = {"10.0.0.1", "10.0.0.2"};
  const auto same = DecodeRelayReply(EncodeRelayReply(reply));
  REQUIRE(same.has_value());
  CHECK(Required(same).reply.outcome == CallerOutcome::kBusy);
  CHECK(Required(same).reply.retry_after_ms == 2'000);
  CHECK(Required(same).members == reply.members);
}

// Guards against a truncated message that is decoded as another request.
TEST_CASE("every prefix of a request is refused") {
  const std::string bytes = EncodeCallerRequest({CallerVerb::kRead, "a", "/q/", {}});
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeCallerRequest(bytes.substr(0, size)).has_value());
  }
}

// Guards against an edge VM that ends on a reply with an outcome it has no HTTP status for.
TEST_CASE("messages with unknown values are refused") {
  RelayReply reply;
  reply.reply.outcome = static_cast<CallerOutcome>(200);
  CHECK_FALSE(DecodeRelayReply(EncodeRelayReply(reply)));
  reply.reply.outcome = CallerOutcome::kState;
  reply.reply.state = static_cast<workload::JobState>(200);
  CHECK_FALSE(DecodeRelayReply(EncodeRelayReply(reply)));
  CallerRequest request;
  request.verb = static_cast<CallerVerb>(200);
  CHECK_FALSE(DecodeCallerRequest(EncodeCallerRequest(request)));
}

}  // namespace
}  // namespace mangoroad::controller
