// Distributions of service times and run times.
#pragma once

#include <string>
#include <string_view>

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"

namespace mangoroad::standin {

/// Distribution of durations: `constant:MS`, `uniform:LOW_MS:HIGH_MS`, `exponential:MEAN_MS` or
/// `lognormal:MEDIAN_MS:SIGMA` (sigma of the natural logarithm).
class ServiceTime {
 public:
  /// The error says what is wrong with the text.
  static base::Result<ServiceTime, std::string> Parse(std::string_view text);

  [[nodiscard]] base::Duration Draw(base::Random& random) const;

 private:
  using Sampler = double (*)(double first, double second, base::Random& random);

  Sampler sampler = nullptr;
  double first = 0.0;
  double second = 0.0;
};

}  // namespace mangoroad::standin
