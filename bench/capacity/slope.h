// Measures how a cost grows with a size and extrapolates it to the target size.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mangoroad::bench {

/// One cost as a function of one size, with the size it has to reach.
struct SlopeSpec {
  std::string role;      // who bears the cost: leader, owner, holder, target, ...
  std::string quantity;  // what is measured
  std::string unit;      // unit of the value
  std::string per;       // what the size counts
  std::vector<double> sizes;
  double target_size = 0;  // size at the target of docs/design.md, section 1.5
  std::string mechanism;   // what keeps the cost at this slope
  /// Value at a size.
  std::function<double(double size)> measure;
};

/// Least-squares line through the measured points.
struct SlopeResult {
  std::vector<double> values;
  double slope = 0;
  double intercept = 0;
  /// Standard error of the slope, relative to the slope.
  double relative_error = 0;
  /// Value of the line at the target size.
  double at_target = 0;
};

SlopeResult Fit(const SlopeSpec& spec);

/// Bytes of heap in use by the allocator.
std::int64_t HeapBytes();

/// Seconds of processor time of this process.
double ProcessorSeconds();

/// Processor time in microseconds of one call of `work`, the smallest of several rounds.
double MicrosecondsOf(const std::function<void()>& work);

/// The slopes of one area of the system; each is in a source file of its own.
std::vector<SlopeSpec> JobSlopes();
std::vector<SlopeSpec> LiveSlopes();

}  // namespace mangoroad::bench
