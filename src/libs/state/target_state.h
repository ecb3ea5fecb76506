// Drained and lost targets in the replicated state.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "state/change_state.h"
#include "state/target_state_data.h"

namespace mangoroad::state {

/// Most targets with a mark; several times the target size of 15,000 workers.
constexpr std::size_t kMaxMarks = 100'000;

/// Marks by target id. A target without a mark has no entry.
class TargetState final : public ChangeState<ChangeTarget, ChangeAnswer> {
 public:
  const std::map<std::string, TargetMark>& Marks() const { return this->marks; }
  bool IsDrained(const std::string& target) const;
  /// True when an operator declared this incarnation or a newer one lost.
  bool IsLost(const std::string& target, std::uint64_t incarnation) const;

  std::string Snapshot() const override;
  base::Result<base::Done, StateError> Restore(std::string_view bytes) override;

 protected:
  ChangeAnswer Decide(ApplyContext& context, const ChangeTarget& change) override;
  audit::Event EventOf(const ApplyContext& context, const ChangeTarget& change) const override;

 private:
  std::map<std::string, TargetMark> marks;
};

}  // namespace mangoroad::state
