// Encodings of the module's messages: msgpack arrays whose first element is a format version.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jobs/commands.h"
#include "jobs/job_book.h"
#include "jobs/task_messages.h"

namespace mangoroad::jobs {

std::string EncodeCommand(const Command& command);
base::Result<Command, BookError> DecodeCommand(std::string_view bytes);

std::string EncodeAnswers(const std::vector<Answer>& answers);
base::Result<std::vector<Answer>, BookError> DecodeAnswers(std::string_view bytes);

std::string EncodeStartTask(const StartTask& start);
base::Result<StartTask, BookError> DecodeStartTask(std::string_view bytes);
std::string EncodeTargetReport(const TargetReport& report);
base::Result<TargetReport, BookError> DecodeTargetReport(std::string_view bytes);
std::string EncodeReportReply(const ReportReply& reply);
base::Result<ReportReply, BookError> DecodeReportReply(std::string_view bytes);

namespace internal {

/// The whole state of a JobBook.
struct BookImage {
  JobId next_id = 1;
  std::vector<Job> jobs;
  /// Terminal jobs, oldest end first.
  std::vector<JobId> terminal;
  std::vector<std::pair<std::string, KeyEntry>> keys;
  /// Names of keys without a job record, oldest first.
  std::vector<std::string> dropped_keys;
};

std::string EncodeImage(const BookImage& image);
base::Result<BookImage, BookError> DecodeImage(std::string_view bytes);

/// Digest of what the caller submitted; never 0. What the row adds isn't part of it.
std::uint64_t ContentDigest(const JobSpec& spec);

}  // namespace internal
}  // namespace mangoroad::jobs
