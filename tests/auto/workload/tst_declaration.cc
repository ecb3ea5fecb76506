#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "workload/declaration.h"

namespace mangoroad::workload {
namespace {

Declaration Valid() {
  Declaration declaration;
  declaration.version = 3;
  declaration.services = {{"audit", true}};
  declaration.queues = {{"match", "a.example", "/m/", "audit", 3000, 300, 0, 4, 1.5},
                        {"deep", "a.example", "/m/deep/", "audit", 3000, 300, 0, 4, 1.5}};
  return declaration;
}

// Guards against a partly applied declaration: one error makes the whole declaration invalid.
TEST_CASE("a declaration with an error is refused") {
  struct Row {
    std::string name;
    std::function<void(Declaration&)> make_invalid;
    DeclarationErrorKind expected;
  };
  const std::vector<Row> rows{
      {"unknown service", [](auto& d) { d.queues[1].service = "other"; },
       DeclarationErrorKind::kUnknownService},
      {"same host and prefix", [](auto& d) { d.queues[1].prefix = "/m/"; },
       DeclarationErrorKind::kDuplicateQueue},
      {"no time limit", [](auto& d) { d.queues[0].timeout_ms = 0; },
       DeclarationErrorKind::kNoTimeout},
      {"negative time limit", [](auto& d) { d.queues[0].timeout_ms = -5; },
       DeclarationErrorKind::kNoTimeout},
      {"no host", [](auto& d) { d.queues[0].host.clear(); }, DeclarationErrorKind::kIncomplete},
      {"no prefix", [](auto& d) { d.queues[0].prefix.clear(); }, DeclarationErrorKind::kIncomplete},
      {"nameless service", [](auto& d) { d.services[0].name.clear(); },
       DeclarationErrorKind::kIncomplete},
  };
  CHECK(base::Ok(Check(Valid())));
  for (const Row& row : rows) {
    INFO(row.name);
    Declaration declaration = Valid();
    row.make_invalid(declaration);
    const auto result = Check(declaration);
    REQUIRE_FALSE(base::Ok(result));
    CHECK(base::ErrorOf(result).kind == row.expected);
  }
}

// Guards against routing a request to the queue of a shorter prefix or of another host.
TEST_CASE("the longest prefix on the host selects the queue") {
  const Declaration declaration = Valid();
  CHECK(declaration.Find("a.example", "/m/0123")->name == "match");
  CHECK(declaration.Find("a.example", "/m/deep/0123")->name == "deep");
  CHECK(declaration.Find("b.example", "/m/0123") == nullptr);
  CHECK(declaration.Find("a.example", "/x/0123") == nullptr);
}

}  // namespace
}  // namespace mangoroad::workload
