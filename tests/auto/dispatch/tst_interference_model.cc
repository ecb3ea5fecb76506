#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "dispatch/interference_model.h"

namespace mangoroad::dispatch {
namespace {

const std::map<std::string, double> kTrueInterference{
    {"heavy", 6.0}, {"light", 0.0}, {"medium", 3.0}};

/// Feeds measurements in which `light` is nearly always seen beside `heavy`.
void Train(InterferenceModel& model, std::uint64_t seed, int rounds) {
  base::Random random(seed);
  for (int i = 0; i < rounds; ++i) {
    std::vector<BestEffortShare> neighbours;
    double log_utilization = -0.8 + (random.Unit() - 0.5) * 1.5;
    for (const auto& [image, interference] : kTrueInterference) {
      const bool is_present =
          image == "light" ? !neighbours.empty() || random.Chance(0.2) : random.Chance(0.5);
      if (!is_present) continue;
      const double share = 0.05 + 0.1 * random.Unit();
      neighbours.push_back({image, share});
      log_utilization += interference * share;
    }
    model.Observe("serving", model.InputsOf(neighbours), std::exp(log_utilization));
  }
}

// Guards against throttling harmless tasks that usually run beside interfering ones.
TEST_CASE("interference is attributed to the neighbour that causes it") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    InterferenceModel model;
    Train(model, seed, 4'000);
    CHECK(model.Interference("serving", "heavy") == Approx(6.0).margin(1.5));
    CHECK(model.Interference("serving", "medium") == Approx(3.0).margin(1.5));
    CHECK(model.Interference("serving", "light") < 1.5);
  }
}

// Guards against taking unknown pairs for harmless, and against a model corrupted by invalid
// values.
TEST_CASE("unknown pairs get the prior and invalid values are ignored") {
  const InterferenceModelSettings settings;
  InterferenceModel model;
  CHECK(model.Interference("serving", "heavy") == settings.interference_mean);
  model.Observe("serving", model.InputsOf({{"heavy", 0.1}}), 0);
  model.Observe("serving", model.InputsOf({{"heavy", 0.1}}), -4);
  model.Observe("serving", model.InputsOf({{"heavy", 0.1}}), std::nan(""));
  CHECK(model.Interference("serving", "heavy") == settings.interference_mean);
  CHECK(model.Interference("other", "heavy") == settings.interference_mean);
}

}  // namespace
}  // namespace mangoroad::dispatch
