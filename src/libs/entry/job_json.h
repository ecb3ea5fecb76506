// JSON of jobs and of the messages between entry VMs and targets about tasks.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "jobs/job.h"
#include "jobs/task_messages.h"

namespace mangoroad::entry {

/// A job as callers see it.
std::string JobJson(const jobs::Job& job);
/// A job that waits on this entry VM until the leader can be reached.
std::string ParkedJobJson(const std::string& id, const jobs::JobSpec& spec);
std::string JobListJson(const std::vector<const jobs::Job*>& listed, std::size_t limit);

/// The body of `POST /v1/jobs`, or a message that names the fields at fault.
base::Result<jobs::JobSpec, std::string> ReadJobSpec(std::string_view body);

/// Service measurements of a target's report.
struct ServiceReport {
  std::string row;
  double p99_ms = 0;
  double rate = 0;  // requests a second
};

/// The body of `POST /v1/targets/{id}/report`.
struct ParsedReport {
  jobs::TargetReport tasks;
  base::Duration age{};  // since the measurements were taken
  std::vector<ServiceReport> services;
};

base::Result<ParsedReport, std::string> ReadReport(const std::string& target,
                                                   std::string_view body);

/// msgpack form of a report on its way to the leader, with its age.
std::string EncodeParsedReport(std::uint64_t number, const ParsedReport& report);
std::optional<std::pair<std::uint64_t, ParsedReport>> DecodeParsedReport(std::string_view bytes);

std::string ReportReplyJson(const jobs::ReportResponse& reply);
std::string StartTaskJson(const jobs::StartTaskRequest& start);

}  // namespace mangoroad::entry
