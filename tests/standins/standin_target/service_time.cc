#include "service_time.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <numbers>
#include <vector>

namespace mangoroad::standin {
namespace {

double Constant(double value, double /*unused*/, base::Random& /*random*/) { return value; }

double Uniform(double low, double high, base::Random& random) {
  return low + (high - low) * random.Unit();
}

double Exponential(double mean, double /*unused*/, base::Random& random) {
  return random.Exponential(mean);
}

// Box-Muller transform; 1 - Unit() is never zero.
double Lognormal(double median, double sigma, base::Random& random) {
  const double radius = std::sqrt(-2.0 * std::log(1.0 - random.Unit()));
  return median * std::exp(sigma * radius * std::cos(2.0 * std::numbers::pi * random.Unit()));
}

struct Kind {
  std::string_view name;
  std::size_t parameters;
  double (*sampler)(double, double, base::Random&);
};

constexpr std::array kKinds{Kind{"constant", 1, Constant}, Kind{"uniform", 2, Uniform},
                            Kind{"exponential", 1, Exponential}, Kind{"lognormal", 2, Lognormal}};

}  // namespace

base::Result<ServiceTime, std::string> ServiceTime::Parse(std::string_view text) {
  std::vector<std::string_view> parts;
  for (std::string_view rest = text;;) {
    const std::size_t colon = rest.find(':');
    parts.push_back(rest.substr(0, colon));
    if (colon == std::string_view::npos) break;
    rest.remove_prefix(colon + 1);
  }
  const auto kind =
      std::ranges::find_if(kKinds, [&](const Kind& k) { return k.name == parts.front(); });
  if (kind == kKinds.end() || parts.size() != kind->parameters + 1) {
    return fmt::format(
        "'{}' is not constant:MS, uniform:LOW:HIGH, exponential:MEAN or lognormal:MEDIAN:SIGMA",
        text);
  }
  std::array<double, 2> values{};
  for (std::size_t i = 0; i < kind->parameters; ++i) {
    const std::string part(parts[i + 1]);
    const char* const last = part.data() + part.size();
    const auto [end, error] = std::from_chars(part.data(), last, values[i]);
    if (error != std::errc() || end != last || !(values[i] >= 0.0 && values[i] < 1e9)) {
      return fmt::format("'{}': '{}' is not a number from 0 to 1e9", text, part);
    }
  }
  ServiceTime result;
  result.sampler = kind->sampler;
  result.first = values[0];
  result.second = values[1];
  return result;
}

base::Duration ServiceTime::Draw(base::Random& random) const {
  const double milliseconds = this->sampler(this->first, this->second, random);
  return base::Duration(std::llround(std::min(milliseconds, 1e9) * 1000.0));
}

}  // namespace mangoroad::standin
