// Load balancing strategies.
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

/// Chooses a target in constant time.
class Strategy {
 public:
  virtual ~Strategy() = default;
  /// Returns a target with a free slot, or nothing when there is none. `avoid` is returned only if
  /// it is the only candidate seen.
  virtual std::optional<TargetIndex> Choose(const LoadIndex& index, base::Random& random,
                                            std::optional<TargetIndex> avoid) = 0;
};

std::unique_ptr<Strategy> MakeStrategy(StrategyKind kind);

}  // namespace mangoroad::routing
