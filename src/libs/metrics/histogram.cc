#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>
#include <functional>
#include <vector>

#include "metrics/metrics.h"

namespace mangoroad::metrics {
namespace {

namespace bh = boost::histogram;

constexpr double kLowestSeconds = 1e-6;
constexpr double kHighestSeconds = 1e3;
constexpr unsigned kDecades = 9;
constexpr unsigned kBinsPerDecade = 60;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = std::vector<std::uint64_t>;

LogAxis MakeAxis() { return {kDecades * kBinsPerDecade, kLowestSeconds, kHighestSeconds}; }

auto MakeBins() { return bh::make_histogram_with(Storage(), MakeAxis()); }

// Number of records in a bin; -1 is the underflow bin, which comes first. The iterator is used
// since g++ 12 with -fsanitize=address takes at() for a use of uninitialized memory.
template <typename Bins>
std::uint64_t CountIn(const Bins& bins, int bin) {
  return *(bins.begin() + (bin + 1));
}

double Seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

base::Duration FromSeconds(double seconds) { return base::Duration(std::llround(seconds * 1e6)); }

}  // namespace

struct Histogram::Private {
  decltype(MakeBins()) bins = MakeBins();
  std::uint64_t count = 0;
  base::Duration sum{};
  base::Duration max{};
};

Histogram::Histogram() : d(std::make_unique<Private>()) {}
Histogram::~Histogram() = default;
Histogram::Histogram(Histogram&&) noexcept = default;
Histogram& Histogram::operator=(Histogram&&) noexcept = default;

void Histogram::Record(base::Duration duration) {
  const base::Duration recorded = std::max(duration, base::Duration(0));
  this->d->bins(Seconds(recorded));
  this->d->count += 1;
  this->d->sum += recorded;
  this->d->max = std::max(this->d->max, recorded);
}

void Histogram::Merge(const Histogram& other) {
  // All histograms have the same axis.
  std::transform(this->d->bins.begin(), this->d->bins.end(), other.d->bins.begin(),
                 this->d->bins.begin(), std::plus<>());
  this->d->count += other.d->count;
  this->d->sum += other.d->sum;
  this->d->max = std::max(this->d->max, other.d->max);
}

std::uint64_t Histogram::Count() const { return this->d->count; }
base::Duration Histogram::Sum() const { return this->d->sum; }
base::Duration Histogram::Max() const { return this->d->max; }

base::Duration Histogram::Quantile(double q) const {
  if (this->d->count == 0) return {};
  const double rank = std::clamp(q, 0.0, 1.0) * static_cast<double>(this->d->count);
  const LogAxis& axis = this->d->bins.axis();
  double below = 0.0;
  // Index -1 is the underflow bin, index size() the overflow bin.
  for (int bin = -1; bin < axis.size(); ++bin) {
    const auto in_bin = static_cast<double>(CountIn(this->d->bins, bin));
    if (in_bin > 0.0 && below + in_bin >= rank) {
      if (bin < 0) return std::min(FromSeconds(kLowestSeconds), this->d->max);
      const double position = bin + (rank - below) / in_bin;
      return std::min(FromSeconds(axis.value(position)), this->d->max);
    }
    below += in_bin;
  }
  return this->d->max;
}

std::uint64_t Histogram::CountUpTo(double bound_seconds) const {
  const LogAxis& axis = this->d->bins.axis();
  // Half a bin of slack absorbs rounding at the bin edges.
  const double position = std::log10(bound_seconds / kLowestSeconds) * kBinsPerDecade + 0.5;
  const int end = std::clamp(static_cast<int>(std::floor(position)), 0, axis.size());
  std::uint64_t total = CountIn(this->d->bins, -1);
  for (int bin = 0; bin < end; ++bin) total += CountIn(this->d->bins, bin);
  return total;
}

}  // namespace mangoroad::metrics
