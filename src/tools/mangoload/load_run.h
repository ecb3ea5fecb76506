// One run of load against entry VMs.
#pragma once

#include "options.h"

namespace mangoroad::load {

/// Sends the load, writes the history and prints the report. Returns the exit code.
int RunLoad(const RunOptions& options);

}  // namespace mangoroad::load
