// Stand-ins for the review's cases: clients, the operator, workers and a proxy, which follow
// PROTOCOL.md, and a small deployment of the project's own programs on loopback addresses.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using nlohmann::json;

/// Milliseconds of the steady clock since the program began.
std::int64_t NowMs();
/// Unix time in milliseconds.
std::int64_t UnixMs();
void SleepMs(std::int64_t milliseconds);
/// Calls `is_true` every 5 ms until it holds; false after the time-out.
bool WaitFor(std::int64_t timeout_ms, const std::function<bool()>& is_true);
/// False when TROUBLE=0 leaves the disruption out.
bool HasTrouble();

/// The file record.txt: what was sent, answered and run, with the time in milliseconds.
void OpenRecord(const std::string& path);
void Say(const std::string& line);

/// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

struct Address {
  std::string ip;
  int port = 0;
  [[nodiscard]] std::string Text() const { return ip + ":" + std::to_string(port); }
};
Address ParseAddress(const std::string& text);

struct Answer {
  int status = 0;  ///< 0: no response
  std::string body;
  std::string location;
};
using Headers = std::vector<std::pair<std::string, std::string>>;
/// One request on a connection of its own.
Answer Call(const Address& to, const std::string& method, const std::string& path,
            const Headers& headers, const std::string& body, std::int64_t timeout_ms);
/// Sends a request without waiting for its response; returns the socket, or -1.
int SendOnly(const Address& to, const std::string& method, const std::string& path,
             const std::string& body);

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;
};
struct Response {
  int status = 200;
  std::string body;
};

/// An HTTP server with a thread for each connection.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  ~Server();
  bool Start(const Address& address, Handler handler);
  /// Ends all connections with a reset.
  void Stop();
  /// A silent cut: nothing that arrives is handled, and no response leaves. What was on its way is
  /// lost.
  void SetCut(bool cut);

 private:
  void Accept();
  void Serve(int socket);
  Handler handler;
  int listener = -1;
  std::atomic<bool> stopped{false};
  std::atomic<bool> is_cut{false};
  std::atomic<std::uint64_t> cuts{0};
  std::mutex mutex;
  std::vector<int> sockets;
  std::thread acceptor;
  std::vector<std::thread> threads;
};

/// Forwards connections. The connection over which an armed text passes goes silent for good after
/// that: nothing comes back over it, without a reset. New connections work.
class Proxy {
 public:
  ~Proxy();
  bool Start(const Address& address, const Address& forward_to);
  void Arm(const std::string& request_text);
  /// True when the other side has answered on the silent connection.
  [[nodiscard]] bool HasSwallowed() const { return swallowed; }

 private:
  void Serve(int client);
  Address target;
  int listener = -1;
  std::atomic<bool> stopped{false};
  std::atomic<bool> swallowed{false};
  std::mutex mutex;
  std::string armed;
  std::thread acceptor;
  std::vector<std::thread> threads;
};

/// What a worker did with a run.
struct Event {
  enum class Kind { kStart, kEnd, kReject };
  std::int64_t at_ms = 0;
  Kind kind = Kind::kStart;
  std::string worker;
  std::int64_t born = 0;
  std::string task;
  std::int64_t run = 0;
  std::string how;            ///< of an end or a rejection
  std::int64_t cpu_used = 0;  ///< after a start, on that worker
};

class Ledger {
 public:
  void Add(Event event);
  [[nodiscard]] std::vector<Event> All() const;
  [[nodiscard]] std::vector<Event> StartsOf(const std::string& job) const;
  [[nodiscard]] bool HasEnded(const std::string& task, std::int64_t run) const;

 private:
  mutable std::mutex mutex;
  std::vector<Event> events;
};

/// How long the tasks of a step run and what they take; a client writes it into `spec`.
struct TaskShape {
  std::int64_t work_ms = 0;
  std::int64_t cpu = 0;
  std::int64_t mem_mb = 0;
};
std::string SpecOf(const std::vector<TaskShape>& steps);

struct WorkerOptions {
  std::string id;
  std::string service;
  Address address;
  std::string zone;
  std::vector<std::string> labels;  ///< kind and rack
  std::int64_t cpu = 16'000;
  std::int64_t mem_mb = 62'500;
  bool strict_admission = true;
  std::int64_t stop_ms = 300;
  std::int64_t beat_ms = 1'500;
  std::int64_t hold_max_ms = 6'000;
  std::vector<Address> control;
};

/// One life of a worker.
class Worker {
 public:
  Worker(WorkerOptions worker_options, Ledger& shared_ledger);
  ~Worker();
  /// The first heartbeat follows after `first_beat_ms`.
  bool Start(std::int64_t first_beat_ms = 0);
  /// Ends at once: everything that runs terminates, open connections are reset.
  void End(const std::string& how);
  /// A silent cut from all machines of the system; what runs goes on.
  void SetCut(bool cut);
  void SetDraining();
  [[nodiscard]] bool IsAcknowledged(bool draining) const;
  /// Body of a heartbeat with the next `seq`.
  json MakeBeat();
  [[nodiscard]] Address BeatAddress() const;
  [[nodiscard]] const WorkerOptions& Options() const { return options; }
  [[nodiscard]] std::int64_t Born() const { return born; }
  [[nodiscard]] std::int64_t UsedCpu() const;
  [[nodiscard]] std::size_t BeatsAnswered() const { return beats_answered; }

 private:
  struct Run {
    std::int64_t run = 0;
    TaskShape shape;
    std::int64_t began_ms = 0;
    std::int64_t stop_at_ms = -1;
  };
  struct End_ {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };
  Response Handle(const Request& request);
  Response HandleStart(const json& body);
  Response HandleStop(const json& body);
  Response HandleHold(const json& body);
  Response Reply(int status, const std::string& reason);
  [[nodiscard]] std::int64_t ClockMs() const { return NowMs() - clock_origin; }
  [[nodiscard]] std::int64_t UsedCpuLocked() const;
  void Finish(std::map<std::string, Run>::iterator run, const std::string& how);
  void ExtendLease(std::int64_t deadline);
  void TickLoop();
  void BeatLoop(std::int64_t first_beat_ms);

  WorkerOptions options;
  Ledger& ledger;
  std::int64_t born = 0;
  std::int64_t clock_origin = 0;
  Server server;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Run> running;
  std::map<std::string, std::int64_t> highest_ended;
  std::deque<End_> finished;
  std::int64_t last_end = 0;
  std::int64_t fence = 0;
  std::int64_t deadline = 0;
  std::int64_t seq = 0;
  std::atomic<bool> draining{false};
  std::atomic<bool> is_cut{false};
  std::atomic<bool> ended{false};
  std::atomic<std::size_t> beats_answered{0};
  std::atomic<bool> ready_acknowledged{false};
  std::atomic<bool> draining_acknowledged{false};
  Address beat_address;
  std::size_t next_control = 0;
  std::thread tick_thread;
  std::thread beat_thread;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;
};
std::string ConfigOf(std::int64_t version, const std::vector<Route>& routes,
                     const std::vector<std::string>& services, bool strict_admission);

/// Three core machines and two edge machines of the project, started as the deploy file says.
class Deployment {
 public:
  /// `hold_max_ms`: the bound `hold-max-ms`.
  explicit Deployment(std::string case_name, std::int64_t hold_max_ms = 6'000);
  ~Deployment();
  /// False when a program can't be started. `edge_ports`: the first port of `port-range` on the
  /// edge machines, where it differs, so that a proxy can stand between edge and core.
  bool Start(int edge_first_port = 0);
  /// Kills the process of a core machine (SIGKILL).
  void KillCore(std::size_t core);
  /// Freezes the process of a core machine (SIGSTOP), or wakes it again (SIGCONT).
  void FreezeCore(std::size_t core, bool frozen);
  /// Starts it again, with its disk.
  bool RestartCore(std::size_t core);
  /// The operator sends a configuration until it is acknowledged, to one node after the other.
  bool Configure(const std::string& config, std::int64_t timeout_ms);
  /// True when all edges are ready.
  bool WaitUntilReady(std::int64_t timeout_ms);
  [[nodiscard]] std::vector<Address> Control() const;
  [[nodiscard]] Address Front(std::size_t edge) const;
  [[nodiscard]] std::string CoreIp(std::size_t core) const;
  [[nodiscard]] std::string Ip(int last) const;
  [[nodiscard]] int Port(int offset) const { return base_port + offset; }
  /// First port of `port-range`.
  [[nodiscard]] int FirstPort() const { return base_port + 20; }

 private:
  bool FindPorts();
  json SettingsOf(const std::string& role, int number, bool first_start, int first_port) const;
  bool Launch(const std::string& role, int number, int first_port, bool first_start = true);
  std::string name;
  std::string folder;
  std::string prefix;  ///< of the addresses, `127.x.y.`
  std::int64_t hold_max = 0;
  int base_port = 0;
  std::vector<pid_t> processes;
  std::map<std::string, pid_t> by_machine;
};

/// Starts workers on addresses 31, 32, ... and waits until their first heartbeat is acknowledged.
/// `change` may set the options of each; empty when one can't be started.
std::vector<std::unique_ptr<Worker>> StartWorkers(
    const Deployment& deployment, Ledger& ledger, const std::string& service, int count,
    const std::function<void(int, WorkerOptions&)>& change = {});
Worker* FindWorker(const std::vector<std::unique_ptr<Worker>>& workers, const std::string& id);

/// The main function of a case: opens the record named by the only argument and runs the case.
int RunCase(int argc, char** argv, int (*run)());

/// A client of a route. Returns the answer to one attempt.
Answer Submit(const Address& front, const Route& route, const std::string& id, const json& job);
Answer Read(const Address& front, const Route& route, const std::string& id);
std::string RandomId();
/// A job with one step of one task.
json OneTask(const TaskShape& shape, const std::string& required_label = "");
/// The same for a task that lasts.
json OneLastingTask(const TaskShape& shape);

}  // namespace lab
