// Codec for job commands, task messages and snapshots: msgpack arrays whose first element is the
// format version.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jobs/commands.h"
#include "jobs/job_store.h"
#include "jobs/task_messages.h"

namespace mangoroad::jobs {

std::string EncodeCommand(const Command& command);
base::Result<Command, JobDecodeError> DecodeCommand(std::string_view bytes);

std::string EncodeResults(const std::vector<ChangeResult>& results);
base::Result<std::vector<ChangeResult>, JobDecodeError> DecodeResults(std::string_view bytes);

std::string EncodeStartTaskRequest(const StartTaskRequest& start);
base::Result<StartTaskRequest, JobDecodeError> DecodeStartTaskRequest(std::string_view bytes);
std::string EncodeTargetReport(const TargetReport& report);
base::Result<TargetReport, JobDecodeError> DecodeTargetReport(std::string_view bytes);
std::string EncodeReportResponse(const ReportResponse& response);
base::Result<ReportResponse, JobDecodeError> DecodeReportResponse(std::string_view bytes);

namespace internal {

/// The whole state of a JobStore.
struct JobStoreSnapshot {
  JobId next_id = 1;
  std::vector<Job> jobs;
  /// Terminal jobs, in the order in which they ended.
  std::vector<JobId> terminal;
  std::vector<std::pair<std::string, IdempotencyRecord>> keys;
  /// Team and key of idempotency records whose job record was removed, oldest first.
  std::vector<std::string> dropped_keys;
};

std::string EncodeSnapshot(const JobStoreSnapshot& snapshot);
base::Result<JobStoreSnapshot, JobDecodeError> DecodeSnapshot(std::string_view bytes);

/// Digest of the content that the caller submitted, without the fields taken from the row; never 0.
std::uint64_t ContentDigest(const JobSpec& spec);

}  // namespace internal
}  // namespace mangoroad::jobs
