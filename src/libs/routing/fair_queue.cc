#include "routing/fair_queue.h"

#include <algorithm>

namespace mangoroad::routing {

FairQueue::Flow& FairQueue::FlowOf(RowIndex row) {
  if (row >= this->flows.size()) this->flows.resize(row + 1UL);
  return this->flows[row];
}

void FairQueue::SetWeight(RowIndex row, int weight) {
  Flow& flow = this->FlowOf(row);
  const int valid = std::max(weight, 1);
  if (!flow.waiting.empty()) this->backlogged_weight += valid - flow.weight;
  flow.weight = valid;
}

void FairQueue::Push(RowIndex row, RequestId id) {
  Flow& flow = this->FlowOf(row);
  if (flow.waiting.empty()) {
    // An idle row accumulates no credit.
    flow.start = std::max(flow.start, this->virtual_time);
    this->backlogged.emplace(flow.start, row);
    this->backlogged_weight += flow.weight;
  }
  flow.waiting.push_back(id);
  ++this->size;
}

void FairQueue::PushFront(RowIndex row, RequestId id) {
  Flow& flow = this->FlowOf(row);
  if (!flow.waiting.empty()) {
    this->backlogged.erase({flow.start, row});
  } else {
    this->backlogged_weight += flow.weight;
  }
  flow.start -= 1.0 / flow.weight;
  this->backlogged.emplace(flow.start, row);
  flow.waiting.push_front(id);
  ++this->size;
}

std::optional<std::pair<RowIndex, RequestId>> FairQueue::Pop() {
  if (this->backlogged.empty()) return std::nullopt;
  const auto [start, row] = *this->backlogged.begin();
  this->backlogged.erase(this->backlogged.begin());
  Flow& flow = this->flows[row];
  this->virtual_time = std::max(this->virtual_time, start);
  const RequestId id = flow.waiting.front();
  flow.waiting.pop_front();
  --this->size;
  flow.start = start + 1.0 / flow.weight;
  if (flow.waiting.empty()) {
    this->backlogged_weight -= flow.weight;
  } else {
    this->backlogged.emplace(flow.start, row);
  }
  return std::pair(row, id);
}

std::size_t FairQueue::Size(RowIndex row) const {
  return row < this->flows.size() ? this->flows[row].waiting.size() : 0;
}

double FairQueue::Share(RowIndex row) const {
  const int weight = row < this->flows.size() ? this->flows[row].weight : 1;
  const double others = this->backlogged_weight - (this->Size(row) > 0 ? weight : 0);
  return weight / (weight + std::max(0.0, others));
}

}  // namespace mangoroad::routing
