// Converts the router's refusals and outcomes to those that callers see.
#pragma once

#include <string_view>

#include "entry/answers.h"
#include "routing/types.h"

namespace mangoroad::entry {

ErrorKind ToErrorKind(routing::RefusalKind kind);
Outcome ToOutcome(routing::Outcome outcome);
routing::Outcome ToRoutingOutcome(Outcome outcome);
/// One sentence for callers.
std::string_view MessageOf(routing::RefusalKind kind);

}  // namespace mangoroad::entry
