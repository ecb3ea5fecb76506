#include "controller/requested_job.h"

#include <algorithm>
#include <cctype>
#include <string>

namespace mangoroad::controller {
namespace {

constexpr std::size_t kJobIdDigits = 16;

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdDigits &&
         std::ranges::all_of(text, [](unsigned char c) { return std::isxdigit(c) != 0; });
}

/// The job that the end of the path names, if its queue isn't declared any more.
const workload::Job* FindJobWithoutQueue(const workload::WorkloadState& state,
                                         const workload::Declaration& declaration,
                                         std::string_view path) {
  const std::string_view id = path.substr(path.rfind('/') + 1);
  const workload::Job* job = IsJobId(id) ? state.FindJob(std::string(id)) : nullptr;
  // Cancellations of unknown jobs are recorded without a queue.
  if (job == nullptr || job->queue.empty()) return nullptr;
  const bool is_declared = std::ranges::any_of(
      declaration.queues, [&](const auto& queue) { return queue.name == job->queue; });
  return is_declared ? nullptr : job;
}

}  // namespace

RequestedJob FindRequestedJob(const workload::WorkloadState& state,
                              const workload::Declaration& declaration, std::string_view host,
                              std::string_view path) {
  RequestedJob requested;
  requested.queue = declaration.Find(host, path);
  if (requested.queue != nullptr) {
    const std::string_view rest = path.substr(requested.queue->prefix.size());
    requested.is_queue_itself = rest.empty();
    if (IsJobId(rest)) requested.id = rest;
    if (!requested.id.empty()) requested.job = state.FindJob(requested.id);
  }
  if (requested.id.empty() && !requested.is_queue_itself) {
    requested.job = FindJobWithoutQueue(state, declaration, path);
    if (requested.job != nullptr) requested.id = requested.job->id;
  }
  return requested;
}

}  // namespace mangoroad::controller
