// A restart after 18,000 changes of a table with 48 rows: replaying the log (baseline) against
// restoring a snapshot, and the cost of one change. The ratio is printed after the benchmarks.
#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "state/cluster_state.h"
#include "state/state_codec.h"
#include "table/csv_reader.h"

namespace mangoroad::state {
namespace {

constexpr std::uint64_t kChanges = 18'000;
constexpr std::size_t kRows = 48;

std::string Csv(std::uint64_t version) {
  std::vector<table::Row> rows(kRows);
  for (std::size_t i = 0; i < kRows; ++i) {
    rows[i].row = "row-" + std::to_string(100 + i);
    rows[i].team = "team-" + std::to_string(i % 7);
    rows[i].deadline_ms = 1000;
    rows[i].weight = i == version % kRows ? 1 + static_cast<std::uint32_t>(version % 1000) : 1;
  }
  return table::WriteCsv(rows);
}

const std::vector<std::string>& Log() {
  static const std::vector<std::string> log = [] {
    std::vector<std::string> commands;
    commands.reserve(kChanges);
    for (std::uint64_t i = 0; i < kChanges; ++i) {
      commands.push_back(EncodeCommand(
          ApplyTable{{"change-" + std::to_string(i), "operator", 0, "benchmark"}, i, Csv(i), {}}));
    }
    return commands;
  }();
  return log;
}

std::unique_ptr<ClusterState> Replay() {
  auto state = std::make_unique<ClusterState>();
  std::uint64_t index = 0;
  for (const std::string& command : Log()) state->Apply(++index, 1, command);
  return state;
}

double g_replay_s = 0;
double g_restore_s = 0;

/// Runs `work` once for each iteration and keeps the mean time in seconds.
template <typename Work>
void Measure(benchmark::State& run, double& mean_s, const Work& work) {
  double total = 0;
  for (auto _ : run) {
    const auto begin = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;
    run.SetIterationTime(taken.count());
    total += taken.count();
  }
  mean_s = total / static_cast<double>(run.iterations());
}

void RestartByReplay(benchmark::State& run) {
  Log();
  Measure(run, g_replay_s, [] { benchmark::DoNotOptimize(Replay()->Table().Version()); });
}
BENCHMARK(RestartByReplay)->UseManualTime()->Unit(benchmark::kMillisecond);

void RestartBySnapshot(benchmark::State& run) {
  const std::string snapshot = Replay()->Snapshot();
  run.counters["snapshot_bytes"] = static_cast<double>(snapshot.size());
  Measure(run, g_restore_s, [&] {
    ClusterState state;
    const bool restored = base::Ok(state.Restore(snapshot));
    if (!restored || state.Table().Version() != kChanges) run.SkipWithError("not restored");
  });
}
BENCHMARK(RestartBySnapshot)->UseManualTime()->Unit(benchmark::kMillisecond);

void TakeSnapshot(benchmark::State& run) {
  const auto state = Replay();
  for (auto _ : run) benchmark::DoNotOptimize(state->Snapshot());
}
BENCHMARK(TakeSnapshot)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace mangoroad::state

int main(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  using mangoroad::state::g_replay_s;
  using mangoroad::state::g_restore_s;
  if (g_restore_s > 0) {
    std::printf("restart after %d changes: replay %.0f ms, snapshot %.0f ms, ratio %.2f\n",
                static_cast<int>(mangoroad::state::kChanges), g_replay_s * 1e3, g_restore_s * 1e3,
                g_replay_s / g_restore_s);
    std::printf("one change: %.1f us, so 18,000 changes a day use %.5f%% of a core\n",
                g_replay_s * 1e6 / static_cast<double>(mangoroad::state::kChanges),
                g_replay_s / 86'400 * 100);
  }
  return 0;
}
