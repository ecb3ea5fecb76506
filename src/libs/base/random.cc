#include "base/random.h"

#include <cmath>
#include <pcg_random.hpp>

namespace mangoroad::base {

struct Random::Private {
  pcg32 generator;
};

Random::Random(std::uint64_t seed) : d(std::make_unique<Private>(Private{pcg32(seed)})) {}
Random::~Random() = default;
Random::Random(Random&&) noexcept = default;
Random& Random::operator=(Random&&) noexcept = default;

std::uint32_t Random::Below(std::uint32_t bound) {
  return bound == 0 ? 0 : this->d->generator(bound);
}

double Random::Unit() { return std::ldexp(static_cast<double>(this->d->generator()), -32); }

bool Random::Chance(double probability) { return this->Unit() < probability; }

Duration Random::Between(Duration low, Duration high) {
  if (high <= low) return low;
  const auto span = static_cast<double>((high - low).count()) + 1.0;
  return low + Duration(static_cast<Duration::rep>(this->Unit() * span));
}

double Random::Exponential(double mean) { return -mean * std::log1p(-this->Unit()); }

std::uint64_t Random::Bits() {
  const std::uint64_t high = this->d->generator();
  return (high << 32U) | this->d->generator();
}

}  // namespace mangoroad::base
