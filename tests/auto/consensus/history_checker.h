// Checks histories of concurrent operations on registers for linearizability.
#pragma once

#include <string>
#include <vector>

#include "simulation.h"

namespace mangoroad::consensus::test {

/// Searches for an order of the operations that is consistent with real time and with one register
/// for each key
/// (Wing and Gong, "Testing and Verifying Concurrent Objects", 1993, with the visited states
/// remembered). Returns the key without such an order, or nothing. At most 64 operations a key.
std::optional<std::string> FindNonLinearizableKey(const std::vector<Operation>& operations);

}  // namespace mangoroad::consensus::test
