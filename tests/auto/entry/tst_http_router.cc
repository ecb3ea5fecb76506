#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "entry/answers.h"
#include "entry/http_router.h"

namespace mangoroad::entry {
namespace {

// Guards against a request that reaches the handler of another path, or none.
TEST_CASE("paths and methods find their handler") {
  std::string called;
  HttpRouter router;
  const auto add = [&](std::optional<net::HttpMethod> method, const char* pattern) {
    router.Add(method, pattern, [&called, pattern](const auto&, const PathParameters& parts) {
      called = pattern;
      for (const std::string& part : parts) called += " " + part;
    });
  };
  add(net::HttpMethod::kGet, "/v1/jobs");
  add(net::HttpMethod::kGet, "/v1/jobs/{}");
  add(net::HttpMethod::kGet, "/v1/jobs/{}/wait");
  add(std::nullopt, "/v1/call/{}/{...}");
  struct Row {
    net::HttpMethod method;
    const char* path;
    HttpRouter::Match match;
    const char* called;
  };
  using Match = HttpRouter::Match;
  using net::HttpMethod;
  const auto row = GENERATE(values<Row>({
      {HttpMethod::kGet, "/v1/jobs", Match::kFound, "/v1/jobs"},
      {HttpMethod::kGet, "/v1/jobs/7", Match::kFound, "/v1/jobs/{} 7"},
      {HttpMethod::kGet, "/v1/jobs/a%2Fb", Match::kFound, "/v1/jobs/{} a/b"},
      {HttpMethod::kGet, "/v1/jobs/7/wait", Match::kFound, "/v1/jobs/{}/wait 7"},
      {HttpMethod::kPost, "/v1/jobs/7", Match::kWrongMethod, ""},
      {HttpMethod::kGet, "/v1/jobs/", Match::kUnknownPath, ""},
      {HttpMethod::kGet, "/v1/jobs/7/other", Match::kUnknownPath, ""},
      {HttpMethod::kPut, "/v1/call/push/room/1", Match::kFound, "/v1/call/{}/{...} push /room/1"},
      {HttpMethod::kPut, "/v1/call/push", Match::kFound, "/v1/call/{}/{...} push "},
      {HttpMethod::kGet, "/", Match::kUnknownPath, ""},
  }));
  INFO(row.path);
  const auto exchange = std::make_shared<net::HttpExchange>();
  exchange->method = row.method;
  exchange->path = row.path;
  CHECK(router.Dispatch(exchange) == row.match);
  CHECK(called == row.called);
}

// Guards against an error kind without a status of its own.
TEST_CASE("each error kind has a status from 400 on") {
  for (const auto& [kind, name] : kErrorKindNames) {
    INFO(name);
    CHECK(StatusOf(kind) >= 400);
    CHECK(StatusOf(kind) != 500);
    CHECK(ErrorBody(kind, "text \xff", Outcome::kNotRun).find(name) != std::string::npos);
  }
}

}  // namespace
}  // namespace mangoroad::entry
