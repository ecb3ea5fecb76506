#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "dispatch/interference_model.h"

namespace mangoroad::dispatch {
namespace {

const std::map<std::string, double> kTrueHarm{{"heavy", 6.0}, {"light", 0.0}, {"medium", 3.0}};

/// Measurements in which `light` is nearly always seen beside `heavy`.
void Train(InterferenceModel& model, std::uint64_t seed, int rounds) {
  base::Random random(seed);
  for (int i = 0; i < rounds; ++i) {
    std::vector<BestEffortShare> neighbours;
    double log_use = -0.8 + (random.Unit() - 0.5) * 1.5;
    for (const auto& [image, harm] : kTrueHarm) {
      const bool is_present =
          image == "light" ? !neighbours.empty() || random.Chance(0.2) : random.Chance(0.5);
      if (!is_present) continue;
      const double share = 0.05 + 0.1 * random.Unit();
      neighbours.push_back({image, share});
      log_use += harm * share;
    }
    model.Observe("serving", neighbours, std::exp(log_use));
  }
}

// Guards against harmless work that is stopped because it is seen beside harmful work.
TEST_CASE("harm is laid to the neighbour that does it") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    InterferenceModel model;
    Train(model, seed, 4'000);
    CHECK(model.Interference("serving", "heavy") == Approx(6.0).margin(1.5));
    CHECK(model.Interference("serving", "medium") == Approx(3.0).margin(1.5));
    CHECK(model.Interference("serving", "light") < 1.5);
  }
}

// Guards against an unknown pair that is taken for harmless, or a model that breaks on odd values.
TEST_CASE("unknown pairs are handled with care and odd values are ignored") {
  const InterferenceModelSettings settings;
  InterferenceModel model;
  CHECK(model.Interference("serving", "heavy") == settings.interference_mean);
  model.Observe("serving", {{"heavy", 0.1}}, 0);
  model.Observe("serving", {{"heavy", 0.1}}, -4);
  model.Observe("serving", {{"heavy", 0.1}}, std::nan(""));
  CHECK(model.Interference("serving", "heavy") == settings.interference_mean);
  CHECK(model.Interference("other", "heavy") == settings.interference_mean);
}

}  // namespace
}  // namespace mangoroad::dispatch
