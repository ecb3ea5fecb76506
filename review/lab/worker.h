// A worker as the users' pages describe it: guards its room, knows fences, leases and ends.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"

namespace lab {

struct WorkerSettings {
  std::string id;
  std::string service;
  std::string zone;
  std::string rack;
  Address address;
  std::int64_t cpu = 16'000;
  std::int64_t memory_mb = 64'000;
  /// What one task of the case takes; every task is taken to be of this size.
  std::int64_t task_cpu = 1'000;
  /// Addresses that serve `control`, in the order in which this worker tries them.
  std::vector<Address> control;
  int beat_ms = 1'500;
  int hold_max_ms = 6'000;
  int stop_ms = 900;
  int gang_ms = 3'000;
  class Gangs* gangs = nullptr;
};

/// Where the members of gangs find each other. The text of a gang's tasks contains "gang=COUNT".
class Gangs {
 public:
  /// Notes a member of `gang`; returns when all are present, -1 before that.
  std::int64_t Join(const std::string& gang, const std::string& task, int count, std::int64_t now);
  [[nodiscard]] std::int64_t BeganAt(const std::string& gang);
  /// A member has ended early; the others are broken.
  void Break(const std::string& gang);
  [[nodiscard]] bool IsBroken(const std::string& gang);

 private:
  struct Gang {
    std::set<std::string> members;
    std::int64_t began = -1;
    bool broken = false;
  };
  std::mutex mutex;
  std::map<std::string, Gang> gangs;
};

/// One run of a task on a worker, for the check.
struct RunOnWorker {
  std::string task;
  int run = 0;
  std::string worker;
  std::string spec;
  std::int64_t began = 0;
  std::int64_t ended = -1;  // -1: still running
  std::string how;
};

class Worker {
 public:
  Worker(Record& record, WorkerSettings settings);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// Begins a life under the same id and address; it knows nothing of an earlier one.
  void Start();
  /// All that runs ends, and all connections are reset.
  void Crash();
  [[nodiscard]] bool IsIdle();
  [[nodiscard]] std::vector<RunOnWorker> Runs();
  [[nodiscard]] const WorkerSettings& Settings() const { return this->settings; }
  /// Cuts the worker off from the system, silently and both ways; it runs on.
  void Cut(bool on);
  /// Cuts the worker off once it has carried out its next start, before the answer leaves.
  void CutAfterNextStart() { this->cut_after_start = true; }
  [[nodiscard]] bool IsCut() const { return this->cut; }
  /// The present life has been confirmed by the system.
  [[nodiscard]] bool IsAnnounced() const { return this->announced; }

 private:
  struct Run {
    std::size_t log = 0;  // in `runs`
    int number = 0;
    std::int64_t ends_at = 0;  // on the worker's clock
    std::optional<std::int64_t> stops_at;
    std::string gang;  // empty: none
    std::int64_t joined_at = 0;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };

  Response Handle(const Request& request);
  Response Carry(const Request& request);
  Response StartRun(const std::string& body);
  Response StopRun(const std::string& body);
  Response Hold(const std::string& body);
  void Finish(const std::string& task, const std::string& how);
  void Tick();
  void Announce();
  [[nodiscard]] std::int64_t Clock() const;
  Response Reply(int status, const std::string& reason = "");
  void Extend(std::int64_t deadline);

  Record& record;
  WorkerSettings settings;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<RunOnWorker> runs;  // of all lives
  // Of the present life.
  bool alive = false;
  std::int64_t born_ms = 0;
  std::chrono::steady_clock::time_point birth;
  std::int64_t fence = 0;
  std::int64_t lease_until = 0;
  std::map<std::string, Run> running;
  std::map<std::string, int> closed;  // highest run that ended or was stopped, by task
  std::vector<End> ends;
  std::int64_t last_end = 0;
  std::unique_ptr<Server> server;
  std::thread ticker;
  std::thread announcer;
  std::atomic<bool> stopping = false;
  std::atomic<bool> announced = false;
  std::atomic<bool> cut = false;
  std::atomic<bool> cut_after_start = false;
};

}  // namespace lab
