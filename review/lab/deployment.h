// The project's own programs, started with the commands of the deploy file, as the platform does.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace lab {

struct Machine {
  std::string name;
  std::string role;  // "core" or "edge"
  std::string zone;
  std::string ip;
  pid_t process = -1;
};

/// A small deployment: three zones with a core machine and an edge machine each.
class Deployment {
 public:
  explicit Deployment(Record& record);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void StartAll();
  void Start(Machine& machine, bool first);
  void Signal(const Machine& machine, int number);
  /// SIGKILL, and waits for the end.
  void Kill(Machine& machine);
  /// A process of this machine ended by itself since the last call.
  bool HasEnded(Machine& machine);
  /// The machine of the core that answers a GET of the configuration itself.
  Machine* Leader();
  [[nodiscard]] Address Control(const Machine& machine) const {
    return {machine.ip, this->control};
  }
  [[nodiscard]] Address Front(const Machine& machine) const { return {machine.ip, this->front}; }
  [[nodiscard]] Address WorkerAddress(int zone, int number) const;
  [[nodiscard]] static std::string ZoneName(int zone);
  std::vector<Machine*> Role(const std::string& role);
  /// Sends a configuration until it is acknowledged; false after `timeout_ms`.
  bool Configure(const std::string& body, int timeout_ms);
  /// Text that the processes of a machine have written.
  std::string LogOf(const Machine& machine) const;

 private:
  std::string SettingsOf(const Machine& machine, bool first) const;

  Record& record;
  std::string folder;
  std::map<std::string, std::string> commands;  // by role
  std::string peer_key;
  int control = 0;
  int front = 0;
  int ready = 0;
  int first_port = 0;
  int worker_port = 0;
  std::vector<std::unique_ptr<Machine>> machines;
};

}  // namespace lab
