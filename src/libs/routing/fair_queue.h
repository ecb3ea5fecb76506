// Weighted fair queue of requests that wait for a slot.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "routing/types.h"

namespace mangoroad::routing {

/// Start-time fair queueing between rows, FIFO order within a row.
class FairQueue {
 public:
  void SetWeight(RowIndex row, int weight);
  void Push(RowIndex row, RequestId id);
  /// Returns a popped request to the head of its row and undoes the charge for its service.
  void PushFront(RowIndex row, RequestId id);
  /// Removes the next request; empty when no request waits.
  std::optional<std::pair<RowIndex, RequestId>> Pop();
  [[nodiscard]] std::size_t Size() const { return this->size; }
  [[nodiscard]] std::size_t Size(RowIndex row) const;
  /// Fraction of the service rate that the row gets while all backlogged rows stay backlogged, in
  /// (0, 1].
  [[nodiscard]] double Share(RowIndex row) const;

 private:
  struct Flow {
    int weight = 1;
    double start = 0;  // Virtual start time of the first waiting request.
    std::deque<RequestId> waiting;
  };
  Flow& FlowOf(RowIndex row);

  std::vector<Flow> flows;
  std::set<std::pair<double, RowIndex>> backlogged;  // Rows with waiting requests, by start time.
  double virtual_time = 0;
  double backlogged_weight = 0;
  std::size_t size = 0;
};

}  // namespace mangoroad::routing
