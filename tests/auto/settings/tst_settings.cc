#include <catch2/catch.hpp>
#include <cstdlib>
#include <vector>

#include "settings/settings.h"

namespace mangoroad::settings {
namespace {

base::Result<Settings, Stop> ParseArguments(std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), "mangoroadd");
  return Parse(static_cast<int>(arguments.size()), arguments.data());
}

std::vector<const char*> Complete() {
  return {"--name",           "kochi-1",
          "--failure-domain", "kochi",
          "--peer",           "kochi-2=kochi@127.0.0.1:7171",
          "--peer",           "thrissur-1=thrissur@[::1]:7271",
          "--voter",          "kochi-1",
          "--voter",          "kochi-2",
          "--voter",          "thrissur-1",
          "--data-dir",       "/var/lib/mangoroad",
          "--key-file",       "/etc/mangoroad/keys",
          "--link-delay",     "thrissur=4"};
}

class EnvironmentVariable {
 public:
  EnvironmentVariable(const char* variable, const char* value) : name(variable) {
    setenv(variable, value, 1);
  }
  ~EnvironmentVariable() { unsetenv(this->name); }
  EnvironmentVariable(const EnvironmentVariable&) = delete;
  EnvironmentVariable& operator=(const EnvironmentVariable&) = delete;

 private:
  const char* name;
};

// Guards against a flag that is accepted but not stored.
TEST_CASE("complete flags give complete settings") {
  const auto parsed = ParseArguments(Complete());
  REQUIRE(base::Ok(parsed));
  const Settings& settings = base::ValueOf(parsed);
  CHECK(settings.name == "kochi-1");
  CHECK(settings.region == "default");
  REQUIRE(settings.peers.size() == 2);
  CHECK(settings.peers[1] == Peer{"thrissur-1", "thrissur", {"::1", 7271}});
  CHECK(settings.voters.size() == 3);
  CHECK(settings.data_dir == "/var/lib/mangoroad");
  CHECK(settings.link_delays.at("thrissur") == std::chrono::milliseconds(4));
  CHECK(settings.drain_time == std::chrono::seconds(30));
}

// Guards against an operator who mends one fault a start.
TEST_CASE("all faults are in one message") {
  const auto parsed = ParseArguments({"--name", "Kochi 1", "--peer", "a=b@127.0.0.1:99999",
                                      "--peer", "x", "--http-listen", "localhost:80", "--log-level",
                                      "loud", "--drain-time", "1h", "--voter", "q", "--colour"});
  REQUIRE_FALSE(base::Ok(parsed));
  const Stop& stop = base::ErrorOf(parsed);
  CHECK(stop.exit_code == ExitCode::kBadSettings);
  for (const char* part :
       {"--name: 'Kochi 1'", "--peer: 'a=b@127.0.0.1:99999'", "--peer: 'x'",
        "--http-listen: 'localhost:80'", "--log-level: unknown level 'loud'", "--drain-time: '1h'",
        "--voter: 'q' is neither", "--failure-domain: required", "unknown argument '--colour'"}) {
    CAPTURE(part, stop.text);
    CHECK(stop.text.find(part) != std::string::npos);
  }
}

// Guards against settings that pass alone and fail together at run time.
TEST_CASE("settings that don't go together are refused") {
  const auto [flag, value, part] = GENERATE(table<const char*, const char*, const char*>({
      {"--voter", "kochi-9", "4 voters given"},
      {"--voter", "kochi-1", "'kochi-1' is given twice"},
      {"--peer", "kochi-2=kochi@127.0.0.1:9", "'kochi-2' is used twice"},
      {"--peer", "kochi-3=kochi@127.0.0.1:7171", "127.0.0.1:7171 is used twice"},
      {"--http-listen", "127.0.0.1:7071", "is also --http-listen"},
      {"--link-delay", "thrissur=9", "'thrissur' is given twice"},
      {"--name", "kochi-1", "--name: given 2 times"},
  }));
  auto arguments = Complete();
  arguments.insert(arguments.end(), {flag, value});
  const auto parsed = ParseArguments(arguments);
  REQUIRE_FALSE(base::Ok(parsed));
  CAPTURE(base::ErrorOf(parsed).text);
  CHECK(base::ErrorOf(parsed).text.find(part) != std::string::npos);
}

// Guards against a voter that loses its vote at each restart.
TEST_CASE("a voter needs a data folder, peers need a key file") {
  const auto parsed = ParseArguments({"--name", "a", "--failure-domain", "d", "--voter", "a",
                                      "--peer", "b=d@127.0.0.1:1", "--data-dir", "none"});
  REQUIRE_FALSE(base::Ok(parsed));
  CHECK(base::ErrorOf(parsed).text.find("--data-dir: required") != std::string::npos);
  CHECK(base::ErrorOf(parsed).text.find("--key-file: required") != std::string::npos);
}

// Guards against unit files whose variables are ignored.
TEST_CASE("environment variables count where a flag is not given") {
  const EnvironmentVariable name("MANGOROAD_NAME", "other");
  const EnvironmentVariable region("MANGOROAD_REGION", "south");
  const EnvironmentVariable delays("MANGOROAD_LINK_DELAY", "kochi=1,kozhikode=7");
  auto arguments = Complete();
  arguments.resize(arguments.size() - 2);
  const auto parsed = ParseArguments(arguments);
  REQUIRE(base::Ok(parsed));
  CHECK(base::ValueOf(parsed).name == "kochi-1");
  CHECK(base::ValueOf(parsed).region == "south");
  CHECK(base::ValueOf(parsed).link_delays.size() == 2);
}

// Guards against printed settings that differ from those in force.
TEST_CASE("settings are printed in the form that is read, and help names variables") {
  auto arguments = Complete();
  arguments.push_back("--print-settings");
  const auto printed = ParseArguments(arguments);
  REQUIRE_FALSE(base::Ok(printed));
  CHECK(base::ErrorOf(printed).exit_code == ExitCode::kSuccess);
  for (const char* line : {"name = kochi-1\n", "peer = thrissur-1=thrissur@[::1]:7271\n",
                           "link-delay = thrissur=4\n", "drain-time = 30\n"}) {
    CAPTURE(line);
    CHECK(base::ErrorOf(printed).text.find(line) != std::string::npos);
  }
  const auto help = ParseArguments({"--help"});
  REQUIRE_FALSE(base::Ok(help));
  CHECK(base::ErrorOf(help).text.find("MANGOROAD_DATA_DIR") != std::string::npos);
  CHECK(base::ErrorOf(help).text.find("Exit codes") != std::string::npos);
}

}  // namespace
}  // namespace mangoroad::settings
