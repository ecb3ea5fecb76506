#include "interference/slowdown_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_map>
#include <vector>

namespace mangoroad::interference {
namespace {

using base::TimePoint;

// Loads at which coefficients are stored; between them they are interpolated. Interference grows
// fastest on nearly full targets, so the knots are denser there.
constexpr std::array<double, 4> kKnots{0.25, 0.6, 0.8, 1.0};

// Gain of the moving average of residuals: it covers about the last 20 measurements.
constexpr double kResidualGain = 0.1;

struct Coefficient {
  double mean = 0;
  double variance = 0;
  TimePoint updated;
};

using Pair = std::array<Coefficient, kKnots.size()>;

struct KindState {
  double noise_variance = 0;
  double mean_residual = 0;
};

struct Interpolation {
  std::size_t low = 0;
  /// Weight of knot `low + 1`.
  double upper = 0;
};

Interpolation InterpolationAt(double load) {
  if (!(load > kKnots.front())) return {0, 0};
  if (load >= kKnots.back()) return {kKnots.size() - 2, 1};
  const auto above = std::ranges::upper_bound(kKnots, load);
  const auto low = static_cast<std::size_t>(above - kKnots.begin()) - 1;
  return {low, (load - kKnots.at(low)) / (kKnots.at(low + 1) - kKnots.at(low))};
}

std::uint64_t PairKey(KindId kind, KindId neighbour) {
  return (static_cast<std::uint64_t>(kind) << 32U) | neighbour;
}

/// A coefficient with its weight in a measurement.
struct Term {
  Coefficient* coefficient = nullptr;
  double weight = 0;
};

}  // namespace

struct SlowdownModel::Private {
  SlowdownSettings settings;
  std::unordered_map<std::string, KindId> kinds;
  std::unordered_map<std::uint64_t, Pair> pairs;
  std::vector<KindState> kind_states;
  std::uint64_t shifts = 0;

  double PriorVariance() const {
    return this->settings.prior_deviation * this->settings.prior_deviation;
  }

  // The variance grows while nothing is measured, up to the prior.
  double VarianceAt(TimePoint now, const Coefficient& coefficient) const {
    const double hours = std::max(
        0.0, std::chrono::duration<double, std::ratio<3600>>(now - coefficient.updated).count());
    return std::min(this->PriorVariance(),
                    coefficient.variance + hours * this->settings.variance_growth_per_hour);
  }

  Pair& PairOf(TimePoint now, KindId kind, KindId neighbour) {
    const auto [pair, added] = this->pairs.try_emplace(PairKey(kind, neighbour));
    if (added) {
      pair->second.fill({this->settings.prior_mean, this->PriorVariance(), now});
    }
    return pair->second;
  }

  std::vector<Term> TermsOf(TimePoint now, KindId kind, std::span<const Neighbour> neighbours,
                            double load) {
    const Interpolation at = InterpolationAt(load);
    std::vector<Term> terms;
    terms.reserve(neighbours.size() * 2);
    for (const Neighbour& neighbour : neighbours) {
      Pair& pair = this->PairOf(now, kind, neighbour.kind);
      const double upper = neighbour.share * at.upper;
      if (upper < neighbour.share) {
        terms.push_back({&pair.at(at.low), neighbour.share - upper});
      }
      if (upper > 0) terms.push_back({&pair.at(at.low + 1), upper});
    }
    return terms;
  }

  // Persistent residuals of one sign mean that the coefficients are out of date. Their variance is
  // raised, so that the next measurements count more than the old ones.
  void DetectShift(KindState& kind, double normalized, std::span<const Term> terms) {
    kind.mean_residual += kResidualGain * (normalized - kind.mean_residual);
    if (std::abs(kind.mean_residual) < this->settings.shift_threshold) return;
    for (const Term& term : terms) {
      term.coefficient->variance = std::max(term.coefficient->variance, this->PriorVariance() / 2);
    }
    kind.mean_residual = 0;
    ++this->shifts;
  }
};

SlowdownModel::SlowdownModel(SlowdownSettings settings) : d(std::make_unique<Private>()) {
  this->d->settings = settings;
}
SlowdownModel::~SlowdownModel() = default;
SlowdownModel::SlowdownModel(SlowdownModel&&) noexcept = default;
SlowdownModel& SlowdownModel::operator=(SlowdownModel&&) noexcept = default;

KindId SlowdownModel::KindOf(std::string_view name) {
  const auto next = static_cast<KindId>(this->d->kinds.size());
  const auto [kind, added] = this->d->kinds.try_emplace(std::string(name), next);
  if (added) {
    this->d->kind_states.push_back({.noise_variance = this->d->settings.measurement_deviation *
                                                      this->d->settings.measurement_deviation});
  }
  return kind->second;
}

Estimate SlowdownModel::Predict(TimePoint now, KindId kind, std::span<const Neighbour> neighbours,
                                double load) const {
  const Interpolation at = InterpolationAt(load);
  double slowdown = 1;
  double variance = 0;
  for (const Neighbour& neighbour : neighbours) {
    const auto pair = this->d->pairs.find(PairKey(kind, neighbour.kind));
    const double share = neighbour.share;
    if (pair == this->d->pairs.end()) {
      slowdown += share * this->d->settings.prior_mean;
      variance += share * share * this->d->PriorVariance();
      continue;
    }
    const Coefficient& low = pair->second.at(at.low);
    const Coefficient& high = pair->second.at(at.low + 1);
    slowdown += share * ((1 - at.upper) * low.mean + at.upper * high.mean);
    const double low_part = share * (1 - at.upper);
    const double high_part = share * at.upper;
    variance += low_part * low_part * this->d->VarianceAt(now, low) +
                high_part * high_part * this->d->VarianceAt(now, high);
  }
  return {std::max(1.0, slowdown), std::sqrt(variance)};
}

void SlowdownModel::Observe(TimePoint now, KindId kind, std::span<const Neighbour> neighbours,
                            double load, double slowdown) {
  if (!std::isfinite(slowdown) || slowdown < 0.1 || kind >= this->d->kind_states.size()) return;
  const std::vector<Term> terms = this->d->TermsOf(now, kind, neighbours, load);
  if (terms.empty()) return;
  KindState& own = this->d->kind_states.at(kind);
  double predicted = 1;
  double variance = own.noise_variance;
  for (const Term& term : terms) {
    Coefficient& coefficient = *term.coefficient;
    coefficient.variance = this->d->VarianceAt(now, coefficient);
    coefficient.updated = std::max(coefficient.updated, now);
    predicted += term.weight * coefficient.mean;
    variance += term.weight * term.weight * coefficient.variance;
  }
  const double deviation = std::sqrt(variance);
  const double clip = this->d->settings.max_normalized_residual;
  const double normalized = std::clamp((slowdown - predicted) / deviation, -clip, clip);
  const double residual = normalized * deviation;
  for (const Term& term : terms) {
    Coefficient& coefficient = *term.coefficient;
    const double gain = coefficient.variance * term.weight / variance;
    const double step = this->d->settings.max_step;
    coefficient.mean += std::clamp(gain * residual, -step, step);
    coefficient.variance *= 1 - gain * term.weight;
  }
  // The noise estimate follows the part of the residual that the coefficients' variance doesn't
  // explain.
  const double unexplained = residual * residual * own.noise_variance / variance;
  own.noise_variance += 0.02 * (unexplained - own.noise_variance);
  own.noise_variance = std::max(own.noise_variance, 1e-4);
  this->d->DetectShift(own, normalized, terms);
}

std::uint64_t SlowdownModel::ShiftCount() const { return this->d->shifts; }

}  // namespace mangoroad::interference
