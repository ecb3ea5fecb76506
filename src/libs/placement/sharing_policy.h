// Policies that decide which work may share a target.
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

/// Number of a row in this leader's memory; stable while the leader lives.
using RowNumber = std::uint32_t;

/// Tasks of one row on one target.
struct RowMix {
  RowNumber row = 0;
  std::uint32_t count = 0;
  std::int64_t millicores = 0;
};

/// A target as a policy sees it.
struct SharingView {
  std::string_view target{};
  std::int64_t capacity_millicores = 0;
  std::span<const RowMix> mix{};
};

struct Verdict {
  bool allowed = false;
  /// Gain in throughput for each reserved core, at most 1; targets with a larger one are preferred.
  double gain = 0;
  /// The outcome is doubtful and serves to learn.
  bool explored = false;
};

class SharingPolicy {
 public:
  virtual ~SharingPolicy() = default;
  /// A row got a number or changed.
  virtual void OnRow(RowNumber /*row*/, const RowSpec& /*spec*/) {}
  /// Whether a task of `row` with `millicores` may join the target.
  virtual Verdict Evaluate(base::TimePoint now, const SharingView& view, RowNumber row,
                           std::int64_t millicores) = 0;
  /// A start was decided.
  virtual void OnStarted(bool /*explored*/) {}
  /// How much the tasks of a row press on the target's services; the largest is throttled first.
  virtual double Pressure(base::TimePoint now, const SharingView& view, RowNumber row) const;
  /// True when gains differ between targets, so that comparing many candidates is worthwhile.
  virtual bool ComparesTargets() const { return false; }
};

/// Nothing is shared: at most one task on a target.
std::unique_ptr<SharingPolicy> MakeNoSharing();
/// Whatever fits is shared.
std::unique_ptr<SharingPolicy> MakeBlindSharing();
/// Shared up to a fixed part of the target's processors.
std::unique_ptr<SharingPolicy> MakeThresholdSharing(double max_load);

/// What a ModelSharing policy knows about interference.
class SlowdownPredictor {
 public:
  virtual ~SlowdownPredictor() = default;
  virtual interference::KindId KindOf(std::string_view row) = 0;
  /// Slowdown, 1 for none, of a task of `kind`.
  virtual interference::Estimate Slowdown(base::TimePoint now, interference::KindId kind,
                                          std::span<const interference::Neighbour> neighbours,
                                          double load) const = 0;
  /// Largest p99/bound over the target's services.
  virtual interference::Estimate LatencyUse(base::TimePoint now, std::string_view target,
                                            std::span<const interference::Neighbour> neighbours,
                                            double load) const = 0;
  /// Largest p99/bound that the target reported last.
  virtual double MeasuredLatencyUse(base::TimePoint now, std::string_view target) const = 0;
  virtual bool MayExplore(base::TimePoint now, std::string_view target) const = 0;
  virtual void OnPlaced(bool explored) = 0;
};

/// Predictions of the learned model. `model` must outlive the predictor.
std::unique_ptr<SlowdownPredictor> MakeLearnedPredictor(interference::InterferenceEstimator& model);

struct ModelSharingSettings {
  /// Highest predicted p99/bound of a service. The rest is for the model's bias.
  double latency_limit = 0.95;
  /// Deviations of doubt added to the predicted latency.
  double doubt_weight = 1.0;
  /// Smallest gain in throughput for each reserved core. Below, it is better to wait for another
  /// target.
  double min_gain = 0.3;
};

/// Shares where the predicted throughput grows and services stay under their bounds.
std::unique_ptr<SharingPolicy> MakeModelSharing(std::unique_ptr<SlowdownPredictor> predictor,
                                                ModelSharingSettings settings = {});

}  // namespace mangoroad::placement
