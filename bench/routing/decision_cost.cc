#include "decision_cost.h"

#include <benchmark/benchmark.h>

#include <array>
#include <string>

namespace mangoroad::bench {
namespace {

constexpr int kSlots = 8;

// Chooses with 0.9 of the slots taken; each decision starts one request and ends an older one.
void Decide(benchmark::State& state, routing::StrategyKind kind, int targets) {
  const auto strategy = routing::MakeStrategy(kind);
  routing::LoadIndex index;
  base::Random random(1);
  for (int target = 0; target < targets; ++target) {
    index.SetFree(static_cast<routing::TargetIndex>(target), kSlots);
  }
  std::vector<routing::TargetIndex> busy(static_cast<std::size_t>(targets) * kSlots * 9 / 10);
  const auto start = [&] {
    const auto target = strategy->Choose(index, random, std::nullopt).value_or(0);
    routing::TargetLoad& load = index.Load(target);
    ++load.in_flight;
    index.SetFree(target, load.free - 1);
    return target;
  };
  for (routing::TargetIndex& target : busy) target = start();
  for (auto _ : state) {
    routing::TargetIndex& oldest = busy[random.Below(static_cast<std::uint32_t>(busy.size()))];
    routing::TargetLoad& load = index.Load(oldest);
    --load.in_flight;
    index.SetFree(oldest, load.free + 1);
    oldest = start();
  }
}

class Collector : public benchmark::BenchmarkReporter {
 public:
  bool ReportContext(const Context& /*context*/) override { return true; }
  void ReportRuns(const std::vector<Run>& runs) override {
    for (const Run& run : runs) this->nanoseconds.push_back(run.GetAdjustedRealTime());
  }

  std::vector<double> nanoseconds;
};

}  // namespace

std::vector<DecisionCost> MeasureDecisions() {
  std::vector<DecisionCost> costs;
  for (const auto& [kind, name] : routing::kStrategyNames) {
    for (const int targets : {48, 66, 1000, 15000}) {
      costs.push_back({kind, targets, 0});
      benchmark::RegisterBenchmark(
          (std::string(name) + "/" + std::to_string(targets)).c_str(),
          [k = kind, targets](benchmark::State& state) { Decide(state, k, targets); });
    }
  }
  Collector collector;
  benchmark::RunSpecifiedBenchmarks(&collector);
  for (std::size_t i = 0; i < costs.size() && i < collector.nanoseconds.size(); ++i) {
    costs[i].nanoseconds = collector.nanoseconds[i];
  }
  return costs;
}

}  // namespace mangoroad::bench
