// Figures of each row, and the latest requests for `mangoctl explain`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "entry/answers.h"
#include "entry/live_request.h"
#include "entry/node_context.h"

namespace mangoroad::entry {

class RequestLog {
 public:
  /// Requests kept for explanations.
  static constexpr std::size_t kKeptRequests = 10'000;

  explicit RequestLog(NodeContext& context) : node(context) {}

  void Begin(const std::string& row);
  void End(const LiveRequest& request, Outcome outcome, std::string detail);

  /// JSON array with the figures of each row.
  [[nodiscard]] std::string RowStatus() const;
  /// JSON of a kept request, or empty.
  [[nodiscard]] std::string Explain(const std::string& request) const;

 private:
  struct Finished {
    std::string id;
    std::string row;
    std::string target;
    Outcome outcome = Outcome::kUnknown;
    std::string detail;
    base::WallMilliseconds time_ms = 0;
  };
  struct Figures {
    std::size_t in_progress = 0;
    std::uint64_t refused = 0;
    std::uint64_t answered = 0;
  };

  NodeContext& node;
  std::deque<Finished> finished;
  std::map<std::string, Figures> rows;
};

}  // namespace mangoroad::entry
