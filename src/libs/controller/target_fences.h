// Fences that a leader's requests to targets carry.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "controller/target_calls.h"

namespace mangoroad::controller {

/// A target keeps the highest fence it has seen, and rejects requests with a lower one. Requests
/// name their target by the id alone, so the fence is raised within a term, too: each incarnation
/// of a target gets higher ones than its former incarnations.
class TargetFences {
 public:
  /// Fences of a term are higher than those of all earlier terms.
  void BeginTerm(Fence new_term) {
    this->term = new_term;
    this->steps.clear();
  }
  /// A fence that is higher than all earlier ones for this target.
  [[nodiscard]] Fence Raise(const std::string& target_id);

 private:
  Fence term = 0;
  std::map<std::string, std::uint32_t> steps;
};

}  // namespace mangoroad::controller
