#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "audit/audit_trail.h"
#include "audit/chain.h"
#include "audit/digest.h"

namespace mangoroad::audit {
namespace {

Event MakeEvent(std::uint64_t i) {
  Event event;
  event.index = 10 + i;
  event.time_ms = static_cast<base::WallMilliseconds>(1000 * i);
  event.author = i % 2 == 0 ? "asha" : "bilal";
  event.action = "table.apply";
  event.subject = "change-" + std::to_string(i);
  event.rows = {"row-" + std::to_string(i % 3)};
  event.result = i % 5 == 0 ? ChangeResult::kRefused : ChangeResult::kAccepted;
  event.reason = "quotes \" and\nlines, \xe0\xb4\x95";
  event.before = "a,1\n";
  event.after = "a,2\n";
  event.effect = "1 row changed";
  return event;
}

AuditTrail MakeTrail(std::uint64_t count) {
  AuditTrail trail;
  for (std::uint64_t i = 1; i <= count; ++i) trail.Append(MakeEvent(i));
  return trail;
}

std::vector<std::string> LinesOf(const AuditTrail& trail) {
  std::vector<std::string> lines;
  for (const Record& record : trail.After(0, kMaxRecords)) lines.push_back(ToJsonLine(record));
  return lines;
}

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += line + '\n';
  return text;
}

/// The record of a line after a change, with the hash that fits the change.
template <typename Change>
std::string Rehashed(const std::string& line, const Change& change) {
  Record record = FromJsonLine(line).value_or(Record());
  change(record);
  record.hash = HashOf(record);
  return ToJsonLine(record);
}

void Replace(std::string& text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  text.replace(at, from.size(), to);
}

// Guards against a digest that other tools don't reproduce (test vector of FIPS 180-4).
TEST_CASE("the digest is SHA-256") {
  CHECK(Sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a false alarm, and against fields that are lost in the file.
TEST_CASE("an intact chain verifies, from any record on") {
  const AuditTrail trail = MakeTrail(20);
  std::vector<std::string> lines = LinesOf(trail);
  for (int skipped = 0; skipped < 3; ++skipped) {
    const auto verified = VerifyJsonLines(Join(lines));
    REQUIRE(base::Ok(verified));
    const ChainSummary& summary = base::ValueOf(verified);
    CHECK(summary.first_number == static_cast<std::uint64_t>(skipped) + 1);
    CHECK(summary.last_number == 20);
    CHECK(summary.head == trail.Head());
    lines.erase(lines.begin());
  }
  CHECK(FromJsonLine(lines[0]).value_or(Record()).event == MakeEvent(4));
  CHECK(base::ValueOf(VerifyJsonLines("")).records == 0);
}

// Guards against a change of the trail that goes unnoticed.
TEST_CASE("tampering is found at the first broken record") {
  struct Case {
    std::string what;
    void (*tamper)(std::vector<std::string>& lines);
    std::size_t line;
    std::string message;
  };
  const std::vector<Case> cases{
      {"author changed", [](auto& lines) { Replace(lines[4], "bilal", "zahra"); }, 5,
       "record 5 was changed"},
      {"result changed", [](auto& lines) { Replace(lines[4], "refused", "accepted"); }, 5,
       "record 5 was changed"},
      {"row added", [](auto& lines) { Replace(lines[4], "\"row-2\"", "\"row-2\",\"x\""); }, 5,
       "record 5 was changed"},
      {"removed", [](auto& lines) { lines.erase(lines.begin() + 4); }, 5,
       "record 6 found where record 5 is expected"},
      {"repeated", [](auto& lines) { lines.insert(lines.begin() + 4, lines[3]); }, 5,
       "record 4 found where record 5 is expected"},
      {"swapped", [](auto& lines) { std::swap(lines[4], lines[5]); }, 5, "record 6 found where"},
      {"replaced with a valid hash",
       [](auto& lines) {
         lines[4] = Rehashed(lines[4], [](Record& record) { record.event.author = "zahra"; });
       },
       6, "record 6 doesn't follow the record before it"},
      {"field added", [](auto& lines) { Replace(lines[4], "{", "{\"x\":1,"); }, 5, "canonical"},
      {"space added", [](auto& lines) { Replace(lines[4], ",", ", "); }, 5, "canonical"},
      {"number spelled otherwise", [](auto& lines) { Replace(lines[4], ":5,", ":5.0,"); }, 5,
       "canonical"},
      {"cut inside a line", [](auto& lines) { lines[4].resize(40); }, 5, "canonical"},
      {"empty line", [](auto& lines) { lines[4].clear(); }, 5, "canonical"},
      {"first record with another start",
       [](auto& lines) {
         lines[0] = Rehashed(lines[0], [](Record& record) { record.previous_hash = record.hash; });
       },
       1, "record 1 doesn't follow"},
  };
  for (const Case& broken : cases) {
    INFO(broken.what);
    std::vector<std::string> lines = LinesOf(MakeTrail(10));
    broken.tamper(lines);
    const auto verified = VerifyJsonLines(Join(lines));
    REQUIRE_FALSE(base::Ok(verified));
    CHECK(base::ErrorOf(verified).line == broken.line);
    CHECK_THAT(base::ErrorOf(verified).message, Catch::Contains(broken.message));
  }
}

// Guards against memory that grows with each change, and a chain that breaks at the bound.
TEST_CASE("memory is bounded and the chain goes on") {
  AuditTrail trail = MakeTrail(kMaxRecords + 10);
  CHECK(trail.FirstNumber() == 11);
  CHECK(trail.LastNumber() == kMaxRecords + 10);
  CHECK(base::Ok(VerifyJsonLines(Join(LinesOf(trail)))));
  Event large = MakeEvent(1);
  large.before = std::string(kMaxTextBytes - 1, 'x') + "\xe0\xb4\x95 and more";
  for (int i = 0; i < 300; ++i) trail.Append(large);
  CHECK(LinesOf(trail).size() < 140);
  CHECK_THAT(trail.After(trail.LastNumber() - 1, 1)[0].event.before,
             Catch::EndsWith("x... (12 bytes cut)"));
}

// Guards against a file writer that misses records or writes one twice.
TEST_CASE("records after a number are handed out once and in order") {
  const AuditTrail trail = MakeTrail(10);
  const auto first = trail.After(0, 4);
  REQUIRE(first.size() == 4);
  const auto second = trail.After(first.back().number, 100);
  REQUIRE(second.size() == 6);
  CHECK(second.front().number == 5);
  CHECK(trail.After(10, 100).empty());
  CHECK(trail.After(11, 100).empty());
}

// Guards against a search that misses a change.
TEST_CASE("search finds by author, time, row and number") {
  const AuditTrail trail = MakeTrail(12);
  const auto numbers = [&](const Query& query) {
    std::vector<std::uint64_t> found;
    for (const Record& record : trail.Search(query)) found.push_back(record.number);
    return found;
  };
  using Numbers = std::vector<std::uint64_t>;
  CHECK(numbers({.author = "asha", .limit = 2}) == Numbers{2, 4});
  CHECK(numbers({.row = "row-0"}) == Numbers{3, 6, 9, 12});
  CHECK(numbers({.since_ms = 4000, .until_ms = 6000}) == Numbers{4, 5, 6});
  CHECK(numbers({.author = "bilal", .row = "row-0", .from = 4}) == Numbers{9});
  CHECK(numbers({.author = "nobody"}).empty());
}

// Guards against a replica that goes on with another chain after a restart.
TEST_CASE("a restored trail continues the same chain") {
  AuditTrail trail = MakeTrail(9);
  AuditTrail restored;
  REQUIRE(base::Ok(restored.Restore(trail.Snapshot())));
  trail.Append(MakeEvent(10));
  restored.Append(MakeEvent(10));
  CHECK(restored.Head() == trail.Head());
  CHECK(restored.Snapshot() == trail.Snapshot());
  CHECK(base::Ok(restored.Restore(AuditTrail().Snapshot())));
  CHECK(restored.LastNumber() == 0);
}

// Guards against taking over damaged records, and against losing the intact ones by trying.
TEST_CASE("a damaged snapshot is refused and changes nothing") {
  AuditTrail trail = MakeTrail(5);
  const std::string good = MakeTrail(3).Snapshot();
  std::string changed = good;
  Replace(changed, "asha", "zara");
  for (const std::string& bytes : {std::string(), changed, good.substr(0, good.size() / 2),
                                   good.substr(0, good.rfind("{\"number\"")), "x" + good}) {
    CHECK_FALSE(base::Ok(trail.Restore(bytes)));
    CHECK(trail.LastNumber() == 5);
  }
}

}  // namespace
}  // namespace mangoroad::audit
