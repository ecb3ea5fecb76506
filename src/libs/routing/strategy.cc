#include "routing/strategy.h"

#include <algorithm>

namespace mangoroad::routing {
namespace {

using Targets = std::vector<TargetIndex>;

TargetIndex Sample(const Targets& targets, base::Random& random) {
  return targets[random.Below(static_cast<std::uint32_t>(targets.size()))];
}

// Returns the candidate with the lowest score among `samples` random samples.
template <typename Score>
std::optional<TargetIndex> BestOf(int samples, const Targets& targets, base::Random& random,
                                  std::optional<TargetIndex> avoid, Score score) {
  if (targets.empty()) return std::nullopt;
  std::optional<TargetIndex> best;
  for (int i = 0; i < samples; ++i) {
    const TargetIndex candidate = Sample(targets, random);
    if (!best || best == avoid || (candidate != avoid && score(candidate) < score(*best))) {
      best = candidate;
    }
  }
  return best;
}

// Two samples rarely both return the target to avoid.
constexpr int kSamplesToAvoid = 2;

class RandomChoice : public Strategy {
 public:
  std::optional<TargetIndex> Choose(const LoadIndex& index, base::Random& random,
                                    std::optional<TargetIndex> avoid) override {
    const int samples = avoid ? kSamplesToAvoid : 1;
    return BestOf(samples, index.Available(), random, avoid, [](TargetIndex) { return 0; });
  }
};

class RoundRobin : public Strategy {
 public:
  std::optional<TargetIndex> Choose(const LoadIndex& index, base::Random& /*random*/,
                                    std::optional<TargetIndex> avoid) override {
    const Targets& targets = index.Available();
    if (targets.empty()) return std::nullopt;
    TargetIndex chosen = targets[this->next++ % targets.size()];
    if (chosen == avoid) chosen = targets[this->next++ % targets.size()];
    return chosen;
  }

 private:
  std::size_t next = 0;
};

class LeastOutstanding : public Strategy {
 public:
  std::optional<TargetIndex> Choose(const LoadIndex& index, base::Random& random,
                                    std::optional<TargetIndex> avoid) override {
    const Targets* targets = index.MostFree();
    if (targets == nullptr) return std::nullopt;
    const int samples = avoid ? kSamplesToAvoid : 1;
    return BestOf(samples, *targets, random, avoid, [](TargetIndex) { return 0; });
  }
};

class TwoChoices : public Strategy {
 public:
  std::optional<TargetIndex> Choose(const LoadIndex& index, base::Random& random,
                                    std::optional<TargetIndex> avoid) override {
    return BestOf(2, index.Available(), random, avoid,
                  [&](TargetIndex target) { return index.Load(target).in_flight; });
  }
};

// Weights requests in flight by observed latency and known interference. Responses replace separate
// probes, because each of them updates both values at no cost.
class Probing : public Strategy {
 public:
  std::optional<TargetIndex> Choose(const LoadIndex& index, base::Random& random,
                                    std::optional<TargetIndex> avoid) override {
    constexpr int kSamples = 4;
    return BestOf(kSamples, index.Available(), random, avoid, [&](TargetIndex target) {
      const TargetLoad& load = index.Load(target);
      return (load.in_flight + 1) * load.latency * load.slowdown;
    });
  }
};

// A single queue for all targets: the oldest request takes the next free slot on any target.
class SharedQueue : public Strategy {
 public:
  std::optional<TargetIndex> Choose(const LoadIndex& index, base::Random& /*random*/,
                                    std::optional<TargetIndex> avoid) override {
    const Targets& targets = index.Available();
    if (targets.empty()) return std::nullopt;
    return targets.back() == avoid ? targets.front() : targets.back();
  }
};

template <typename Kind>
std::unique_ptr<Strategy> Make() {
  return std::make_unique<Kind>();
}

struct Factory {
  StrategyKind kind;
  std::unique_ptr<Strategy> (*make)();
};
constexpr std::array<Factory, 6> kFactories{
    {{StrategyKind::kRandom, Make<RandomChoice>},
     {StrategyKind::kRoundRobin, Make<RoundRobin>},
     {StrategyKind::kLeastOutstanding, Make<LeastOutstanding>},
     {StrategyKind::kTwoChoices, Make<TwoChoices>},
     {StrategyKind::kProbing, Make<Probing>},
     {StrategyKind::kSharedQueue, Make<SharedQueue>}}};

}  // namespace

std::unique_ptr<Strategy> MakeStrategy(StrategyKind kind) {
  return std::ranges::find(kFactories, kind, &Factory::kind)->make();
}

}  // namespace mangoroad::routing
