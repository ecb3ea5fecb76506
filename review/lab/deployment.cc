#include "deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace lab {

using nlohmann::json;

namespace {

constexpr int kZones = 3;
constexpr const char* kZoneNames[] = {"north", "middle", "south"};

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// The quoted text after `key = ` behind the heading `section`.
std::string ValueOf(const std::string& text, const std::string& section, const std::string& key) {
  const std::size_t heading = text.find("[" + section + "]");
  const std::size_t found =
      heading == std::string::npos ? heading : text.find(key + " = \"", heading);
  if (found == std::string::npos) throw std::runtime_error("no " + key + " in the deploy file");
  const std::size_t begin = found + key.size() + 4;
  return text.substr(begin, text.find('"', begin) - begin);
}

bool IsFree(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return free;
}

}  // namespace

std::string Deployment::ZoneName(int zone) { return kZoneNames[zone]; }

Deployment::Deployment(Record& case_record) : record(case_record) {
  const std::string deploy = ReadText("deploy/system.toml");
  this->commands["core"] = ValueOf(deploy, "roles.core", "run");
  this->commands["edge"] = ValueOf(deploy, "roles.edge", "run");
  this->peer_key = ValueOf(deploy, "roles.core", "MANGOROAD_PEER_KEY");
  std::string pattern = std::filesystem::temp_directory_path() / "mangoroad-review-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
  this->folder = pattern;
  for (int zone = 0; zone < kZones; ++zone) {
    for (const char* role : {"core", "edge"}) {
      auto machine = std::make_unique<Machine>();
      machine->name = std::string(role) + "-" + kZoneNames[zone] + "-1";
      machine->role = role;
      machine->zone = kZoneNames[zone];
      machine->ip = "127.10." + std::to_string(zone + 1) + (machine->role == "core" ? ".1" : ".2");
      this->machines.push_back(std::move(machine));
    }
  }
  std::mt19937 random(std::random_device{}());
  for (int attempt = 0; attempt < 100; ++attempt) {
    const int base = 20'000 + static_cast<int>(random() % 400) * 30;
    bool free = true;
    for (const auto& machine : this->machines) {
      for (int port = base; port < base + 20; ++port) free = free && IsFree(machine->ip, port);
    }
    if (!free) continue;
    this->first_port = base;
    this->control = base + 16;
    this->front = base + 17;
    this->ready = base + 18;
    this->worker_port = base + 19;
    return;
  }
  throw std::runtime_error("no free ports");
}

Deployment::~Deployment() {
  for (const auto& machine : this->machines) {
    if (machine->process > 0) {
      kill(machine->process, SIGCONT);
      this->Kill(*machine);
    }
  }
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(this->folder, ignored);
}

Address Deployment::WorkerAddress(int zone, int number) const {
  return {"127.10." + std::to_string(zone + 1) + "." + std::to_string(10 + number),
          this->worker_port};
}

std::vector<Machine*> Deployment::Role(const std::string& role) {
  std::vector<Machine*> found;
  for (const auto& machine : this->machines) {
    if (machine->role == role) found.push_back(machine.get());
  }
  return found;
}

std::string Deployment::SettingsOf(const Machine& machine, bool first) const {
  const bool is_core = machine.role == "core";
  json settings{{"node", machine.name},
                {"role", machine.role},
                {"machine-class", machine.role},
                {"serves", {is_core ? "control" : "edge"}},
                {"ip", machine.ip},
                {"zone", machine.zone},
                {"region", "review"},
                {"port-range", {this->first_port, this->first_port + 15}},
                {"bootstrap", first},
                {"in-tolerance", is_core},
                {"discovery", "registry"},
                {"entry", "vip"},
                {"beat-ms", 1500},
                {"tolerate", {{"machines", 1}, {"zones", 1}, {"regions", 0}}},
                {"config_mode", "highest"},
                {"control-mode", "call"}};
  for (const char* zone : kZoneNames) settings["zones"][zone] = "review";
  for (const auto& other : this->machines) {
    if (other->role != "core") continue;
    settings["seed-addrs"].push_back(ToText(this->Control(*other)));
  }
  settings["contracts"] = {"base",  "drain",  "config", "cost",   "recover",
                           "sched", "advice", "upkeep", "sharing"};
  // The bounds of a small deployment in SYSTEM.md.
  settings["bounds"] = {{"seed-lag-s", 3},       {"reuse-after-s", 2},   {"contact-ms", 3000},
                        {"ack-ms", 4000},        {"catch-up-s", 4},      {"drain-ms", 2000},
                        {"grace-s", 6},          {"loss-slack-ms", 200}, {"config-ms", 2000},
                        {"recover-s", 12},       {"hold-max-ms", 6000},  {"stop-ms", 900},
                        {"gang-ms", 3000},       {"cancel_ms", 3000},    {"visible_ms", 3000},
                        {"early_ms", 250},       {"finish_s", 14},       {"status_s", 120},
                        {"enforce-fence", true}, {"lease-ms", 3000},     {"thaw-ms", 300}};
  if (is_core) {
    const std::string data = this->folder + "/data-" + machine.name;
    std::filesystem::create_directories(data);
    settings["listen"] = {{"control", ToText(this->Control(machine))}};
    settings["limits"] = {{"cpu-quota", 0.5}, {"cores", 1},          {"memory-mb", 256},
                          {"max-fds", 4096},  {"link-mbps", 1000.0}, {"disk-mb", 128}};
    settings["data-dir"] = data;
  } else {
    settings["listen"] = {{"front", machine.ip + ":" + std::to_string(this->front)},
                          {"ready", machine.ip + ":" + std::to_string(this->ready)}};
    settings["limits"] = {{"cpu-quota", 0.1}, {"cores", 1},          {"memory-mb", 260},
                          {"max-fds", 4100},  {"link-mbps", 1000.0}, {"disk-mb", 0}};
    settings["data-dir"] = nullptr;
  }
  return settings.dump(1);
}

void Deployment::Start(Machine& machine, bool first) {
  const std::string boot = this->folder + "/boot-" + machine.name + ".json";
  std::ofstream(boot) << this->SettingsOf(machine, first);
  std::vector<std::string> words;
  std::istringstream command(this->commands.at(machine.role));
  for (std::string word; command >> word;) words.push_back(word);
  const std::string log = this->folder + "/log-" + machine.name;
  const pid_t child = fork();
  if (child == 0) {
    // Whatever ends the case ends the programs that it started.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    std::vector<std::string> variables{"PATH=/usr/bin:/bin", "HOME=" + this->folder, "LANG=C.UTF-8",
                                       "MANGOROAD_BOOT=" + boot};
    if (machine.role == "core") variables.push_back("MANGOROAD_PEER_KEY=" + this->peer_key);
    std::vector<char*> arguments;
    for (std::string& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::vector<char*> environment;
    for (std::string& variable : variables) environment.push_back(variable.data());
    environment.push_back(nullptr);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  machine.process = child;
  this->record.Write("platform: " + machine.name + " is started");
}

void Deployment::StartAll() {
  for (const auto& machine : this->machines) this->Start(*machine, true);
}

void Deployment::Signal(const Machine& machine, int number) {
  this->record.Write("platform: " + machine.name + " gets signal " + std::to_string(number) +
                     (number == SIGSTOP   ? " (stands still)"
                      : number == SIGCONT ? " (goes on)"
                                          : ""));
  kill(machine.process, number);
}

void Deployment::Kill(Machine& machine) {
  if (machine.process <= 0) return;
  kill(machine.process, SIGKILL);
  waitpid(machine.process, nullptr, 0);
  machine.process = -1;
  this->record.Write("platform: " + machine.name + " is killed");
}

bool Deployment::HasEnded(Machine& machine) {
  int status = 0;
  if (machine.process <= 0 || waitpid(machine.process, &status, WNOHANG) != machine.process) {
    return false;
  }
  machine.process = -1;
  this->record.Write("platform: the process of " + machine.name + " ended by itself, " +
                     (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                          : "exit status " + std::to_string(WEXITSTATUS(status))));
  return true;
}

Machine* Deployment::Leader() {
  // A replica that doesn't lead passes a GET on and logs that; what each one logs of its own
  // leadership is the only other way to tell.
  Machine* leader = nullptr;
  long long latest = -1;
  for (Machine* machine : this->Role("core")) {
    const std::string log = this->LogOf(*machine);
    const std::size_t taken = log.rfind("\"leadership taken\"");
    const std::size_t lost = log.rfind("\"leadership lost\"");
    if (taken == std::string::npos || (lost != std::string::npos && lost > taken)) continue;
    const std::size_t term = log.find("\"term\":", taken);
    const long long number = std::atoll(log.c_str() + term + 7);
    if (number > latest) {
      latest = number;
      leader = machine;
    }
  }
  return leader;
}

bool Deployment::Configure(const std::string& body, int timeout_ms) {
  const std::int64_t end = this->record.Now() + timeout_ms;
  const auto cores = this->Role("core");
  for (std::size_t i = 0; this->record.Now() < end; ++i) {
    const Response response =
        Send(this->Control(*cores[i % cores.size()]), {"PUT", "/api/config", {}, body}, 1'000);
    this->record.Write("operator: configuration sent to " + cores[i % cores.size()]->name + ": " +
                       std::to_string(response.status));
    if (response.status == 200) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  return false;
}

std::string Deployment::LogOf(const Machine& machine) const {
  return ReadText(this->folder + "/log-" + machine.name);
}

}  // namespace lab
