// Measured figures, for the table and the JSON file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mangoroad::bench {

/// One cell: a named figure of a named case.
struct Figure {
  std::string section{};
  std::string subject{};
  std::string name{};
  double value = 0;
};

using Figures = std::vector<Figure>;

/// Placements a second, growth and cancellation waves.
Figures MeasureSpeed(std::uint64_t seed);
/// Throughput, service latency and evictions of sharing policies.
Figures MeasureSharing(std::uint64_t seed);

}  // namespace mangoroad::bench
