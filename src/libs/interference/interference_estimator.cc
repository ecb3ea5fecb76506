#include "interference/interference_estimator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <unordered_map>

#include "interference/mix_history.h"

namespace mangoroad::interference {
namespace {

using base::TimePoint;

constexpr std::size_t kRateClasses = 24;

// Below this load, tasks are too few to affect the measured baseline of a service.
constexpr double kBaselineMaxLoad = 0.02;

// Largest change of a learned baseline, as a logarithm: an outlier moves it by at most 5%.
constexpr double kBaselineMaxStep = 0.05;

std::size_t RateClassOf(double rate) {
  return std::min(kRateClasses - 1, static_cast<std::size_t>(std::log2(1 + std::max(0.0, rate))));
}

struct Service {
  double latency_slo_ms = 0;
  double declared_baseline_ms = 0;
  /// Learned p99 on targets without tasks for each class of request rates; 0 when unknown.
  std::array<double, kRateClasses> baseline_ms{};

  double BaselineAt(std::size_t rate_class) const {
    if (this->baseline_ms.at(rate_class) > 0) return this->baseline_ms.at(rate_class);
    if (this->declared_baseline_ms > 0) return this->declared_baseline_ms;
    const auto known = std::ranges::find_if(this->baseline_ms, [](double ms) { return ms > 0; });
    return known == this->baseline_ms.end() ? 0 : *known;
  }

  void UpdateBaseline(std::size_t rate_class, double p99_ms) {
    double& baseline = this->baseline_ms.at(rate_class);
    if (baseline == 0) {
      baseline = p99_ms;
    } else {
      baseline *= std::exp(
          std::clamp(0.2 * std::log(p99_ms / baseline), -kBaselineMaxStep, kBaselineMaxStep));
    }
  }
};

struct ServiceReport {
  TimePoint taken_at;
  double latency_use = 0;
  std::size_t rate_class = 0;
};

struct TargetState {
  MixHistory history;
  TimePoint pruned_at;
  std::optional<TimePoint> reported_at;
  std::map<KindId, ServiceReport> services;
};

}  // namespace

struct InterferenceEstimator::Private {
  InterferenceSettings settings;
  SlowdownModel model;
  std::unordered_map<std::string, TargetState> targets;
  std::unordered_map<KindId, Service> services;
  double explore_budget = 0;

  explicit Private(const InterferenceSettings& given) : settings(given), model(given.slowdown) {}

  TargetState* Find(std::string_view target) {
    const auto found = this->targets.find(std::string(target));
    return found == this->targets.end() ? nullptr : &found->second;
  }

  // Prunes at most once per quarter of the history duration, to keep events cheap.
  void Prune(TimePoint now, TargetState& target) const {
    if (now < target.pruned_at + this->settings.history_duration / 4) return;
    target.pruned_at = now;
    target.history.RemoveEndedBefore(now - this->settings.history_duration);
  }
};

InterferenceEstimator::InterferenceEstimator(InterferenceSettings settings)
    : d(std::make_unique<Private>(settings)) {}
InterferenceEstimator::~InterferenceEstimator() = default;
InterferenceEstimator::InterferenceEstimator(InterferenceEstimator&&) noexcept = default;
InterferenceEstimator& InterferenceEstimator::operator=(InterferenceEstimator&&) noexcept = default;

KindId InterferenceEstimator::KindOf(std::string_view row) { return this->d->model.KindOf(row); }

void InterferenceEstimator::OnTaskStarted(TimePoint at, std::string_view target, jobs::JobId job,
                                          std::string_view row, double share) {
  TargetState& record = this->d->targets[std::string(target)];
  record.history.Begin(at, job, this->KindOf(row), share);
  this->d->Prune(at, record);
}

void InterferenceEstimator::OnTaskEnded(TimePoint at, std::string_view target, jobs::JobId job) {
  TargetState* record = this->d->Find(target);
  if (record == nullptr) return;
  record->history.End(at, job);
  this->d->Prune(at, *record);
}

void InterferenceEstimator::OnTargetRemoved(std::string_view target) {
  this->d->targets.erase(std::string(target));
}

void InterferenceEstimator::SetService(std::string_view row, double latency_slo_ms,
                                       double baseline_p99_ms) {
  Service& service = this->d->services[this->KindOf(row)];
  service.latency_slo_ms = latency_slo_ms;
  service.declared_baseline_ms = baseline_p99_ms;
}

void InterferenceEstimator::OnReport(TimePoint taken_at, std::string_view target) {
  TargetState& record = this->d->targets[std::string(target)];
  record.reported_at = std::max(record.reported_at.value_or(taken_at), taken_at);
}

void InterferenceEstimator::ObserveTask(TimePoint taken_at, std::string_view target,
                                        jobs::JobId job, double slowdown) {
  TargetState* record = this->d->Find(target);
  if (record == nullptr) return;
  const auto kind = record->history.KindOf(job);
  const auto mix = record->history.MixBefore(taken_at, this->d->settings.averaging_window, job);
  if (!kind || !mix) return;
  this->d->model.Observe(taken_at, *kind, mix->neighbours, mix->load, slowdown);
}

void InterferenceEstimator::ObserveService(TimePoint taken_at, std::string_view target,
                                           std::string_view row, double p99_ms, double rate) {
  const KindId kind = this->KindOf(row);
  const auto service = this->d->services.find(kind);
  if (service == this->d->services.end() || !std::isfinite(p99_ms) || p99_ms <= 0) return;
  this->OnReport(taken_at, target);
  TargetState& record = this->d->targets[std::string(target)];
  const std::size_t rate_class = RateClassOf(rate);
  ServiceReport& report = record.services[kind];
  if (taken_at >= report.taken_at) {
    const double slo_ms = std::max(service->second.latency_slo_ms, 1e-3);
    report = {taken_at, p99_ms / slo_ms, rate_class};
  }
  const auto mix = record.history.MixBefore(taken_at, this->d->settings.averaging_window, 0);
  if (!mix || mix->load < kBaselineMaxLoad) {
    service->second.UpdateBaseline(rate_class, p99_ms);
    return;
  }
  const double baseline = service->second.BaselineAt(rate_class);
  if (baseline <= 0) return;
  this->d->model.Observe(taken_at, kind, mix->neighbours, mix->load, p99_ms / baseline);
}

Estimate InterferenceEstimator::Predict(TimePoint now, KindId kind,
                                        std::span<const Neighbour> neighbours, double load) const {
  return this->d->model.Predict(now, kind, neighbours, load);
}

Estimate InterferenceEstimator::PredictSloUtilization(TimePoint now, std::string_view target,
                                                      KindId service,
                                                      std::span<const Neighbour> neighbours,
                                                      double load) const {
  const auto declared = this->d->services.find(service);
  if (declared == this->d->services.end() || declared->second.latency_slo_ms <= 0) return {};
  std::size_t rate_class = 0;
  if (const TargetState* record = this->d->Find(target); record != nullptr) {
    const auto report = record->services.find(service);
    if (report != record->services.end()) rate_class = report->second.rate_class;
  }
  const Estimate slowdown = this->Predict(now, service, neighbours, load);
  const double scale = declared->second.BaselineAt(rate_class) / declared->second.latency_slo_ms;
  return {slowdown.value * scale, slowdown.deviation * scale};
}

Estimate InterferenceEstimator::PredictMaxSloUtilization(TimePoint now, std::string_view target,
                                                         std::span<const Neighbour> neighbours,
                                                         double load) const {
  Estimate worst;
  const TargetState* record = this->d->Find(target);
  if (record == nullptr) return worst;
  for (const auto& [kind, report] : record->services) {
    const Estimate use = this->PredictSloUtilization(now, target, kind, neighbours, load);
    if (use.value > worst.value) worst = use;
  }
  return worst;
}

ServiceState InterferenceEstimator::ServiceStateOf(TimePoint now, std::string_view target) const {
  ServiceState state;
  const TargetState* record = this->d->Find(target);
  const auto is_recent = [&](TimePoint at) {
    return now - at <= this->d->settings.max_latency_age;
  };
  state.is_current = record != nullptr && record->reported_at && is_recent(*record->reported_at);
  if (record == nullptr) return state;
  for (const auto& [kind, report] : record->services) {
    state.slo_utilization = std::max(state.slo_utilization, report.latency_use);
    state.is_current = state.is_current && is_recent(report.taken_at);
  }
  return state;
}

bool InterferenceEstimator::MayExplore(TimePoint now, std::string_view target) const {
  if (this->d->explore_budget < 1) return false;
  const ServiceState state = this->ServiceStateOf(now, target);
  return state.is_current &&
         state.slo_utilization <= this->d->settings.exploration_max_slo_utilization;
}

void InterferenceEstimator::OnPlaced(bool explored) {
  double& budget = this->d->explore_budget;
  budget =
      std::min(this->d->settings.exploration_burst, budget + this->d->settings.exploration_share);
  if (explored) budget -= 1;
}

const SlowdownModel& InterferenceEstimator::Model() const { return this->d->model; }

}  // namespace mangoroad::interference
