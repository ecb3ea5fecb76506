// Shares of a process's file descriptors, so that no use can starve another one.
#pragma once

#include <cstddef>

namespace mangoroad::controller {

/// Open connections allowed for each use. What is left is for the log, the disk, the links between
/// replicas and connections that are being closed: these are never limited by the rest.
struct DescriptorBudget {
  std::size_t target_calls = 0;   ///< polls, starts, stops and throttle requests to targets
  std::size_t control = 0;        ///< announcements of targets, calls of operators
  std::size_t caller_relays = 0;  ///< requests of edge VMs
  std::size_t callers = 0;        ///< an edge VM's own callers
};

/// Divides `limit`, the number of descriptors that the process may have open. Together the shares
/// of a role stay under 60% of it.
DescriptorBudget DivideDescriptors(std::size_t limit);

/// The lower one of the process's limit (RLIMIT_NOFILE) and `declared`; 0: nothing is declared.
std::size_t DescriptorLimit(std::size_t declared);

}  // namespace mangoroad::controller
