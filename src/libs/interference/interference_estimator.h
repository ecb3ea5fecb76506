// Estimates the interference between co-located work from delayed reports of the targets.
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
  /// Time over which a target averages each measurement that it reports.
  base::Duration averaging_window = std::chrono::milliseconds(500);
  /// How far the history of tasks reaches back from the newest event. Reports about earlier times
  /// are ignored.
  base::Duration history_duration = std::chrono::seconds(60);
  /// Older reports and latencies no longer describe a target.
  base::Duration max_latency_age = std::chrono::seconds(10);
  /// Largest fraction of placements that may explore.
  double exploration_share = 0.05;
  /// Upper limit of the exploration budget, so that unused budget doesn't lead to a burst.
  double exploration_burst = 5;
  /// Targets above this SLO utilization aren't explored.
  double exploration_max_slo_utilization = 0.8;
};

/// State of the services on a target according to their last reports.
struct ServiceState {
  /// Largest SLO utilization (p99 latency divided by the latency SLO) of the target's services; 0
  /// without services.
  double slo_utilization = 0;
  /// False when the last report of the target or of one of its services is too old.
  bool is_current = true;
};

/// Attributes each measurement to the work that ran on the target when it was taken, and learns
/// slowdowns from it.
class InterferenceEstimator {
 public:
  explicit InterferenceEstimator(InterferenceSettings settings = {});
  ~InterferenceEstimator();
  InterferenceEstimator(InterferenceEstimator&&) noexcept;
  InterferenceEstimator& operator=(InterferenceEstimator&&) noexcept;
  InterferenceEstimator(const InterferenceEstimator&) = delete;
  InterferenceEstimator& operator=(const InterferenceEstimator&) = delete;

  /// Number of a row's kind in the model; adds it when new.
  KindId KindOf(std::string_view row);

  /// `share`, 0 to 1, is the reserved fraction of the target's processors.
  void OnTaskStarted(base::TimePoint at, std::string_view target, jobs::JobId job,
                     std::string_view row, double share);
  void OnTaskEnded(base::TimePoint at, std::string_view target, jobs::JobId job);
  /// Drops the target with its history.
  void OnTargetRemoved(std::string_view target);

  /// Declares a service with its latency SLO and its baseline p99, both in milliseconds. With a
  /// baseline of 0, it is learned from targets without tasks.
  void SetService(std::string_view row, double latency_slo_ms, double baseline_p99_ms = 0);

  /// A report of the target arrived, whatever it contains. Until the first one, the state of the
  /// target's services is unknown.
  void OnReport(base::TimePoint taken_at, std::string_view target);

  /// Learns from the slowdown of a task, measured by the target at `taken_at`.
  void ObserveTask(base::TimePoint taken_at, std::string_view target, jobs::JobId job,
                   double slowdown);
  /// Learns from the p99 latency in milliseconds of a service at `rate` requests per second.
  void ObserveService(base::TimePoint taken_at, std::string_view target, std::string_view row,
                      double p99_ms, double rate);

  /// As SlowdownModel::Predict().
  Estimate Predict(base::TimePoint now, KindId kind, std::span<const Neighbour> neighbours,
                   double load) const;

  /// Expected SLO utilization of a service beside `neighbours`, at the request rate that the target
  /// reported last.
  Estimate PredictSloUtilization(base::TimePoint now, std::string_view target, KindId service,
                                 std::span<const Neighbour> neighbours, double load) const;

  /// The largest PredictLatencyUse() over the services that the target reported; 0 without
  /// services.
  Estimate PredictMaxSloUtilization(base::TimePoint now, std::string_view target,
                                    std::span<const Neighbour> neighbours, double load) const;

  ServiceState ServiceStateOf(base::TimePoint now, std::string_view target) const;

  /// Whether an exploring placement, one with an uncertain outcome, may be made on this target.
  /// False when a service is close to its SLO, when reports are too old, and when the budget is
  /// used up.
  bool MayExplore(base::TimePoint now, std::string_view target) const;
  /// Adds to the exploration budget for each placement, and charges those that explored.
  void OnPlaced(bool explored);

  const SlowdownModel& Model() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::interference
