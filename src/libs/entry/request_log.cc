#include "entry/request_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace mangoroad::entry {
namespace {

constexpr std::string_view kLatency = "mangoroad_request_seconds";
constexpr std::string_view kLatencyHelp = "Time from arrival to the end of the answer";

}  // namespace

void RequestLog::Begin(const std::string& row) { ++this->rows[row].in_progress; }

void RequestLog::End(const LiveRequest& request, Outcome outcome, std::string detail) {
  const std::string& row = request.row.row;
  const std::string outcome_name(base::NameOf(kOutcomeNames, outcome));
  Figures& figures = this->rows[row];
  --figures.in_progress;
  ++(outcome == Outcome::kRan ? figures.answered : figures.refused);
  this->node.metrics
      .GetCounter("mangoroad_requests_total", "Live requests by outcome",
                  {{"row", row}, {"outcome", outcome_name}})
      .Add();
  this->node.metrics.GetHistogram(kLatency, kLatencyHelp, {{"row", row}})
      .Record(this->node.loop.Now() - request.arrived);
  this->finished.push_back({request.id, row, request.last_target, outcome, std::move(detail),
                            this->node.loop.WallNow()});
  if (this->finished.size() > kKeptRequests) this->finished.pop_front();
}

std::string RequestLog::RowStatus() const {
  std::map<std::string, int> tasks;
  this->node.machine.Jobs().ForEachActive([&](const jobs::Job& job) {
    if (jobs::HoldsLease(job.state)) ++tasks[job.spec.row];
  });
  const double uptime = std::max(
      1.0, std::chrono::duration<double>(this->node.loop.Now() - this->node.started).count());
  nlohmann::json items = nlohmann::json::array();
  for (const table::Row& row : this->node.machine.State().Table().Current().Rows()) {
    const auto entry = this->rows.find(row.row);
    const Figures figures = entry == this->rows.end() ? Figures{} : entry->second;
    const auto p99 =
        this->node.metrics.GetHistogram(kLatency, kLatencyHelp, {{"row", row.row}}).Quantile(0.99);
    items.push_back({{"row", row.row},
                     {"class", base::NameOf(table::kWorkClassNames, row.work_class)},
                     {"in_progress", figures.in_progress},
                     {"queued", 0},
                     {"rate", static_cast<double>(figures.answered) / uptime},
                     {"p99_ms", static_cast<double>(p99.count()) / 1000},
                     {"refused_rate", static_cast<double>(figures.refused) / uptime},
                     {"running_tasks", tasks[row.row]}});
  }
  return items.dump();
}

std::string RequestLog::Explain(const std::string& request) const {
  const auto entry = std::ranges::find(this->finished, request, &Finished::id);
  if (entry == this->finished.end()) return {};
  const std::string_view outcome = base::NameOf(kOutcomeNames, entry->outcome);
  const nlohmann::json step{
      {"time_ms", entry->time_ms}, {"step", outcome}, {"detail", entry->detail}};
  const nlohmann::json chosen{{"target", entry->target},
                              {"failure_domain", this->node.settings.failure_domain},
                              {"verdict", "chosen"},
                              {"detail", ""}};
  const nlohmann::json body{
      {"id", entry->id},
      {"kind", "request"},
      {"row", entry->row},
      {"state", outcome},
      {"summary", entry->detail},
      {"steps", nlohmann::json::array({step})},
      {"candidates",
       entry->target.empty() ? nlohmann::json::array() : nlohmann::json::array({chosen})}};
  return body.dump();
}

}  // namespace mangoroad::entry
