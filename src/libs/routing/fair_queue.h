// Weighted fair queue of waiting requests.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "routing/types.h"

namespace mangoroad::routing {

/// Start-time fair queueing over rows; first in, first out inside a row.
class FairQueue {
 public:
  void SetWeight(RowIndex row, int weight);
  void Push(RowIndex row, RequestId id);
  /// Puts a request back at the head of its row, without a charge.
  void PushFront(RowIndex row, RequestId id);
  /// The next request and its row.
  std::optional<std::pair<RowIndex, RequestId>> Pop();
  [[nodiscard]] std::size_t Size() const { return this->size; }
  [[nodiscard]] std::size_t Size(RowIndex row) const;
  /// Part of the service that a row gets while all waiting rows stay busy, in (0, 1].
  [[nodiscard]] double Share(RowIndex row) const;

 private:
  struct Flow {
    int weight = 1;
    double start = 0;  // Virtual start time of the head.
    std::deque<RequestId> waiting;
  };
  Flow& At(RowIndex row);

  std::vector<Flow> flows;
  std::set<std::pair<double, RowIndex>> busy;  // Flows that wait, by start time.
  double virtual_time = 0;
  double busy_weight = 0;
  std::size_t size = 0;
};

}  // namespace mangoroad::routing
