#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "base/random.h"
#include "base/result.h"
#include "base/soft_assert.h"

namespace mangoroad::base {
namespace {

enum class Colour { kRed, kGreen };
constexpr NameTable<Colour, 2> kColourNames{{{Colour::kRed, "red"}, {Colour::kGreen, "green"}}};

// Guards against a text format that reads back another enumerator than it wrote.
TEST_CASE("name tables convert both ways") {
  for (const auto& [value, name] : kColourNames) {
    CHECK(NameOf(kColourNames, value) == name);
    CHECK(ValueOfName(kColourNames, name) == value);
  }
  CHECK_FALSE(ValueOfName(kColourNames, "blue"));
}

// Guards against test runs that differ between machines.
TEST_CASE("equal seeds give equal sequences") {
  Random first(7);
  Random second(7);
  for (int i = 0; i < 100; ++i) REQUIRE(first.Bits() == second.Bits());
}

// Guards against an off-by-one at the bounds of a jittered delay.
TEST_CASE("random values stay inside their bounds") {
  Random random(11);
  for (int i = 0; i < 10000; ++i) {
    REQUIRE(random.Below(3) < 3);
    const Duration delay = random.Between(Duration(10), Duration(12));
    REQUIRE(delay >= Duration(10));
    REQUIRE(delay <= Duration(12));
    REQUIRE(random.Unit() < 1.0);
  }
  CHECK(random.Below(0) == 0);
}

// Guards against a broken condition that stops a process which could go on.
TEST_CASE("a soft assert reports and runs its action") {
  std::vector<std::string> seen;
  const auto previous = SetSoftAssertHandler(
      [&](const AssertFailure& failure) { seen.emplace_back(failure.condition); });
  const auto check = [](int value) {
    MANGOROAD_SOFT_ASSERT(value > 0, return false);
    return true;
  };
  CHECK(check(1));
  CHECK_FALSE(check(0));
  SetSoftAssertHandler(previous);
  CHECK(seen == std::vector<std::string>{"value > 0"});
}

}  // namespace
}  // namespace mangoroad::base
