#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>

#include "entry/json_reader.h"

namespace mangoroad::entry {
namespace {

std::string FaultOf(const std::string& body) {
  JsonReader reader(body);
  reader.Text("name", Presence::kRequired, 8);
  reader.Integer("count", Presence::kOptional, 1, 10, 1);
  reader.Number("share", Presence::kOptional, 0, 1);
  reader.Flag("urgent", Presence::kOptional);
  reader.Texts("kinds", Presence::kOptional);
  reader.IntegerMap("in_progress", Presence::kOptional);
  reader.Unsigned("nonce", Presence::kOptional);
  return reader.Fault();
}

// Guards against malformed bodies that are accepted, or refused without naming the field.
TEST_CASE("faults name the field and the value") {
  struct Row {
    const char* body;
    const char* fault;
  };
  const auto row = GENERATE(values<Row>({
      {R"({"name":"a"})", ""},
      {R"({"name":"a","nonce":18446744073709551615})", ""},
      {"{", "the body isn't valid JSON"},
      {"[1]", "the body must be a JSON object"},
      {"{}", "field 'name' is missing"},
      {R"({"name":7})", "field 'name' must be a text of at most 8 bytes, not 7"},
      {R"({"name":"much too long"})",
       "field 'name' must be a text of at most 8 bytes, not \"much too long\""},
      {R"({"name":"a","count":11})", "field 'count' must be an integer from 1 to 10, not 11"},
      {R"({"name":"a","count":1.5})", "field 'count' must be an integer from 1 to 10, not 1.5"},
      {R"({"name":"a","count":18446744073709551615})",
       "field 'count' must be an integer from 1 to 10, not 18446744073709551615"},
      {R"({"name":"a","share":2})", "field 'share' must be a number from 0 to 1, not 2"},
      {R"({"name":"a","urgent":"yes"})", "field 'urgent' must be true or false, not \"yes\""},
      {R"({"name":"a","kinds":["x",1]})", "field 'kinds' must be an array of texts, not [\"x\",1]"},
      {R"({"name":"a","in_progress":{"vm":"1"}})",
       "field 'in_progress' must be an object of integers, not {\"vm\":\"1\"}"},
      {R"({"name":"a","nonce":-1})", "field 'nonce' must be an unsigned integer, not -1"},
      {R"({"name":"a","colour":"red"})", "field 'colour' is unknown"},
      {R"({"colour":"red"})", "field 'name' is missing; field 'colour' is unknown"},
  }));
  CHECK(FaultOf(row.body) == row.fault);
}

// Guards against a deeply nested body that exhausts the stack.
TEST_CASE("a deeply nested body is refused or ignored without a crash") {
  CHECK_FALSE(FaultOf(std::string(10'000, '[') + std::string(10'000, ']')).empty());
}

// Guards against a deeply nested field that ends the process (signal 11): values were printed and
// copied recursively.
TEST_CASE("a deeply nested field is refused") {
  const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string field : {"name", "count", "share", "urgent", "kinds", "in_progress",
                                  "nonce", "room", "steps", "unknown"}) {
    INFO(field);
    for (const std::string& value :
         {nested, "{\"x\":" + nested + "}", "[{\"x\":" + nested + "}]"}) {
      const std::string body = fmt::format(R"({{"{}":{}}})", field, value);
      CHECK(FaultOf(body) == "the body is nested too deeply");
      JsonReader reader(body, UnknownFields::kIgnore);
      reader.Object("room", Presence::kOptional);
      reader.Objects("steps", Presence::kOptional);
      CHECK_FALSE(reader.Fault().empty());
    }
  }
}

// Guards against brackets in texts that count as nesting.
TEST_CASE("brackets in texts don't nest") {
  CHECK_FALSE(IsNestedTooDeeply("{\"name\":\"" + std::string(1'000, '[') + "\"}"));
  CHECK_FALSE(IsNestedTooDeeply("{\"name\":\"\\\"" + std::string(1'000, '{') + "\"}"));
  CHECK(IsNestedTooDeeply("{\"name\":\"\\\\\",\"x\":" + std::string(1'000, '[')));
}

}  // namespace
}  // namespace mangoroad::entry
