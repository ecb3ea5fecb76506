#include "deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace lab2 {

using nlohmann::json;

namespace {

constexpr std::array<const char*, kZones> kZoneNames{"zone-a", "zone-b", "zone-c"};
constexpr int kFrontOffset = 0;
constexpr int kReadyOffset = 1;
constexpr int kControlOffset = 2;
constexpr int kRangeOffset = 3;
constexpr int kRangeSize = 16;

/// The value of `name = "..."` in a section of the deploy file.
std::string ValueIn(const std::string& text, const std::string& section, const std::string& name) {
  const std::size_t begin = text.find("[" + section + "]");
  const std::size_t at = text.find(name + " = \"", begin);
  if (begin == std::string::npos || at == std::string::npos) return {};
  const std::size_t value = at + name.size() + 4;
  return text.substr(value, text.find('"', value) - value);
}

bool IsFree(const std::string& ip, int port) {
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const bool is_free = bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  close(probe);
  return is_free;
}

}  // namespace

Deployment::Deployment(Record& case_record) : record(case_record) {
  std::string pattern = std::filesystem::temp_directory_path() / "mangoroad-review-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
  this->folder = pattern;
  this->root = std::filesystem::current_path();
  std::ifstream file("deploy/system.toml");
  std::ostringstream text;
  text << file.rdbuf();
  this->commands["core"] = ValueIn(text.str(), "roles.core", "run");
  this->commands["edge"] = ValueIn(text.str(), "roles.edge", "run");
  this->peer_key = ValueIn(text.str(), "roles.core", "MANGOROAD_PEER_KEY");
  if (this->commands["core"].empty()) throw std::runtime_error("no deploy file");
  this->network = 20 + getpid() % 200;
  for (int attempt = 0; attempt < 50; ++attempt) {
    this->first_port = 20'000 + (getpid() * 37 + attempt * 101) % 9'000;
    bool is_free = true;
    for (int offset = 0; offset < kRangeOffset + kRangeSize; ++offset) {
      is_free = is_free && IsFree("0.0.0.0", this->first_port + offset);
    }
    if (is_free) break;
  }
  for (const char* role : {"core", "edge"}) {
    for (int zone = 0; zone < kZones; ++zone) {
      Machine machine;
      machine.role = role;
      machine.zone = zone;
      machine.name = std::string(role) + "-" + kZoneNames.at(static_cast<std::size_t>(zone));
      machine.ip = this->NextIp();
      this->machines.push_back(machine);
    }
  }
}

Deployment::~Deployment() {
  for (Machine& machine : this->machines) {
    if (machine.process > 0) kill(machine.process, SIGKILL);
  }
  for (Machine& machine : this->machines) {
    if (machine.process > 0) waitpid(machine.process, nullptr, 0);
  }
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(this->folder, ignored);
}

std::string Deployment::NextIp() {
  const int host = this->next_host++;
  return "127." + std::to_string(this->network) + "." + std::to_string(1 + host / 200) + "." +
         std::to_string(1 + host % 200);
}

Address Deployment::Control(const Machine& machine) const {
  return {machine.ip, this->Port(kControlOffset)};
}

Address Deployment::Front(const Machine& machine) const {
  return {machine.ip, this->Port(kFrontOffset)};
}

Address Deployment::Relay(const Machine& machine) const {
  return {machine.ip, this->Port(kRangeOffset + 1)};
}

std::vector<Address> Deployment::Controls() const {
  std::vector<Address> addresses;
  for (const Machine& machine : this->machines) {
    if (machine.role == "core") addresses.push_back(this->Control(machine));
  }
  return addresses;
}

/// As in DEPLOY.md, with the bounds of a small deployment.
void Deployment::WriteSettings(const Machine& machine) const {
  const bool is_core = machine.role == "core";
  json zones;
  for (const char* zone : kZoneNames) zones[zone] = "region-1";
  json seeds = json::array();
  const std::vector<Address> known = machine.seeds.empty() ? this->Controls() : machine.seeds;
  for (const Address& seed : known) seeds.push_back(seed.Text());
  json listen = json::object();
  if (is_core) {
    listen["control"] = this->Control(machine).Text();
  } else {
    listen["front"] = this->Front(machine).Text();
    listen["ready"] = Address{machine.ip, this->Port(kReadyOffset)}.Text();
  }
  const std::string home = this->folder + "/" + machine.name;
  std::filesystem::create_directories(home + "/data");
  const json settings{
      {"node", machine.name},
      {"role", machine.role},
      {"machine-class", machine.role},
      {"serves", {is_core ? "control" : "edge"}},
      {"ip", machine.ip},
      {"zone", kZoneNames.at(static_cast<std::size_t>(machine.zone))},
      {"region", "region-1"},
      {"zones", zones},
      {"listen", listen},
      {"port-range", {this->Port(kRangeOffset), this->Port(kRangeOffset + kRangeSize - 1)}},
      {"seed-addrs", seeds},
      {"bootstrap", machine.is_bootstrap},
      {"in-tolerance", is_core},
      {"limits",
       {{"cpu-quota", is_core ? 0.5 : 0.25},
        {"cores", 1},
        {"memory-mb", is_core ? 256 : 260},
        {"max-fds", is_core ? 4096 : 4100},
        {"link-mbps", 1000.0},
        {"disk-mb", is_core ? 128 : 0}}},
      {"data-dir", is_core ? json(home + "/data") : json()},
      {"discovery", "registry"},
      {"entry", "vip"},
      {"beat-ms", 1500},
      {"contracts", {"base", "drain", "config", "cost", "recover", "sched"}},
      {"tolerate", {{"machines", 1}, {"zones", 1}, {"regions", 0}}},
      {"bounds",
       {{"seed-lag-s", 3},
        {"reuse-after-s", 2},
        {"contact-ms", 3000},
        {"ack-ms", 4000},
        {"catch-up-s", 4},
        {"drain-ms", 2000},
        {"grace-s", 6},
        {"config-ms", 2000},
        {"recover-s", 12},
        {"hold-max-ms", 6000},
        {"stop-ms", 900},
        {"gang-ms", 3000},
        {"cancel_ms", 3000},
        {"visible_ms", 3000},
        {"finish_s", 14},
        {"status_s", 120},
        {"enforce-fence", true},
        {"lease-ms", 3000}}},
      {"config_mode", "highest"},
      {"control-mode", "call"}};
  std::ofstream(home + "/boot.json") << settings.dump(1);
}

void Deployment::StartAll() {
  for (Machine& machine : this->machines) this->Start(machine);
}

void Deployment::Start(Machine& machine) {
  this->WriteSettings(machine);
  const std::string home = this->folder + "/" + machine.name;
  std::istringstream command(this->commands.at(machine.role));
  std::vector<std::string> words;
  for (std::string word; command >> word;) words.push_back(word);
  std::vector<std::string> variables{"MANGOROAD_BOOT=" + home + "/boot.json", "PATH=/usr/bin:/bin"};
  if (machine.role == "core") variables.push_back("MANGOROAD_PEER_KEY=" + this->peer_key);
  if (const char* levels = std::getenv("LOG_LEVELS")) {
    variables.push_back("MANGOROAD_LOG_LEVELS=" + std::string(levels));
  }
  std::vector<char*> arguments;
  for (std::string& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  std::vector<char*> environment;
  for (std::string& variable : variables) environment.push_back(variable.data());
  environment.push_back(nullptr);
  const std::string log_path = home + "/log";
  machine.process = fork();
  if (machine.process == 0) {
    // Nothing may outlive the case, however it ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(words[0].c_str(), arguments.data(), environment.data());
    _exit(127);
  }
  this->record.Write(machine.name + " starts at " + machine.ip);
  machine.is_bootstrap = false;
}

void Deployment::Kill(Machine& machine) {
  if (machine.process <= 0) return;
  kill(machine.process, SIGKILL);
  waitpid(machine.process, nullptr, 0);
  machine.process = -1;
  this->record.Write(machine.name + " is killed");
}

bool Deployment::IsRunning(Machine& machine) {
  if (machine.process <= 0) return false;
  if (waitpid(machine.process, nullptr, WNOHANG) == 0) return true;
  machine.process = -1;
  return false;
}

Machine* Deployment::Leader() {
  // A follower redirects a worker's leave to the leader; the leader takes it.
  for (int zone = 0; zone < kZones; ++zone) {
    Machine& core = this->Core(zone);
    const Response response =
        Send(this->Control(core), {"DELETE", "/api/instances/nobody", {}, "{}"}, 500);
    if (response.status == 200) return &core;
  }
  return nullptr;
}

bool Deployment::Configure(const json& config, int timeout_ms) {
  const std::int64_t until = this->record.Now() + timeout_ms;
  const Request request{"PUT", "/api/config", {}, config.dump()};
  for (int turn = 0; this->record.Now() < until; ++turn) {
    const Response response =
        SendAndFollow(this->Control(this->Core(turn % kZones)), request, 1000);
    if (response.status == 200) {
      this->record.Write("config version " + config["version"].dump() + " acknowledged by " +
                         this->Core(turn % kZones).name);
      return true;
    }
    SleepMs(50);
  }
  return false;
}

Response Deployment::Call(const Machine& edge, const std::string& method, const std::string& path,
                          const std::string& body, int timeout_ms) {
  Request request{method, path, {}, body};
  request.headers["host"] = kHost;
  request.headers["x-deadline-ms"] = std::to_string(timeout_ms);
  Response response = Send(this->Front(edge), request, timeout_ms);
  this->record.Write(method + " " + path + " at " + edge.name + ": " +
                     std::to_string(response.status) + " " + response.body);
  return response;
}

std::string Deployment::StateOf(const std::string& path) {
  const Response response = this->Call(this->Edge(1), "GET", path, "", 3000);
  const json body = json::parse(response.body, nullptr, false);
  if (response.status != 200 || !body.is_object()) return std::to_string(response.status);
  return body.value("state", "?");
}

json Configuration(int version, bool has_queue, int more_routes) {
  json routes = json::array();
  const auto add = [&](const std::string& name, const std::string& prefix) {
    routes.push_back({{"name", name},
                      {"host", kHost},
                      {"prefix", prefix},
                      {"type", "non_idempotent"},
                      {"timeout-ms", 3000},
                      {"slo-ms", 300},
                      {"prio", 0},
                      {"service", kService},
                      {"attempts", 4},
                      {"stretch", 1.5}});
  };
  if (has_queue) add("r-q1", "/q1/");
  add("r-q2", "/q2/");
  for (int i = 0; i < more_routes; ++i) {
    add("r-more-" + std::to_string(i), "/more" + std::to_string(i) + "/");
  }
  const json services = {{{"name", kService},
                          {"health-path", "/healthz"},
                          {"max-conns", 64},
                          {"protocol", "h1"},
                          {"tls", false},
                          {"strict-admission", true},
                          {"standby", false}}};
  return {{"version", version},
          {"routes", routes},
          {"services", services},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 262144},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}}};
}

}  // namespace lab2
