// Tasks of the stand-in target: timers under leases, with checkpoints and reports (design page,
// 3.3 and 4).
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "service_time.h"

namespace mangoroad::standin {

/// Answer to a request about tasks: an HTTP status and a JSON body.
struct TaskAnswer {
  int status = 200;
  std::string body;
};

/// Line for the record of what ran.
using RecordSink = std::function<void(const std::string& line)>;

struct TaskRunnerSettings {
  std::string target;
  std::uint64_t incarnation = 1;
  double processors = 16;
  std::uint64_t memory_mib = 61440;
  std::uint32_t accelerators = 0;
  /// Run time of tasks whose command gives none.
  ServiceTime run_time;
  /// Usage is reported as it was this long ago.
  base::Duration usage_lag{};
  std::uint64_t seed = 1;
};

/// Runs tasks as timers. The command of a task may contain `run_ms=N` (run time), `exit=N` (exit
/// code), `use_processors=X` and `use_memory_mib=N` (usage where it differs from what is reserved).
/// A checkpoint's number is the share of the work that is done, in thousandths.
class TaskRunner {
 public:
  TaskRunner(TaskRunnerSettings runner_settings, RecordSink sink);
  ~TaskRunner();
  TaskRunner(const TaskRunner&) = delete;
  TaskRunner& operator=(const TaskRunner&) = delete;

  /// `POST /v1/tasks`. 200 when the attempt runs, also when it is repeated; 409 for an old token,
  /// an ended attempt or an ended lease; 503 when it doesn't fit.
  TaskAnswer Start(base::TimePoint now, std::string_view body);
  /// `POST /v1/tasks/{job}/{action}`; actions are throttle, unthrottle, checkpoint and stop.
  TaskAnswer Act(base::TimePoint now, std::string_view job, std::string_view action,
                 std::string_view body);
  /// Ends tasks that are done or whose lease has ended.
  void Tick(base::TimePoint now);

  /// Body of the next report; leases that its answer renews count from now. `services` is the value
  /// of the member of that name.
  std::string MakeReport(base::TimePoint now, const nlohmann::json& services);
  void OnReportReply(base::TimePoint now, std::string_view body);

  /// Makes all tasks run slower by this factor (1 is normal); fails all starts when set.
  void SetSlowdown(base::TimePoint now, double factor);
  void SetFailAll(bool is_on) { this->fails_all = is_on; }
  /// Checkpoints and stops all tasks, and refuses new ones.
  void Leave(base::TimePoint now);

  [[nodiscard]] std::size_t Running() const;
  /// Ended tasks whose end isn't acknowledged yet.
  [[nodiscard]] std::size_t Unacknowledged() const;
  /// Share of the processors that is reserved by running tasks, 0 to 1.
  [[nodiscard]] double ReservedShare() const;

 private:
  struct Task;
  struct SentReport {
    std::uint64_t sequence = 0;
    base::TimePoint sent;
  };

  void Advance(base::TimePoint now, Task& task);
  void End(base::TimePoint now, Task& task, std::string_view state, int exit_code);
  bool Apply(base::TimePoint now, Task& task, std::string_view action);
  void WriteRecord(std::string_view event, const Task& task);
  [[nodiscard]] const SentReport* FindReport(std::uint64_t sequence) const;
  [[nodiscard]] std::string Misfit(const Task& task) const;
  TaskAnswer Admit(base::TimePoint now, Task task, const nlohmann::json& order);

  TaskRunnerSettings settings;
  RecordSink record;
  base::Random random;
  /// By the text of the job's id: the latest attempt here.
  std::map<std::string, Task, std::less<>> tasks;
  std::deque<SentReport> reports;
  std::uint64_t last_sequence = 0;
  double slowdown = 1.0;
  bool fails_all = false;
  bool is_leaving = false;
};

}  // namespace mangoroad::standin
