// Tests of the front and ready listeners and the target client over real sockets, against simulated
// peers.
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "controller/edge_node.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/front_listener.h"
#include "platform/target_client.h"
#include "support/required.h"

namespace mangoroad::platform {
namespace {

using support::Required;

using std::chrono::milliseconds;

const std::string kJobPath = "/q/0000000000000001";
const std::string kJob = R"({"spec":"x","steps":[{"count":1,"cpu":100}]})";

/// A core VM that sends the same reply to all requests, and the front listener of an edge VM.
class Fixture {
 public:
  Fixture() {
    const auto listening = this->core.Listen("127.0.0.1", 0);
    REQUIRE(base::Ok(listening));
    controller::EdgeSettings settings;
    settings.seeds = {"127.0.0.1"};
    settings.relay_port = base::ValueOf(listening);
    settings.probe_interval = milliseconds(20);
    this->edge = std::make_unique<controller::EdgeNode>(this->loop, this->client, settings);
    this->front = std::make_unique<FrontListener>(this->loop, *this->edge, 100);
    // Listen() returns only the front port, so the ready port is fixed.
    const auto port = this->front->Listen({"127.0.0.3", 0}, {"127.0.0.3", kReadyPort});
    REQUIRE(base::Ok(port));
    this->front_port = base::ValueOf(port);
  }

  struct Response {
    int status = 0;
    std::string body;
    std::optional<std::string> retry_after;
  };
  Response Send(std::uint16_t port, net::HttpMethod method, const std::string& path,
                const std::string& body) {
    std::optional<Response> received;
    net::HttpClientRequest request;
    request.address = {"127.0.0.3", port};
    request.method = method;
    request.target = path;
    request.body = body;
    this->client.SendWhole(request, [&](std::optional<net::HttpFailure> failure,
                                        const net::HttpAnswer& response, const std::string& text) {
      REQUIRE_FALSE(failure.has_value());
      received = Response{response.status, text, {}};
      if (const auto after = response.headers.Find("Retry-After")) {
        received->retry_after = std::string(*after);
      }
      this->loop.Stop();
    });
    const net::Timer limit = this->loop.After(std::chrono::seconds(5), [&] { this->loop.Stop(); });
    this->loop.Run();
    REQUIRE(received.has_value());
    return Required(received);
  }

  static constexpr std::uint16_t kReadyPort = 18'467;
  net::EventLoop loop;
  net::HttpClient client{loop, {}};
  controller::CallerReply reply;
  controller::CallerRequest last;
  net::HttpServer core{loop, {}, [this](const net::HttpExchangePtr& exchange) {
                         const auto request = controller::DecodeCallerRequest(exchange->body);
                         REQUIRE(request.has_value());
                         if (Required(request).verb != controller::CallerVerb::kProbe) {
                           this->last = Required(request);
                         }
                         controller::RelayReply relay;
                         relay.answered = true;
                         relay.reply = this->reply;
                         exchange->Reply(200, {}, controller::EncodeRelayReply(relay));
                       }};
  std::unique_ptr<controller::EdgeNode> edge;
  std::unique_ptr<FrontListener> front;
  std::uint16_t front_port = 0;
};

// Guards against a reply that misreports the outcome of a caller's request.
TEST_CASE("replies of the leader are mapped to HTTP responses") {
  using controller::CallerOutcome;
  struct Row {
    CallerOutcome outcome;
    int status;
    std::string body;
  };
  const std::vector<Row> rows{
      {CallerOutcome::kAccepted, 200, "{}"},
      {CallerOutcome::kState, 200, R"({"state":"complete"})"},
      {CallerOutcome::kPending, 200, R"({"pending":12})"},
      {CallerOutcome::kCancelled, 200, "{}"},
      {CallerOutcome::kNoJob, 410, R"({"error":"why"})"},
      {CallerOutcome::kNoQueue, 404, R"({"error":"why"})"},
      {CallerOutcome::kMalformed, 400, R"({"error":"why"})"},
      {CallerOutcome::kBusy, 429, R"({"error":"why"})"},
      {CallerOutcome::kUnavailable, 503, R"({"error":"why"})"},
      {CallerOutcome::kUnknown, 504, R"({"error":"why"})"},
  };
  Fixture fixture;
  for (const Row& row : rows) {
    INFO(row.status);
    fixture.reply = {row.outcome, workload::JobState::kComplete, 12, 0, "why"};
    const auto response = fixture.Send(fixture.front_port, net::HttpMethod::kGet, kJobPath, "");
    CHECK(response.status == row.status);
    CHECK(response.body == row.body);
    CHECK_FALSE(response.retry_after.has_value());
  }
  fixture.reply = {CallerOutcome::kBusy, {}, 0, 1'200, ""};
  CHECK(fixture.Send(fixture.front_port, net::HttpMethod::kGet, kJobPath, "").retry_after == "2");
}

// Guards against a request that is altered on its way to the leader.
TEST_CASE("requests of callers are forwarded unchanged to the leader") {
  Fixture fixture;
  fixture.reply.outcome = controller::CallerOutcome::kAccepted;
  fixture.Send(fixture.front_port, net::HttpMethod::kPost, kJobPath, kJob);
  CHECK(fixture.last.verb == controller::CallerVerb::kSubmit);
  CHECK(fixture.last.path == kJobPath);
  CHECK(fixture.last.host == "127.0.0.3");
  REQUIRE(fixture.last.spec.has_value());
  CHECK(Required(fixture.last.spec).steps.at(0).resources.cpu == 100);
  fixture.Send(fixture.front_port, net::HttpMethod::kPost, kJobPath, "{\"steps\":");
  CHECK_FALSE(fixture.last.spec.has_value());
  fixture.Send(fixture.front_port, net::HttpMethod::kDelete, kJobPath, "");
  CHECK(fixture.last.verb == controller::CallerVerb::kCancel);
  CHECK(fixture.Send(fixture.front_port, net::HttpMethod::kPut, kJobPath, "").status == 405);
}

// Guards against new callers at an edge VM that is stopping or knows no leader yet.
TEST_CASE("an edge VM is ready while it knows a leader and doesn't drain") {
  Fixture fixture;
  CHECK(fixture.Send(Fixture::kReadyPort, net::HttpMethod::kGet, "/api/ready", "").status == 503);
  fixture.Send(fixture.front_port, net::HttpMethod::kGet, kJobPath, "");
  CHECK(fixture.Send(Fixture::kReadyPort, net::HttpMethod::kGet, "/api/ready", "").status == 200);
  fixture.front->BeginDrain();
  CHECK(fixture.Send(Fixture::kReadyPort, net::HttpMethod::kGet, "/api/ready", "").status == 503);
  fixture.reply.outcome = controller::CallerOutcome::kAccepted;
  CHECK(fixture.Send(fixture.front_port, net::HttpMethod::kPost, kJobPath, kJob).status == 200);
}

// Guards against a request that names another incarnation of a target, and a response that is
// misinterpreted.
TEST_CASE("requests to a target over HTTP") {
  net::EventLoop loop;
  net::HttpClient client(loop, {});
  TargetClient targets(loop, client);
  std::string path;
  std::string body;
  std::string instance;
  net::HttpServer target(loop, {}, [&](const net::HttpExchangePtr& exchange) {
    path = exchange->path;
    body = exchange->body;
    instance = exchange->headers.Find("X-Expect-Instance").value_or("");
    exchange->Reply(409, {}, R"({"time-ms":77,"reason":"room"})");
  });
  const auto listening = target.Listen("127.0.0.1", 0);
  REQUIRE(base::Ok(listening));
  const controller::TargetEndpoint to{"127.0.0.1:" + std::to_string(base::ValueOf(listening)),
                                      {"i-1", 5}};
  std::optional<controller::CallResponse> response;
  const auto done = [&](base::TimePoint, const controller::CallResponse& received) {
    response = received;
    loop.Stop();
  };
  targets.Start(to, {{"5c0e7a21d94b36f8", 0, 1, 17}, 2, "text", "save", 486'000, 7}, done);
  loop.Run();
  REQUIRE(response.has_value());
  CHECK(Required(response).status == controller::CallStatus::kNoCapacity);
  CHECK(Required(response).clock == 77);
  CHECK(path == "/api/run-start");
  CHECK(instance == "i-1");
  CHECK(body == R"({"checkpointed":"save","deadline-ms":486000,"fence":7,"run-id":2,)"
                R"("spec":"text","task-id":"5c0e7a21d94b36f8.0.1.17"})");
  response.reset();
  targets.Stop({"127.0.0.1:1", {"i-1", 5}}, {{"5c0e7a21d94b36f8", 0, 1, 17}, 2, 7}, done);
  loop.Run();
  REQUIRE(response.has_value());
  CHECK(Required(response).status == controller::CallStatus::kNotSent);
}

}  // namespace
}  // namespace mangoroad::platform
