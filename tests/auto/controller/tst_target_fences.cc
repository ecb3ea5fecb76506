#include <catch2/catch.hpp>

#include "controller/target_fences.h"

namespace mangoroad::controller {
namespace {

// Guards against requests for a former incarnation, or of an earlier leader, that the target still
// carries out.
TEST_CASE("fences rise with each incarnation and each term") {
  TargetFences fences;
  fences.BeginTerm(1);
  const Fence first = fences.Raise("a");
  const Fence second = fences.Raise("a");
  CHECK(first > 0);
  CHECK(second > first);
  CHECK(fences.Raise("b") > 0);
  fences.BeginTerm(2);
  CHECK(fences.Raise("a") > second);
}

}  // namespace
}  // namespace mangoroad::controller
