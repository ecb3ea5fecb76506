// The leader's part of jobs: leases, the scheduler, and starts on targets.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "entry/job_json.h"
#include "entry/node_context.h"

namespace mangoroad::entry {

/// Active only while this entry VM leads the replicated log. A new leader rebuilds it from the job
/// book.
class JobLeader {
 public:
  explicit JobLeader(NodeContext& node);
  ~JobLeader();
  JobLeader(const JobLeader&) = delete;
  JobLeader& operator=(const JobLeader&) = delete;

  [[nodiscard]] bool Active() const;
  /// Starts or ends leading, ends leases and starts tasks.
  void Tick();
  /// The log applied a command.
  void OnApplied(std::string_view command, std::string_view answer);
  void OnTargetRecords(const std::vector<TargetInfo>& targets);
  /// The reply for the target, or nothing for an old report.
  std::optional<jobs::ReportResponse> OnReport(const ParsedReport& report);
  [[nodiscard]] std::string Explain(std::uint64_t job) const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::entry
