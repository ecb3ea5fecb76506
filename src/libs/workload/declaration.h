// The operators' declaration of queues and services: one complete, versioned configuration.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace mangoroad::workload {

/// One queue of jobs. A request is routed by its host and the longest matching prefix of its path.
struct Queue {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;  ///< the service whose targets run the tasks
  std::int64_t timeout_ms = 0;
  /// Completion-time objective: this plus `stretch` times the job's critical path.
  std::int64_t objective_ms = 0;
  /// 0 is the highest priority.
  std::int32_t priority = 0;
  /// Number of failed runs of one task at which its job fails.
  std::int32_t attempts = 1;
  double stretch = 1.0;

  bool operator==(const Queue&) const = default;
};

struct Service {
  std::string name;
  /// The targets refuse runs that exceed their free capacity.
  bool strict_admission = true;

  bool operator==(const Service&) const = default;
};

struct Declaration {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Service> services;
  /// The declaration as the operator wrote it; returned on a read.
  std::string text;

  bool operator==(const Declaration&) const = default;
  /// Returns the queue on `host` with the longest prefix of `path`, or null.
  [[nodiscard]] const Queue* Find(std::string_view host, std::string_view path) const;
};

enum class DeclarationErrorKind : std::uint8_t {
  kUnknownService,
  kDuplicateQueue,
  kNoTimeout,
  kIncomplete,
};
using DeclarationError = base::BasicError<DeclarationErrorKind>;

/// Validates the whole declaration; the error message names the first invalid queue or service.
base::Result<base::Done, DeclarationError> Check(const Declaration& declaration);

}  // namespace mangoroad::workload
