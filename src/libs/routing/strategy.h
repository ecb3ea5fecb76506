// Ways to choose a target among those with free slots.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string_view>

#include "base/random.h"
#include "routing/load_index.h"

namespace mangoroad::routing {

enum class StrategyKind {
  kRandom,
  kRoundRobin,
  kLeastOutstanding,
  kTwoChoices,
  kProbing,
  kSharedQueue
};
inline constexpr base::NameTable<StrategyKind, 6> kStrategyNames{
    {{StrategyKind::kRandom, "random"},
     {StrategyKind::kRoundRobin, "round-robin"},
     {StrategyKind::kLeastOutstanding, "least-outstanding"},
     {StrategyKind::kTwoChoices, "two-choices"},
     {StrategyKind::kProbing, "probing"},
     {StrategyKind::kSharedQueue, "shared-queue"}}};

/// Chooses in constant time.
class Strategy {
 public:
  virtual ~Strategy() = default;
  /// A target with a free slot, or nothing. `avoid` is chosen only when there is no other.
  virtual std::optional<TargetIndex> Choose(const LoadIndex& index, base::Random& random,
                                            std::optional<TargetIndex> avoid) = 0;
};

std::unique_ptr<Strategy> MakeStrategy(StrategyKind kind);

}  // namespace mangoroad::routing
