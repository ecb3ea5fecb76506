// A small deployment: the project's processes, started with the commands of the deploy file on
// loopback addresses, and the calls of clients and operators.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace lab2 {

inline constexpr int kZones = 3;
inline constexpr const char* kHost = "review.example";
inline constexpr const char* kService = "svc1";

struct Machine {
  std::string name;
  std::string role;  // of the deploy file
  int zone = 0;
  std::string ip;
  pid_t process = -1;
  bool is_bootstrap = true;
  std::vector<Address> seeds;  // of the settings; empty: the deployment's
};

class Deployment {
 public:
  /// Three cores and an edge a zone, in a temporary folder.
  explicit Deployment(Record& case_record);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void StartAll();
  void Start(Machine& machine);
  /// SIGKILL; waits for the end.
  void Kill(Machine& machine);
  /// False once the process has ended.
  bool IsRunning(Machine& machine);

  Machine& Core(int zone) { return this->machines.at(static_cast<std::size_t>(zone)); }
  Machine& Edge(int zone) { return this->machines.at(static_cast<std::size_t>(kZones + zone)); }
  [[nodiscard]] Address Control(const Machine& machine) const;
  [[nodiscard]] Address Front(const Machine& machine) const;
  /// Where a core takes what the edges pass on.
  [[nodiscard]] Address Relay(const Machine& machine) const;
  /// A free address of a worker or of a proxy.
  [[nodiscard]] std::string NextIp();
  [[nodiscard]] int Port(int offset) const { return this->first_port + offset; }
  [[nodiscard]] std::vector<Address> Controls() const;
  /// The core that answers reads of the configuration by itself; null if none does.
  Machine* Leader();

  /// Sends a configuration until it is acknowledged.
  bool Configure(const nlohmann::json& config, int timeout_ms);
  /// The state of a job, or the status as a text.
  std::string StateOf(const std::string& path);
  Response Call(const Machine& edge, const std::string& method, const std::string& path,
                const std::string& body, int timeout_ms);
  [[nodiscard]] const std::string& Folder() const { return this->folder; }

 private:
  void WriteSettings(const Machine& machine) const;

  Record& record;
  std::string folder;
  std::string root;  // of the repository
  std::map<std::string, std::string> commands;
  std::string peer_key;
  int network = 0;
  int next_host = 100;
  int first_port = 0;
  std::vector<Machine> machines;
};

/// One queue `/q1/`, and more routes on request.
nlohmann::json Configuration(int version, bool has_queue = true, int more_routes = 0);

}  // namespace lab2
