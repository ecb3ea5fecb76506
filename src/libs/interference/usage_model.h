// Quantiles of the resource usage of each row's tasks, relative to what they declare.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "jobs/job.h"

namespace mangoroad::interference {

enum class UsageKind : std::uint8_t { kProcessors, kMemory, kRunTime };

/// A quantile of the ratio used/declared with its 95% confidence interval.
struct UsageQuantile {
  double value = 1;
  double low = 1;
  double high = 1;
  /// Number of measurements, weighted by age; 0 when there are none.
  double count = 0;
};

struct UsageSettings {
  /// The memory quantile is higher: processors can be throttled, memory can't.
  double processors_quantile = 0.9;
  double memory_quantile = 0.99;
  /// With fewer measurements, the declared amount is reserved.
  double min_count = 30;
  /// Limits of reserved/declared, so that measurements never override a declaration entirely.
  double min_ratio = 0.1;
  double max_ratio = 4;
  /// Number of further measurements after which the weight of one has halved.
  double half_life = 2000;
};

/// Usage of all rows in histograms with bins 8% wide and exponential decay. An outlier moves a
/// quantile by no more than the weight of one measurement.
class UsageModel {
 public:
  explicit UsageModel(UsageSettings settings = {});
  ~UsageModel();
  UsageModel(UsageModel&&) noexcept;
  UsageModel& operator=(UsageModel&&) noexcept;
  UsageModel(const UsageModel&) = delete;
  UsageModel& operator=(const UsageModel&) = delete;

  /// Adds a measurement. Amounts that aren't positive and finite are ignored.
  void Observe(std::string_view row, UsageKind kind, double used, double declared);

  /// Quantile `q`, 0 to 1, of used/declared of the row.
  UsageQuantile Quantile(std::string_view row, UsageKind kind, double q) const;

  /// What to reserve for a task that declares `declared`: the upper confidence limit of the row's
  /// usage quantile, within the limits of the settings. Accelerators are reserved as declared,
  /// since they are never shared.
  jobs::Resources ReserveFor(std::string_view row, const jobs::Resources& declared) const;

  /// What to reserve for a live service. It is at least `floor`, however little the service uses
  /// now: its load can rise faster than a task can be stopped.
  jobs::Resources ReserveForService(std::string_view row, const jobs::Resources& declared,
                                    const jobs::Resources& floor) const;

  /// Median run time in seconds with its confidence interval; `declared_s` with too few
  /// measurements.
  UsageQuantile RunTimeFor(std::string_view row, std::int64_t declared_s) const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::interference
