// Finds the queue and the job that a caller's request names.
#pragma once

#include <string_view>

#include "workload/workload_state.h"

namespace mangoroad::controller {

struct RequestedJob {
  /// Null when no queue has this address.
  const workload::Queue* queue = nullptr;
  /// Empty when the request names the queue itself, or no job.
  workload::JobId id;
  /// Null when the job isn't known.
  const workload::Job* job = nullptr;
  /// The path ends behind the prefix of the queue.
  bool is_queue_itself = false;
};

/// A job outlives its queue: what was accepted is found although the queue isn't declared any more.
RequestedJob FindRequestedJob(const workload::WorkloadState& state,
                              const workload::Declaration& declaration, std::string_view host,
                              std::string_view path);

}  // namespace mangoroad::controller
