// The command line as a function, so that tests can call it.
#pragma once

#include <string>
#include <vector>

#include "mangoctl/session.h"

namespace mangoroad::mangoctl {

/// Runs one command; `arguments` without the name of the program. Returns its exit code.
int RunMangoctl(const std::vector<std::string>& arguments, Console& console);

}  // namespace mangoroad::mangoctl
