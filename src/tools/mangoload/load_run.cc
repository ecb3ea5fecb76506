#include "load_run.h"

#include <event2/event.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstring>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>

#include "answer_check.h"
#include "base/random.h"
#include "http_pool.h"
#include "metrics/metrics.h"

namespace mangoroad::load {
namespace {

using nlohmann::json;

// What an entry VM may take beyond the deadline before the answer counts as missing.
constexpr base::Duration kAnswerGrace = std::chrono::seconds(1);

base::TimePoint Now() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return base::TimePoint(std::chrono::duration_cast<base::Duration>(since));
}

std::int64_t WallMicroseconds() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<base::Duration>(since).count();
}

struct EventFreer {
  void operator()(event* object) const { event_free(object); }
  void operator()(event_base* object) const { event_base_free(object); }
};

struct RowState {
  RowLoad load;
  base::TimePoint next_arrival;
  std::uint64_t sent = 0;
  std::uint64_t unsent = 0;
  std::uint64_t wrong_answers = 0;
  /// By outcome and status, e.g. `not-run 503`.
  std::map<std::string, std::uint64_t> outcomes;
  metrics::Histogram latency;
};

struct Request {
  RowState* row = nullptr;
  std::string path;
  std::string body;
  std::string key;
  base::TimePoint intended;
  std::int64_t intended_wall_us = 0;
  bool is_reported = false;
  int resends_left = 0;
  std::size_t last_entry = 0;
  json attempts = json::array();
};

class LoadRun {
 public:
  explicit LoadRun(const RunOptions& run_options);

  int Run();

 private:
  void OnTimer();
  void Begin(RowState& row, base::TimePoint intended);
  void SendAttempt(std::uint64_t id);
  void OnAnswer(std::uint64_t id, std::int64_t sent_wall_us, const HttpAnswer& answer);
  void End(std::uint64_t id, const std::string& outcome, int status);
  void WriteHistory(const Request& request, const std::string& outcome);
  void Schedule();
  void Print() const;

  const RunOptions& options;
  base::Random random;
  std::unique_ptr<event_base, EventFreer> loop;
  std::unique_ptr<event, EventFreer> timer;
  std::vector<std::unique_ptr<HttpPool>> pools;
  std::vector<RowState> rows;
  std::unordered_map<std::uint64_t, Request> in_flight;
  std::ofstream history;
  std::string run_name;
  std::uint64_t last_id = 0;
  base::TimePoint start;
  base::TimePoint end;
};

LoadRun::LoadRun(const RunOptions& run_options)
    : options(run_options),
      random(run_options.seed),
      loop(event_base_new()),
      run_name(fmt::format("{}-{}", WallMicroseconds(), run_options.seed)) {
  for (const settings::Endpoint& entry : options.entries) {
    pools.push_back(std::make_unique<HttpPool>(loop.get(), entry, options.deadline + kAnswerGrace));
  }
  for (const RowLoad& load : options.rows) rows.emplace_back().load = load;
}

int LoadRun::Run() {
  if (!this->options.history.empty()) {
    this->history.open(this->options.history, std::ios::trunc);
    if (!this->history) {
      fmt::print(stderr, "history '{}': {}\n", this->options.history, std::strerror(errno));
      return 2;
    }
  }
  this->start = Now();
  this->end = this->start + this->options.duration;
  for (RowState& row : this->rows) {
    row.next_arrival =
        this->start + base::Duration(std::llround(this->random.Exponential(1e6 / row.load.rate)));
  }
  this->timer.reset(event_new(
      this->loop.get(), -1, 0,
      [](evutil_socket_t, std::int16_t, void* self) { static_cast<LoadRun*>(self)->OnTimer(); },
      this));
  this->Schedule();
  event_base_dispatch(this->loop.get());
  this->history.flush();
  if (!this->options.history.empty() && !this->history) {
    fmt::print(stderr, "history '{}': can't be written\n", this->options.history);
    return 2;
  }
  this->Print();
  const bool has_sent =
      std::ranges::any_of(this->rows, [](const RowState& row) { return row.sent > 0; });
  return has_sent ? 0 : 1;
}

void LoadRun::Schedule() {
  const auto next = std::ranges::min_element(this->rows, {}, &RowState::next_arrival)->next_arrival;
  // With no arrival left, the loop ends by itself after the last answer.
  if (next >= this->end) return;
  const base::Duration wait = std::max(next - Now(), base::Duration(0));
  const timeval delay{static_cast<time_t>(wait.count() / 1'000'000),
                      static_cast<suseconds_t>(wait.count() % 1'000'000)};
  event_add(this->timer.get(), &delay);
}

void LoadRun::OnTimer() {
  const base::TimePoint now = Now();
  for (RowState& row : this->rows) {
    while (row.next_arrival <= now && row.next_arrival < this->end) {
      this->Begin(row, row.next_arrival);
      row.next_arrival +=
          base::Duration(std::llround(this->random.Exponential(1e6 / row.load.rate)));
    }
  }
  this->Schedule();
}

void LoadRun::Begin(RowState& row, base::TimePoint intended) {
  if (this->in_flight.size() >= this->options.max_in_flight) {
    row.unsent += 1;
    return;
  }
  const std::uint64_t id = ++this->last_id;
  Request& request = this->in_flight[id];
  request.row = &row;
  request.path = fmt::format("/v1/call/{}/load/{}/{}", row.load.row, this->run_name, id);
  if (row.load.is_keyed) request.key = fmt::format("{}-{}", this->run_name, id);
  request.body = fmt::format("{:016x}", this->random.Bits());
  request.body.resize(this->options.body_bytes, static_cast<char>('a' + id % 26));
  request.intended = intended;
  request.intended_wall_us = WallMicroseconds() - (Now() - intended).count();
  request.is_reported = intended >= this->start + this->options.warmup;
  request.resends_left = row.load.is_keyed ? this->options.resends : 0;
  request.last_entry = this->pools.size();
  row.sent += 1;
  this->SendAttempt(id);
}

void LoadRun::SendAttempt(std::uint64_t id) {
  Request& request = this->in_flight.at(id);
  std::size_t entry = this->random.Below(static_cast<std::uint32_t>(this->pools.size()));
  if (entry == request.last_entry) entry = (entry + 1) % this->pools.size();
  request.last_entry = entry;
  HttpPool::Headers headers{
      {"Mangoroad-Deadline-Ms", std::to_string(this->options.deadline.count() / 1000)}};
  if (!request.key.empty()) headers.emplace_back("Idempotency-Key", request.key);
  const std::int64_t sent = WallMicroseconds();
  this->pools[entry]->Post(
      request.path, headers, request.body,
      [this, id, sent](const HttpAnswer& answer) { this->OnAnswer(id, sent, answer); });
}

void LoadRun::OnAnswer(std::uint64_t id, std::int64_t sent_wall_us, const HttpAnswer& answer) {
  Request& request = this->in_flight.at(id);
  // Without an answer that says otherwise, the request may have been run.
  const std::string outcome =
      answer.status == 0 || answer.outcome.empty() ? "unknown" : answer.outcome;
  const bool is_ran = outcome == "ran";
  const bool is_whole = is_ran && IsWholeAnswer(answer.body, request.path, request.body);
  if (is_ran && answer.status == 200 && !is_whole) request.row->wrong_answers += 1;
  request.attempts.push_back({{"entry", this->pools[request.last_entry]->Address()},
                              {"sent_us", sent_wall_us},
                              {"ended_us", WallMicroseconds()},
                              {"status", answer.status},
                              {"outcome", outcome},
                              {"whole", is_whole}});
  if (!is_ran && request.resends_left > 0) {
    request.resends_left -= 1;
    this->SendAttempt(id);
    return;
  }
  this->End(id, outcome, answer.status);
}

void LoadRun::End(std::uint64_t id, const std::string& outcome, int status) {
  const auto found = this->in_flight.find(id);
  const Request& request = found->second;
  if (request.is_reported) {
    request.row->outcomes[fmt::format("{} {}", outcome, status)] += 1;
    // Latency counts from the intended arrival, so a slow system can't hide its own queue.
    if (outcome == "ran" && status == 200) request.row->latency.Record(Now() - request.intended);
  }
  this->WriteHistory(request, outcome);
  this->in_flight.erase(found);
}

void LoadRun::WriteHistory(const Request& request, const std::string& outcome) {
  if (this->options.history.empty()) return;
  this->history << json{{"row", request.row->load.row},
                        {"path", request.path},
                        {"key", request.key},
                        {"idempotent", request.row->load.is_idempotent},
                        {"intended_us", request.intended_wall_us},
                        {"ended_us", WallMicroseconds()},
                        {"outcome", outcome},
                        {"attempts", request.attempts}}
                       .dump()
                << '\n';
}

void LoadRun::Print() const {
  const double seconds =
      std::chrono::duration<double>(this->options.duration - this->options.warmup).count();
  fmt::print("{:<16} {:>9} {:>9} {:>10} {:>10} {:>10} {:>10}\n", "row", "sent", "ok/s", "p50 ms",
             "p99 ms", "p99.9 ms", "max ms");
  const auto milliseconds = [](base::Duration duration) {
    return static_cast<double>(duration.count()) / 1000.0;
  };
  for (const RowState& row : this->rows) {
    const metrics::Histogram& latency = row.latency;
    fmt::print("{:<16} {:>9} {:>9.1f} {:>10.2f} {:>10.2f} {:>10.2f} {:>10.2f}\n", row.load.row,
               row.sent, static_cast<double>(latency.Count()) / seconds,
               milliseconds(latency.Quantile(0.5)), milliseconds(latency.Quantile(0.99)),
               milliseconds(latency.Quantile(0.999)), milliseconds(latency.Max()));
  }
  for (const RowState& row : this->rows) {
    for (const auto& [outcome, count] : row.outcomes) {
      fmt::print("{}: outcome {}: {}\n", row.load.row, outcome, count);
    }
    if (row.unsent > 0) fmt::print("{}: not sent by mangoload: {}\n", row.load.row, row.unsent);
    if (row.wrong_answers > 0) {
      fmt::print("{}: wrong or cut answers: {}\n", row.load.row, row.wrong_answers);
    }
  }
}

}  // namespace

int RunLoad(const RunOptions& options) { return LoadRun(options).Run(); }

}  // namespace mangoroad::load
