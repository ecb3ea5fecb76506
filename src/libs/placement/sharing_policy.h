// Policies that decide which work may run on the same target.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "interference/interference_estimator.h"
#include "placement/types.h"

namespace mangoroad::placement {

/// Number of a row, valid within one leader's scheduler.
using RowNumber = std::uint32_t;

/// Total of one row's tasks on one target.
struct RowTotal {
  RowNumber row = 0;
  std::uint32_t count = 0;
  std::int64_t millicores = 0;
};

/// The state of a target that a policy needs.
struct SharingView {
  std::string_view target{};
  std::int64_t capacity_millicores = 0;
  std::span<const RowTotal> row_totals{};
};

struct SharingDecision {
  bool allowed = false;
  /// Gain in throughput per reserved core, at most 1; targets with a larger gain are preferred.
  double throughput_gain = 0;
  /// The outcome is uncertain; the placement is made to learn from it.
  bool is_exploration = false;
};

class SharingPolicy {
 public:
  virtual ~SharingPolicy() = default;
  /// A row got a number or changed.
  virtual void OnRow(RowNumber /*row*/, const RowSpec& /*spec*/) {}
  /// Whether a task of `row` with `millicores` may join the target.
  virtual SharingDecision Evaluate(base::TimePoint now, const SharingView& view, RowNumber row,
                                   std::int64_t millicores) = 0;
  /// A start was decided.
  virtual void OnStarted(bool /*is_exploration*/) {}
  /// How much the tasks of a row interfere with the target's services. The largest is throttled
  /// first.
  virtual double ServiceInterference(base::TimePoint now, const SharingView& view,
                                     RowNumber row) const;
  /// True when gains differ between targets, so that comparing many candidates is worthwhile.
  virtual bool ComparesTargets() const { return false; }
};

/// At most one task per target.
std::unique_ptr<SharingPolicy> MakeNoSharing();
/// Any tasks that fit may share a target.
std::unique_ptr<SharingPolicy> MakeUnrestrictedSharing();
/// Tasks share a target up to a fixed fraction of its processors.
std::unique_ptr<SharingPolicy> MakeThresholdSharing(double max_load);

/// Predictions of interference for the policy of MakeModelSharing().
class SlowdownPredictor {
 public:
  virtual ~SlowdownPredictor() = default;
  virtual interference::KindId KindOf(std::string_view row) = 0;
  /// Slowdown, 1 for none, of a task of `kind`.
  virtual interference::Estimate Slowdown(base::TimePoint now, interference::KindId kind,
                                          std::span<const interference::Neighbour> neighbours,
                                          double load) const = 0;
  /// Predicted largest SLO utilization (p99 divided by the latency SLO) of the target's services.
  virtual interference::Estimate SloUtilization(base::TimePoint now, std::string_view target,
                                                std::span<const interference::Neighbour> neighbours,
                                                double load) const = 0;
  /// Largest SLO utilization in the target's last reports.
  virtual double MeasuredSloUtilization(base::TimePoint now, std::string_view target) const = 0;
  virtual bool MayExplore(base::TimePoint now, std::string_view target) const = 0;
  virtual void OnPlaced(bool is_exploration) = 0;
};

/// Predictions of the learned model. `model` must outlive the predictor.
std::unique_ptr<SlowdownPredictor> MakeLearnedPredictor(interference::InterferenceEstimator& model);

struct ModelSharingSettings {
  /// Highest predicted SLO utilization of a service. The margin to 1 covers the model's bias.
  double max_slo_utilization = 0.95;
  /// Standard deviations that are added to the predicted SLO utilization.
  double deviation_weight = 1.0;
  /// Smallest gain in throughput per reserved core. With less, waiting for another target is
  /// better.
  double min_gain = 0.3;
};

/// Tasks share a target where the predicted throughput grows and services keep their SLO.
std::unique_ptr<SharingPolicy> MakeModelSharing(std::unique_ptr<SlowdownPredictor> predictor,
                                                ModelSharingSettings settings = {});

}  // namespace mangoroad::placement
