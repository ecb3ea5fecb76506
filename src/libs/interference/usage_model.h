// Quantiles of what the tasks of a row use, as parts of what they declare.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "jobs/job.h"

namespace mangoroad::interference {

enum class UsageKind : std::uint8_t { kProcessors, kMemory, kRunTime };

/// A quantile of used/declared with the bounds of its 95% confidence interval.
struct UsageQuantile {
  double value = 1;
  double low = 1;
  double high = 1;
  /// Measurements behind it, with old ones counted less; 0 when nothing is known.
  double count = 0;
};

struct UsageSettings {
  /// Processors can be throttled, so a rarer overrun of memory is demanded.
  double processors_quantile = 0.9;
  double memory_quantile = 0.99;
  /// Below this count, the declaration is taken as it is.
  double min_count = 30;
  /// Bounds of reserved/declared; a declaration isn't trusted beyond them, nor ignored.
  double min_ratio = 0.1;
  double max_ratio = 4;
  /// Measurements after which the weight of one has halved.
  double half_life = 2000;
};

/// Usage of all rows. Histograms have bins 8% wide and forget exponentially, so one outlier moves
/// no quantile by more than its share.
class UsageModel {
 public:
  explicit UsageModel(UsageSettings settings = {});
  ~UsageModel();
  UsageModel(UsageModel&&) noexcept;
  UsageModel& operator=(UsageModel&&) noexcept;
  UsageModel(const UsageModel&) = delete;
  UsageModel& operator=(const UsageModel&) = delete;

  /// Learns one measurement. Amounts that aren't positive or finite are ignored.
  void Observe(std::string_view row, UsageKind kind, double used, double declared);

  /// Quantile `q`, 0 to 1, of used/declared of the row.
  UsageQuantile Quantile(std::string_view row, UsageKind kind, double q) const;

  /// What to reserve for a task that declares `declared`: the upper bound of the quantile of the
  /// row's usage, inside the bounds of the settings. Accelerators are never shared.
  jobs::Resources ReserveFor(std::string_view row, const jobs::Resources& declared) const;

  /// What to keep free for a live service. It never falls below `floor`, however little the service
  /// uses now: its load can return faster than a task can be stopped.
  jobs::Resources ReserveForService(std::string_view row, const jobs::Resources& declared,
                                    const jobs::Resources& floor) const;

  /// Expected run time in seconds, with bounds; `declared_s` when nothing is known.
  UsageQuantile RunTimeFor(std::string_view row, std::int64_t declared_s) const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::interference
