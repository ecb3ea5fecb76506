#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "platform/settings_file.h"
#include "support/required.h"

namespace mangoroad::platform {
namespace {

using support::Required;

const std::string kCore = R"({"node":"core-1","ip":"10.1.0.16","zone":"kochi",
  "listen":{"control":"10.1.0.16:8166"},"port-range":[7720,7735],
  "seed-addrs":["10.1.0.16:8166","10.2.0.32:8166"],"bootstrap":true,
  "limits":{"disk-mb":128,"max-fds":4096},"data-dir":"/data/core","tolerate":{"machines":2},
  "bounds":{"grace-s":6,"hold-max-ms":6000},"a-new-field":{"x":1}})";

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  const std::size_t place = text.find(from);
  REQUIRE(place != std::string::npos);
  return text.replace(place, from.size(), to);
}

// Guards against a field that is mistaken for another one, and a new field that prevents the start.
TEST_CASE("the settings of a core VM are read") {
  const auto read = ReadSettings(kCore);
  REQUIRE(base::Ok(read));
  const PlatformSettings& settings = base::ValueOf(read);
  CHECK(Required(settings.control).port == 8166);
  CHECK_FALSE(settings.front.has_value());
  CHECK(settings.first_port == 7720);
  CHECK(settings.seeds.size() == 2);
  CHECK(settings.is_first_start);
  CHECK(settings.data_folder == "/data/core");
  CHECK(settings.tolerated_vms == 2);
  CHECK(settings.max_descriptors == 4096);
  CHECK(settings.graceful_stop_timeout == std::chrono::seconds(6));
  CHECK(settings.max_lease == std::chrono::milliseconds(6000));
}

// Guards against an edge VM that doesn't start because its data folder is null.
TEST_CASE("a VM without a disk has no data folder") {
  const std::string text =
      Replaced(Replaced(kCore, "\"/data/core\"", "null"), "\"disk-mb\":128", "\"disk-mb\":0");
  const auto read = ReadSettings(text);
  REQUIRE(base::Ok(read));
  CHECK(base::ValueOf(read).data_folder.empty());
}

// Guards against a process that runs with incomplete settings.
TEST_CASE("invalid settings are refused with the invalid field") {
  struct Row {
    std::string from;
    std::string to;
    std::string named;
  };
  const std::vector<Row> rows{
      {"\"ip\":\"10.1.0.16\",", "", "ip"},
      {"\"zone\":\"kochi\"", "\"zone\":7", "zone"},
      {"[7720,7735]", "[7735,7720]", "port-range"},
      {"[7720,7735]", "\"7720\"", "port-range"},
      {"\"10.2.0.32:8166\"", "\"nowhere\"", "nowhere"},
      {"\"control\":\"10.1.0.16:8166\"", "\"control\":\"10.1.0.16\"", "control"},
      {"\"grace-s\":6", "\"grace-s\":\"six\"", "grace-s"},
  };
  for (const Row& row : rows) {
    INFO(row.to);
    const auto read = ReadSettings(Replaced(kCore, row.from, row.to));
    REQUIRE_FALSE(base::Ok(read));
    CHECK(base::ErrorOf(read).find(row.named) != std::string::npos);
  }
  CHECK_FALSE(base::Ok(ReadSettings("")));
  CHECK_FALSE(base::Ok(ReadSettings(kCore.substr(0, 60))));
}

}  // namespace
}  // namespace mangoroad::platform
