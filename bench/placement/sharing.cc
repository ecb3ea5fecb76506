#include <array>
#include <span>
#include <string>
#include <utility>

#include "report.h"
#include "sharing_world.h"

namespace mangoroad::bench {
namespace {

using base::TimePoint;
using interference::Estimate;
using interference::KindId;
using interference::Neighbour;

// What a planner that knows the true curves predicts; it has no doubt.
class TruePredictor : public placement::SlowdownPredictor {
 public:
  TruePredictor(const Truth& known, interference::InterferenceEstimator& names)
      : truth(&known), model(&names) {}
  KindId KindOf(std::string_view row) override { return this->model->KindOf(row); }
  Estimate Slowdown(TimePoint /*now*/, KindId kind, std::span<const Neighbour> neighbours,
                    double load) const override {
    return {this->truth->Slowdown(kind, neighbours, load), 0};
  }
  Estimate SloUtilization(TimePoint /*now*/, std::string_view /*target*/,
                          std::span<const Neighbour> neighbours, double load) const override {
    const double slowdown = this->truth->Slowdown(Truth::kService, neighbours, load);
    return {slowdown * this->truth->QuietMs() / Truth::kBoundMs, 0};
  }
  double MeasuredSloUtilization(TimePoint /*now*/, std::string_view /*target*/) const override {
    return 0;
  }
  bool MayExplore(TimePoint /*now*/, std::string_view /*target*/) const override { return false; }
  void OnPlaced(bool /*explored*/) override {}

 private:
  const Truth* truth;
  interference::InterferenceEstimator* model;
};

using Model = interference::InterferenceEstimator;
using Policy = std::unique_ptr<placement::SharingPolicy>;

Policy NoSharing(Model& /*model*/, const Truth& /*truth*/) { return placement::MakeNoSharing(); }
Policy Blind(Model& /*model*/, const Truth& /*truth*/) {
  return placement::MakeUnrestrictedSharing();
}
Policy Threshold(Model& /*model*/, const Truth& /*truth*/) {
  return placement::MakeThresholdSharing(0.4);
}
Policy Learned(Model& model, const Truth& /*truth*/) {
  return placement::MakeModelSharing(placement::MakeLearnedPredictor(model));
}
Policy Knowing(Model& model, const Truth& truth) {
  return placement::MakeModelSharing(std::make_unique<TruePredictor>(truth, model));
}

constexpr std::array<std::pair<const char*, PolicyMaker>, 5> kPolicies{{
    {"planner that knows the truth", Knowing},
    {"learned policy", Learned},
    {"fixed threshold of 0.4", Threshold},
    {"blind sharing", Blind},
    {"no sharing", NoSharing},
}};

}  // namespace

Figures MeasureSharing(std::uint64_t seed) {
  Figures figures;
  const std::array<std::pair<const char*, WorldSettings>, 2> worlds{{
      {"sharing on 48 targets of 16 cores", {.seed = seed}},
      {"sharing on 66 targets of 64 cores",
       {.targets = 66,
        .capacity = {64000, 250000, 0},
        .service_reserve = {16000, 60000, 0},
        .seed = seed,
        .seconds = 1800,
        .warm_up = 600}},
  }};
  for (const auto& [section, settings] : worlds) {
    SharingResult best;
    for (const auto& [name, make] : kPolicies) {
      const SharingResult result = RunWorld(settings, make);
      if (make == Knowing) best = result;
      figures.push_back({section, name, "core-s a second", result.throughput});
      figures.push_back({section, name, "ratio", result.throughput / best.throughput});
      figures.push_back({section, name, "service p99 ms", result.p99_ms});
      figures.push_back({section, name, "above bound", result.above_bound});
      figures.push_back({section, name, "evictions", result.evictions});
      figures.push_back({section, name, "finished jobs", result.finished});
    }
  }
  return figures;
}

}  // namespace mangoroad::bench
