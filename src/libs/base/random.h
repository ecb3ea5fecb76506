// Random numbers from the PCG library, always seeded explicitly.
#pragma once

#include <cstdint>
#include <memory>

#include "base/time.h"

namespace mangoroad::base {

/// Seeded generator; equal seeds give equal sequences on each platform.
class Random {
 public:
  explicit Random(std::uint64_t seed);
  ~Random();
  Random(Random&&) noexcept;
  Random& operator=(Random&&) noexcept;
  Random(const Random&) = delete;
  Random& operator=(const Random&) = delete;

  /// Uniform in [0, bound); 0 when bound is 0.
  std::uint32_t Below(std::uint32_t bound);
  /// Uniform in [0, 1).
  double Unit();
  /// True with the given probability.
  bool Chance(double probability);
  /// Uniform in [low, high].
  Duration Between(Duration low, Duration high);
  /// Exponentially distributed with the given mean.
  double Exponential(double mean);
  std::uint64_t Bits();

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::base
