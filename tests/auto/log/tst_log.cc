#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

#include "base/soft_assert.h"
#include "log/log.h"
#include "log/log_line.h"
#include "support/log_file.h"

namespace mangoroad::log {
namespace {

using support::LogFile;

// Guards against a module's level that also changes the others.
TEST_CASE("one category's level is set alone") {
  const LogFile file({.levels = "routing=debug,warning"});
  Debug(Category::kRouting, "picked target");
  Info(Category::kJobs, "hidden event");
  Warning(Category::kJobs, "lease ended");
  const std::string text = file.Text();
  CHECK(text.find("debug routing event=\"picked target\"") != std::string::npos);
  CHECK(text.find("hidden event") == std::string::npos);
  CHECK(text.find("warning jobs event=\"lease ended\"") != std::string::npos);
}

// Guards against a mistyped level that silently turns a log off.
TEST_CASE("bad levels are refused with the offending word and change nothing") {
  const auto [levels, word] = GENERATE(table<std::string, std::string>({
      {"loud", "loud"},
      {"router=debug", "router"},
      {"routing=", "''"},
      {"info,debug", "debug"},
  }));
  const LogFile file({.levels = "error"});
  const auto result = Configure({.levels = levels});
  REQUIRE_FALSE(base::Ok(result));
  CHECK(base::ErrorOf(result).kind == LogErrorKind::kBadLevel);
  CHECK(base::ErrorOf(result).message.find(word) != std::string::npos);
  CHECK_FALSE(IsEnabled(Category::kEntry, Level::kWarning));
}

// Guards against an unwritable log file that is noticed only when events are missing.
TEST_CASE("a log file that can't be opened is an error") {
  const auto result = Configure({.file = "/proc/no-such-folder/log"});
  REQUIRE_FALSE(base::Ok(result));
  CHECK(base::ErrorOf(result).kind == LogErrorKind::kCannotOpen);
}

// Guards against a value from outside that forges a second line or field.
TEST_CASE("text values with separators are quoted") {
  CHECK(internal::TextLine("request refused",
                           {{"row", "push"}, {"path", "a\nlevel=error x=\"1\""}, {"n", 3}}) ==
        R"(event="request refused" row=push path="a\nlevel=error x=\"1\"" n=3)");
  CHECK(internal::TextLine("e", {{"took", std::chrono::microseconds(1500)}, {"ok", true}}) ==
        "event=e took=1.5ms ok=true");
}

// Guards against lines that a JSON reader can't parse.
TEST_CASE("JSON lines parse, also with bytes that are not UTF-8") {
  const LogFile file({.format = Format::kJson});
  Info(Category::kNet, "bad frame", {{"bytes", "\xff\x01\""}, {"count", 7U}, {"rate", 0.5}});
  Info(Category::kNet, "second");
  std::istringstream lines(file.Text());
  std::string line;
  REQUIRE(std::getline(lines, line));
  const auto json = nlohmann::json::parse(line);
  CHECK(json["category"] == "net");
  CHECK(json["event"] == "bad frame");
  CHECK(json["count"] == 7);
  REQUIRE(std::getline(lines, line));
  CHECK(nlohmann::json::accept(line));
}

// Guards against broken conditions that only standard error shows.
TEST_CASE("soft asserts are logged") {
  const LogFile file({.levels = "off,base=error"});
  base::ReportSoftAssert({"count > 0", "file.cc", 7});
  CHECK(file.Text().find("error base event=\"soft assert failed\" condition=\"count > 0\" "
                         "file=file.cc line=7") != std::string::npos);
}

// Guards against credentials in logs that many people may read.
TEST_CASE("secrets are redacted by type and by key") {
  const Fields fields{{"key_bytes", Secret{}}, {"peer_secret", "hunter2"}, {"token", 12}};
  CHECK(internal::TextLine("e", fields) ==
        "event=e key_bytes=[redacted] peer_secret=[redacted] token=12");
  CHECK(internal::JsonMembers("e", fields).find("hunter2") == std::string::npos);
}

}  // namespace
}  // namespace mangoroad::log
