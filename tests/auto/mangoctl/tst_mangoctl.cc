#include <atomic>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "audit/audit_trail.h"
#include "fake_entry_vm.h"
#include "mangoctl/run_mangoctl.h"

namespace mangoroad::mangoctl {
namespace {

using Json = nlohmann::json;

const std::string kHeader =
    "row,class,team,weight,place,limit_inflight,limit_rate,deadline_ms,retries,idempotent,"
    "quota_processors,urgent,hold_s\n";
const std::string kTable = kHeader + "a,batch,t,1,any,0,0,0,0,yes,0,no,0\n";
const std::string kEdited = kHeader + "a,batch,t,2,any,0,0,0,0,yes,0,no,0\n";

/// A file that is removed at the end of the test.
class TemporaryFile {
 public:
  TemporaryFile(const std::string& name, const std::string& text) : path("tst_mangoctl_" + name) {
    std::ofstream(this->path, std::ios::binary) << text;
  }
  ~TemporaryFile() { std::remove(this->path.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string path;
};

struct Run {
  int code = 0;
  std::string out;
  std::string err;
};

struct RunOptions {
  std::string input{};
  bool is_terminal = false;
  std::map<std::string, std::string> environment{};
};

Run Mangoctl(const std::vector<std::string>& arguments, const RunOptions& options = {}) {
  std::istringstream in(options.input);
  std::ostringstream out;
  std::ostringstream err;
  std::int64_t now_ms = 0;
  Console console{in,
                  out,
                  err,
                  options.is_terminal,
                  [&](const std::string& name) -> std::optional<std::string> {
                    const auto found = options.environment.find(name);
                    if (found == options.environment.end()) return std::nullopt;
                    return found->second;
                  },
                  [&](std::chrono::milliseconds duration) { now_ms += duration.count(); },
                  [&] { return now_ms; }};
  const int code = RunMangoctl(arguments, console);
  return {code, out.str(), err.str()};
}

std::string Error(const std::string& kind, const std::string& outcome = "not-run") {
  return Json{{"error", kind}, {"message", "because of " + kind}, {"outcome", outcome}}.dump();
}

/// Serves version 3 with `kTable`, and `posted` for changes.
FakeEntryVm::Handler Serve(const FakeAnswer& posted) {
  return [posted](const FakeRequest& request) {
    if (request.method == "POST") return posted;
    return FakeAnswer{200, Json{{"version", 3}, {"csv", kTable}, {"rows", 1}}.dump()};
  };
}

const FakeAnswer kAccepted{
    200,
    Json{{"result", "accepted"}, {"version", 4}, {"change_id", "x"}, {"resent", false}}.dump()};

// Guards against scripts that take a refused change for an accepted one.
TEST_CASE("apply exits with the documented code for each answer") {
  struct Case {
    FakeAnswer answer;
    int code;
  };
  const std::vector<Case> cases{{kAccepted, 0},
                                {{409, Error("conflict")}, 3},
                                {{422, Error("faults")}, 1},
                                {{422, Error("unsafe-change")}, 1},
                                {{422, Error("change-id-reused")}, 1},
                                {{401, Error("operator-token")}, 1},
                                {{413, Error("too-large")}, 1},
                                {{503, Error("no-quorum")}, 5},
                                {{503, Error("no-quorum", "unknown")}, 5},
                                {{503, "no JSON"}, 5},
                                {{200, "no JSON"}, 1},
                                {{500, "[]"}, 1},
                                {{200, "", true}, 4}};
  const TemporaryFile file("apply.csv", kEdited);
  for (const Case& expected : cases) {
    INFO(expected.answer.status << " " << expected.answer.body);
    FakeEntryVm entry(Serve(expected.answer));
    const Run run = Mangoctl({"--entry", entry.Address(), "table", "apply", file.path});
    INFO(run.out << run.err);
    CHECK(run.code == expected.code);
    CHECK_THAT(run.out, Catch::Contains("weight: 1 -> 2"));
    CHECK((run.err.find(entry.Address()) != std::string::npos) == (expected.code != 0));
  }
}

// Guards against a change that is applied twice because it was sent with a new id after a lost
// answer.
TEST_CASE("a change whose answer was lost is sent again with the same id to the next entry VM") {
  FakeEntryVm first(Serve({200, "", true}));
  FakeEntryVm second(Serve(kAccepted));
  const TemporaryFile file("resend.csv", kEdited);
  const Run run = Mangoctl({"--entry", first.Address(), "--entry", second.Address(), "--author",
                            "asha", "--reason", "load", "table", "apply", file.path});
  INFO(run.err);
  CHECK(run.code == 0);
  const Json sent = Json::parse(first.Requests().back().body);
  const Json resent = Json::parse(second.Requests().back().body);
  CHECK(sent == resent);
  CHECK(sent["change_id"].get<std::string>().size() == 32);
  CHECK(sent["base_version"] == 3);
  CHECK(sent["author"] == "asha");
  CHECK(sent["reason"] == "load");
  CHECK(sent["csv"] == kEdited);
}

// Guards against an operator who doesn't learn that a change may be in force.
TEST_CASE("after lost answers only, the id for another try is named") {
  std::atomic<int> posts = 0;
  FakeEntryVm entry([&](const FakeRequest& request) {
    posts += request.method == "POST" ? 1 : 0;
    return Serve({200, "", true})(request);
  });
  const TemporaryFile file("lost.csv", kEdited);
  const Run run =
      Mangoctl({"--entry", entry.Address(), "--change-id", "mine", "table", "apply", file.path});
  CHECK(run.code == 4);
  CHECK(posts == 2);
  CHECK_THAT(run.err,
             Catch::Contains("may have been accepted") && Catch::Contains("--change-id mine"));
}

// Guards against an entry VM that is down or silent and stops all work of operators.
TEST_CASE("the next entry VM is tried when one can't be reached or is silent") {
  FakeEntryVm silent([](const FakeRequest&) { return FakeAnswer{.is_silent = true}; });
  FakeEntryVm good(Serve(kAccepted));
  const std::string closed = "127.0.0.1:1";
  const Run run = Mangoctl({"--timeout", "300", "table", "show"},
                           {.environment = {{"MANGOROAD_ENTRY", closed + "," + silent.Address() +
                                                                    "," + good.Address()}}});
  CHECK(run.code == 0);
  CHECK(run.out == kTable);
  CHECK_THAT(run.err, Catch::Contains(closed) && Catch::Contains(silent.Address()));
  CHECK(Mangoctl({"--entry", closed, "status"}).code == 4);
  CHECK(Mangoctl({"status"}).code == 1);
  CHECK(Mangoctl({"table", "show", "--entry", good.Address()}).code == 0);
  const Run wrong = Mangoctl({"--entry", "entry-1", "status"});
  CHECK(wrong.code == 1);
  CHECK_THAT(wrong.err, Catch::Contains("'entry-1' is not an address of the form IP:PORT"));
}

// Guards against a plan that scripts can't tell from an empty one.
TEST_CASE("plan shows the difference and tells changes by its exit code") {
  FakeEntryVm entry(Serve(kAccepted));
  const TemporaryFile same("same.csv", kTable);
  const TemporaryFile edited("edited.csv", kEdited);
  const auto plan = [&](const std::vector<std::string>& more) {
    std::vector<std::string> arguments{"--entry", entry.Address(), "table", "plan"};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return Mangoctl(arguments);
  };
  CHECK(plan({edited.path}).code == 0);
  CHECK(plan({edited.path, "--detailed-exit-code"}).code == 2);
  CHECK(plan({same.path, "--detailed-exit-code"}).code == 0);
  const Json json = Json::parse(plan({edited.path, "--json"}).out);
  CHECK(json["base_version"] == 3);
  CHECK(json["diff"][0]["fields"][0]["after"] == "2");
}

// Guards against faults that reach the entry VM, or are reported without their place.
TEST_CASE("check reports each fault and needs no entry VM") {
  const TemporaryFile good("good.csv", kTable);
  const TemporaryFile bad("bad.csv", kHeader + "a,x,t,0,any,0,0,0,0,yes,0,no,0\n");
  const TemporaryFile empty("empty.csv", kHeader);
  CHECK(Mangoctl({"table", "check", good.path}).code == 0);
  const Run run = Mangoctl({"table", "check", bad.path});
  CHECK(run.code == 1);
  CHECK_THAT(run.err, Catch::Contains(bad.path + ":2:class: 'x' is not a class") &&
                          Catch::Contains(bad.path + ":2:weight: '0' is out of range"));
  CHECK(Mangoctl({"table", "check", empty.path}).code == 1);
  CHECK(Mangoctl({"table", "check", "no-such-file"}).code == 1);
  CHECK(Mangoctl({"table", "check", "-"}, {.input = kTable}).code == 0);
  CHECK(Mangoctl({"table", "check", "--bogus"}).code == 1);
  CHECK(Mangoctl({"table", "check", "--domain", "kochi", good.path}).code == 0);
  const Run json = Mangoctl({"--json", "table", "check", bad.path});
  CHECK(Json::parse(json.out)["faults"].size() == 2);
}

// Guards against changes that are applied by mistake, and colours in files and pipes.
TEST_CASE("on a terminal, apply asks first and uses colours") {
  FakeEntryVm entry(Serve(kAccepted));
  const TemporaryFile file("ask.csv", kEdited);
  const std::vector<std::string> arguments{"--entry", entry.Address(), "table", "apply", file.path};
  const Run refused = Mangoctl(arguments, {.input = "n\n", .is_terminal = true});
  CHECK(refused.code == 1);
  CHECK(entry.Requests().size() == 1);
  CHECK_THAT(refused.out, Catch::Contains("\x1b[33m"));
  CHECK(Mangoctl(arguments, {.input = "y\n", .is_terminal = true}).code == 0);
  CHECK_THAT(Mangoctl(arguments).out, !Catch::Contains("\x1b"));
}

// Guards against a rollback that changes the past instead of making a new version.
TEST_CASE("rollback applies an older version as a new change") {
  FakeEntryVm entry([](const FakeRequest& request) {
    const bool is_old = request.path.find("version=1") != std::string::npos;
    if (request.method == "POST") return kAccepted;
    return FakeAnswer{200,
                      Json{{"version", is_old ? 1 : 3}, {"csv", is_old ? kEdited : kTable}}.dump()};
  });
  CHECK(Mangoctl({"--entry", entry.Address(), "table", "rollback", "1"}).code == 0);
  const Json sent = Json::parse(entry.Requests().back().body);
  CHECK(sent["base_version"] == 3);
  CHECK(sent["csv"] == kEdited);
  CHECK(sent["reason"] == "rollback to version 1");
}

// Guards against a wait that ends before the version is in force, or never ends.
TEST_CASE("apply --wait ends when the version is in force everywhere or the time is over") {
  std::atomic<int> polls = 0;
  std::atomic<bool> is_everywhere = true;
  FakeEntryVm entry([&](const FakeRequest& request) {
    if (request.path != "/v1/table/status") return Serve(kAccepted)(request);
    const bool in_force = is_everywhere && ++polls >= 3;
    return FakeAnswer{200, Json{{"version", 4}, {"in_force_everywhere", in_force}}.dump()};
  });
  const TemporaryFile file("wait.csv", kEdited);
  const std::vector<std::string> arguments{"--entry", entry.Address(), "table",
                                           "apply",   "--wait",        file.path};
  CHECK(Mangoctl(arguments).code == 0);
  CHECK(polls == 3);
  is_everywhere = false;
  const Run run = Mangoctl(arguments);
  CHECK(run.code == 1);
  CHECK_THAT(run.err, Catch::Contains("version 4 was accepted, but isn't in force everywhere"));
}

// Guards against requests that the server can't understand: paths and fields are those of the JSON
// reference.
TEST_CASE("each command sends the documented request") {
  struct Case {
    std::vector<std::string> arguments;
    std::string method;
    std::string path;
    Json body;
  };
  const std::vector<Case> cases{
      {{"table", "history", "--limit", "5"}, "GET", "/v1/table/history?limit=5", {}},
      {{"table", "status"}, "GET", "/v1/table/status", {}},
      {{"audit", "list", "--from", "7"}, "GET", "/v1/audit?limit=50&from=7", {}},
      {{"audit", "search", "--author", "a b", "--row", "r", "--since-ms", "1", "--until-ms", "2"},
       "GET",
       "/v1/audit?limit=50&author=a%20b&row=r&since_ms=1&until_ms=2",
       {}},
      {{"status"}, "GET", "/v1/status", {}},
      {{"top"}, "GET", "/v1/status", {}},
      {{"targets", "--failure-domain", "kochi"},
       "GET",
       "/v1/targets?limit=1000&failure_domain=kochi",
       {}},
      {{"explain", "job", "j/1"}, "GET", "/v1/explain/job/j%2F1", {}},
      {{"drain", "vm-1"}, "POST", "/v1/targets/vm-1/drain", {{"undo", false}}},
      {{"lost", "vm-1", "--incarnation", "7"},
       "POST",
       "/v1/targets/vm-1/lost",
       {{"incarnation", 7}, {"undo", false}}},
      {{"domain", "retire", "kochi"}, "POST", "/v1/domains/kochi/retire", Json::object()},
      {{"replica", "add", "e4", "--address", "10.0.0.4:7000"},
       "POST",
       "/v1/replicas",
       {{"action", "add"}, {"name", "e4"}, {"address", "10.0.0.4:7000"}, {"voter", false}}},
      {{"replica", "remove", "e4"}, "POST", "/v1/replicas", {{"action", "remove"}, {"name", "e4"}}},
      {{"job", "submit", "--row", "r", "--team", "t", "--key", "k", "--processors", "1.5",
        "--memory-mib", "64", "--urgent", "run it"},
       "POST",
       "/v1/jobs",
       {{"row", "r"},
        {"team", "t"},
        {"key", "k"},
        {"processors", 1.5},
        {"memory_mib", 64},
        {"accelerators", 0},
        {"run_time_s", 0},
        {"command", "run it"},
        {"checkpointable", false},
        {"urgent", true}}},
      {{"job", "status", "j1"}, "GET", "/v1/jobs/j1", {}},
      {{"job", "cancel", "j1"}, "POST", "/v1/jobs/j1/cancel", Json::object()},
      {{"job", "list", "--state", "queued", "--row", "r"},
       "GET",
       "/v1/jobs?limit=100&state=queued&row=r",
       {}},
  };
  const TemporaryFile key("token", "secret\n");
  FakeEntryVm entry([](const FakeRequest&) { return FakeAnswer(); });
  for (const Case& sent : cases) {
    std::vector<std::string> arguments{"--entry", entry.Address(), "--key-file", key.path};
    arguments.insert(arguments.end(), sent.arguments.begin(), sent.arguments.end());
    INFO(sent.path);
    CHECK(Mangoctl(arguments).code == 0);
    const FakeRequest request = entry.Requests().back();
    CHECK(request.method == sent.method);
    CHECK(request.path == sent.path);
    CHECK(request.token == "secret");
    if (sent.method == "GET") continue;
    Json body = Json::parse(request.body);
    if (body.contains("change_id")) {
      for (const char* name : {"change_id", "author", "reason"}) CHECK(body.erase(name) == 1);
    }
    CHECK(body == sent.body);
  }
}

// Guards against a wait that takes a failed job for a good one, or ends while the job runs.
TEST_CASE("job wait ends with the job and tells how it ended") {
  struct Case {
    std::string state;
    int code;
  };
  for (const Case& ended : {Case{"succeeded", 0}, Case{"failed", 1}, Case{"cancelled", 1}}) {
    std::atomic<int> asked = 0;
    FakeEntryVm entry([&](const FakeRequest&) {
      return FakeAnswer{
          200, Json{{"id", "j1"}, {"state", ++asked < 3 ? "running" : ended.state}}.dump()};
    });
    CHECK(Mangoctl({"--entry", entry.Address(), "job", "wait", "j1"}).code == ended.code);
    CHECK(asked == 3);
    CHECK(entry.Requests().back().path == "/v1/jobs/j1/wait?timeout_ms=20000");
  }
}

// Guards against problems that are hidden below other text.
TEST_CASE("status prints what is wrong first") {
  const Json status{{"problems",
                     {{{"severity", "critical"},
                       {"kind", "no-quorum"},
                       {"subject", "log"},
                       {"message", "2 of 3 voters can't be reached"},
                       {"since_ms", 0}}}},
                    {"name", "entry-1"}};
  FakeEntryVm entry([&](const FakeRequest&) { return FakeAnswer{200, status.dump()}; });
  const Run run = Mangoctl({"--entry", entry.Address(), "status"});
  CHECK(run.code == 0);
  CHECK_THAT(run.out, Catch::StartsWith("critical: no-quorum log: 2 of 3 voters can't be reached "
                                        "(since 1970-01-01T00:00:00Z)"));
  CHECK(Json::parse(Mangoctl({"--entry", entry.Address(), "--json", "status"}).out) == status);
}

// Guards against an export with gaps or changed records, and a verification that misses them.
TEST_CASE("audit export writes a file that audit verify accepts until it is changed") {
  audit::AuditTrail trail;
  for (int i = 0; i < 3; ++i) {
    audit::Event event;
    event.author = "asha";
    event.rows = {"a"};
    trail.Append(event);
  }
  FakeEntryVm entry([&](const FakeRequest& request) {
    const bool is_first = request.path.find("from=") == std::string::npos;
    Json records = Json::array();
    for (const auto& record : trail.After(is_first ? 0 : 2, 2)) {
      records.push_back(Json::parse(audit::ToJsonLine(record)));
    }
    return FakeAnswer{200,
                      Json{{"records", records}, {"next", is_first ? Json(3) : Json()}}.dump()};
  });
  const TemporaryFile file("audit.jsonl", "");
  const std::vector<std::string> arguments{"--entry", entry.Address(), "audit", "export",
                                           file.path};
  CHECK(Mangoctl(arguments).code == 1);
  std::vector<std::string> forced = arguments;
  forced.emplace_back("--force");
  const Run exported = Mangoctl(forced);
  INFO(exported.err);
  CHECK(exported.code == 0);
  CHECK(Mangoctl({"audit", "verify", file.path, "--head", trail.Head()}).code == 0);
  CHECK(Mangoctl({"audit", "verify", file.path, "--head", std::string(64, '1')}).code == 1);
  std::ifstream in(file.path);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  text.replace(text.find("asha", text.find('\n')), 4, "zara");
  const TemporaryFile changed("changed.jsonl", text);
  const Run broken = Mangoctl({"audit", "verify", changed.path});
  CHECK(broken.code == 1);
  CHECK_THAT(broken.err, Catch::Contains(changed.path + ":2: record 2 was changed"));
}

}  // namespace
}  // namespace mangoroad::mangoctl
