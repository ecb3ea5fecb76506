#include "placement/sharing_policy.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace mangoroad::placement {
namespace {

using base::TimePoint;
using interference::Estimate;
using interference::KindId;
using interference::Neighbour;

std::int64_t ReservedIn(const SharingView& view) {
  return std::accumulate(
      view.row_totals.begin(), view.row_totals.end(), std::int64_t{0},
      [](std::int64_t sum, const RowTotal& entry) { return sum + entry.millicores; });
}

class NoSharing : public SharingPolicy {
 public:
  SharingDecision Evaluate(TimePoint /*now*/, const SharingView& view, RowNumber /*row*/,
                           std::int64_t /*millicores*/) override {
    return {view.row_totals.empty(), 0, false};
  }
};

class ThresholdSharing : public SharingPolicy {
 public:
  explicit ThresholdSharing(double load) : max_load(load) {}
  SharingDecision Evaluate(TimePoint /*now*/, const SharingView& view, RowNumber /*row*/,
                           std::int64_t millicores) override {
    const double limit = this->max_load * static_cast<double>(view.capacity_millicores);
    const auto load = static_cast<double>(ReservedIn(view) + millicores);
    // A task larger than the threshold may still have a target to itself.
    return {view.row_totals.empty() || load <= limit, 0, false};
  }

 private:
  double max_load;
};

class UnrestrictedSharing : public SharingPolicy {
 public:
  SharingDecision Evaluate(TimePoint /*now*/, const SharingView& /*view*/, RowNumber /*row*/,
                           std::int64_t /*millicores*/) override {
    return {true, 0, false};
  }
};

class LearnedPredictor : public SlowdownPredictor {
 public:
  explicit LearnedPredictor(interference::InterferenceEstimator& learned) : model(&learned) {}
  KindId KindOf(std::string_view row) override { return this->model->KindOf(row); }
  Estimate Slowdown(TimePoint now, KindId kind, std::span<const Neighbour> neighbours,
                    double load) const override {
    return this->model->Predict(now, kind, neighbours, load);
  }
  Estimate SloUtilization(TimePoint now, std::string_view target,
                          std::span<const Neighbour> neighbours, double load) const override {
    return this->model->PredictMaxSloUtilization(now, target, neighbours, load);
  }
  double MeasuredSloUtilization(TimePoint now, std::string_view target) const override {
    return this->model->ServiceStateOf(now, target).slo_utilization;
  }
  bool MayExplore(TimePoint now, std::string_view target) const override {
    return this->model->MayExplore(now, target);
  }
  void OnPlaced(bool is_exploration) override { this->model->OnPlaced(is_exploration); }

 private:
  interference::InterferenceEstimator* model;
};

class ModelSharing : public SharingPolicy {
 public:
  ModelSharing(std::unique_ptr<SlowdownPredictor> given, ModelSharingSettings limits)
      : predictor(std::move(given)), settings(limits) {}

  void OnRow(RowNumber row, const RowSpec& spec) override {
    if (row >= this->kinds.size()) this->kinds.resize(row + 1);
    this->kinds.at(row) = this->predictor->KindOf(spec.name);
  }

  SharingDecision Evaluate(TimePoint now, const SharingView& view, RowNumber row,
                           std::int64_t millicores) override {
    const double share = ShareOf(view, millicores);
    if (this->predictor->MeasuredSloUtilization(now, view.target) >
        this->settings.max_slo_utilization) {
      return {};
    }
    this->SetNeighbours(view);
    const double load = ShareOf(view, ReservedIn(view));
    const double gain = this->ThroughputGainOf(now, view, row, share, load);
    if (!view.row_totals.empty() && gain < this->settings.min_gain) return {false, gain, false};
    this->Join(this->kinds.at(row), share);
    const Estimate slo_utilization =
        this->predictor->SloUtilization(now, view.target, this->neighbours, load + share);
    const double upper_estimate =
        slo_utilization.value + this->settings.deviation_weight * slo_utilization.deviation;
    if (upper_estimate <= this->settings.max_slo_utilization) return {true, gain, false};
    const bool may_comply = slo_utilization.value <= this->settings.max_slo_utilization;
    const bool explore = may_comply && this->predictor->MayExplore(now, view.target);
    return {explore, gain, explore};
  }

  void OnStarted(bool is_exploration) override { this->predictor->OnPlaced(is_exploration); }

  double ServiceInterference(TimePoint now, const SharingView& view, RowNumber row) const override {
    std::vector<Neighbour> alone;
    for (const RowTotal& entry : view.row_totals) {
      if (entry.row == row) alone.push_back({this->kinds.at(row), ShareOf(view, entry.millicores)});
    }
    const double load = ShareOf(view, ReservedIn(view));
    return this->predictor->SloUtilization(now, view.target, alone, load).value;
  }

  bool ComparesTargets() const override { return true; }

 private:
  static double ShareOf(const SharingView& view, std::int64_t millicores) {
    return static_cast<double>(millicores) /
           static_cast<double>(std::max<std::int64_t>(1, view.capacity_millicores));
  }

  void SetNeighbours(const SharingView& view) {
    this->neighbours.clear();
    for (const RowTotal& entry : view.row_totals) {
      this->neighbours.push_back({this->kinds.at(entry.row), ShareOf(view, entry.millicores)});
    }
  }

  void Join(KindId kind, double share) {
    const auto known = std::ranges::find(this->neighbours, kind, &Neighbour::kind);
    if (known == this->neighbours.end()) {
      this->neighbours.push_back({kind, share});
    } else {
      known->share += share;
    }
  }

  // Throughput of the new task less what the others lose, per core of the new task.
  double ThroughputGainOf(TimePoint now, const SharingView& view, RowNumber row, double share,
                          double load) {
    const KindId kind = this->kinds.at(row);
    const double after_load = load + share;
    double gain = share / this->predictor->Slowdown(now, kind, this->neighbours, after_load).value;
    std::vector<Neighbour> others = this->neighbours;
    for (std::size_t i = 0; i < view.row_totals.size(); ++i) {
      const RowTotal& entry = view.row_totals[i];
      const double own = ShareOf(view, entry.millicores);
      const KindId resident = this->kinds.at(entry.row);
      // The task itself isn't one of its neighbours.
      others.at(i).share = own * (entry.count - 1) / entry.count;
      const double before = this->predictor->Slowdown(now, resident, others, load).value;
      others.push_back({kind, share});
      const double after = this->predictor->Slowdown(now, resident, others, after_load).value;
      others.pop_back();
      others.at(i).share = own;
      gain -= own * (1 / before - 1 / after);
    }
    return gain / share;
  }

  std::unique_ptr<SlowdownPredictor> predictor;
  ModelSharingSettings settings;
  std::vector<KindId> kinds;
  // Reused between calls.
  std::vector<Neighbour> neighbours;
};

}  // namespace

double SharingPolicy::ServiceInterference(TimePoint /*now*/, const SharingView& view,
                                          RowNumber row) const {
  const auto entry = std::ranges::find(view.row_totals, row, &RowTotal::row);
  return entry == view.row_totals.end() ? 0 : static_cast<double>(entry->millicores);
}

std::unique_ptr<SharingPolicy> MakeNoSharing() { return std::make_unique<NoSharing>(); }
std::unique_ptr<SharingPolicy> MakeUnrestrictedSharing() {
  return std::make_unique<UnrestrictedSharing>();
}
std::unique_ptr<SharingPolicy> MakeThresholdSharing(double max_load) {
  return std::make_unique<ThresholdSharing>(max_load);
}
std::unique_ptr<SlowdownPredictor> MakeLearnedPredictor(
    interference::InterferenceEstimator& model) {
  return std::make_unique<LearnedPredictor>(model);
}
std::unique_ptr<SharingPolicy> MakeModelSharing(std::unique_ptr<SlowdownPredictor> predictor,
                                                ModelSharingSettings settings) {
  return std::make_unique<ModelSharing>(std::move(predictor), settings);
}

}  // namespace mangoroad::placement
