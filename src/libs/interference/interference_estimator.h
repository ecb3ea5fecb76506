// Learned interference between the work on each target, from reports that lag.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/time.h"
#include "interference/slowdown_model.h"
#include "jobs/job.h"

namespace mangoroad::interference {

struct InterferenceSettings {
  SlowdownSettings slowdown{};
  /// Time over which a target averages what it reports.
  base::Duration averaging_window = std::chrono::milliseconds(500);
  /// Reports about earlier moments than this before the newest event are ignored.
  base::Duration history_duration = std::chrono::seconds(60);
  /// A latency older than this says nothing about a target.
  base::Duration max_latency_age = std::chrono::seconds(10);
  /// Largest part of placements that explore.
  double exploration_share = 0.05;
  /// Explorations saved up at most, so that a quiet time doesn't lead to a burst.
  double exploration_burst = 5;
  /// No exploration where the latency is above this part of its bound.
  double exploration_max_slo_utilization = 0.8;
};

/// State of the services on a target by their last measurements.
struct ServiceState {
  /// Largest p99/bound over the target's services; 0 without services.
  double slo_utilization = 0;
  /// False when the target, or one of its services, has reported nothing lately.
  bool is_current = true;
};

/// Joins the events of targets with their late measurements.
class InterferenceEstimator {
 public:
  explicit InterferenceEstimator(InterferenceSettings settings = {});
  ~InterferenceEstimator();
  InterferenceEstimator(InterferenceEstimator&&) noexcept;
  InterferenceEstimator& operator=(InterferenceEstimator&&) noexcept;
  InterferenceEstimator(const InterferenceEstimator&) = delete;
  InterferenceEstimator& operator=(const InterferenceEstimator&) = delete;

  /// Number of a row in the model.
  KindId KindOf(std::string_view row);

  /// A task starts with `share`, 0 to 1, of the target's processors, or ends.
  void OnTaskStarted(base::TimePoint at, std::string_view target, jobs::JobId job,
                     std::string_view row, double share);
  void OnTaskEnded(base::TimePoint at, std::string_view target, jobs::JobId job);
  /// The target is gone with its history.
  void OnTargetRemoved(std::string_view target);

  /// Declares a service: its latency bound and its p99 without neighbours, in milliseconds; 0 when
  /// that p99 isn't known, it is then learned from targets without tasks.
  void SetService(std::string_view row, double bound_ms, double quiet_p99_ms = 0);

  /// A report of the target arrived, whatever it contains. Until the first one nothing is known of
  /// the target's services.
  void OnReport(base::TimePoint taken_at, std::string_view target);

  /// Learns from the slowdown of a task that the target measured at `taken_at`.
  void ObserveTask(base::TimePoint taken_at, std::string_view target, jobs::JobId job,
                   double slowdown);
  /// Learns from the p99 in milliseconds and the rate in requests a second of a service.
  void ObserveService(base::TimePoint taken_at, std::string_view target, std::string_view row,
                      double p99_ms, double rate);

  /// As SlowdownModel::Predict().
  Estimate Predict(base::TimePoint now, KindId kind, std::span<const Neighbour> neighbours,
                   double load) const;

  /// Expected p99/bound of a service kind beside `neighbours`, at the rate that the target reported
  /// last.
  Estimate PredictSloUtilization(base::TimePoint now, std::string_view target, KindId service,
                                 std::span<const Neighbour> neighbours, double load) const;

  /// The largest PredictLatencyUse() over the services that the target reported; 0 without any.
  Estimate PredictMaxSloUtilization(base::TimePoint now, std::string_view target,
                                    std::span<const Neighbour> neighbours, double load) const;

  ServiceState ServiceStateOf(base::TimePoint now, std::string_view target) const;

  /// True when a placement with a doubtful outcome may be made on this target. It is refused where
  /// a service is near its bound or hasn't reported lately, and when the budget is used up.
  bool MayExplore(base::TimePoint now, std::string_view target) const;
  /// Counts a placement against the budget of explorations.
  void OnPlaced(bool explored);

  const SlowdownModel& Model() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::interference
