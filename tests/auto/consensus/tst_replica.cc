#include <catch2/catch.hpp>

#include "consensus/consensus_codec.h"
#include "simulation.h"

namespace mangoroad::consensus::test {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const Configuration kThree{{"a", "b", "c"}, {}};

Operation Write(const std::string& key, const std::string& value) {
  Operation operation;
  operation.kind = OperationKind::kWrite;
  operation.key = key;
  operation.value = value;
  return operation;
}

// Guards against a cluster that elects no leader or acknowledges what isn't everywhere.
TEST_CASE("three voters elect a leader and replicate a command") {
  Simulation simulation({}, kThree);
  for (const char* name : {"a", "b", "c"}) simulation.AddNode(name);
  REQUIRE(simulation.RunUntil(2s, [&] { return simulation.Leader() != nullptr; }));
  simulation.RunFor(100ms);
  REQUIRE(simulation.Begin(simulation.Leader()->name, Write("x", "1")));
  simulation.RunFor(200ms);
  CHECK(simulation.operations.front().end);
  for (const auto& [name, node] : simulation.nodes) CHECK(node->registers["x"] == "1");
  CHECK(simulation.violations.empty());
}

// Guards against a codec that drops or reorders a field, and against a crash on malformed bytes.
TEST_CASE("messages survive the codec, malformed bytes are refused") {
  AppendRequest request{7, 3, 6, -12, {}};
  request.entries.push_back({8, 3, EntryKind::kConfiguration, "data", "origin", 5, 9});
  const Message message{4, "from", "to", request};
  const std::string bytes = EncodeMessage(message);
  const Message decoded = DecodeMessage(bytes).value_or(Message{});
  REQUIRE(std::holds_alternative<AppendRequest>(decoded.body));
  const auto& body = std::get<AppendRequest>(decoded.body);
  CHECK(decoded.term == 4);
  CHECK(decoded.from == "from");
  CHECK(decoded.to == "to");
  CHECK(body.previous_index == 7);
  CHECK(body.sent_at == -12);
  CHECK(body.entries == request.entries);
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK_FALSE(DecodeMessage(std::string_view(bytes).substr(0, length)));
  }
  CHECK_FALSE(DecodeMessage(bytes + "x"));
}

}  // namespace
}  // namespace mangoroad::consensus::test
