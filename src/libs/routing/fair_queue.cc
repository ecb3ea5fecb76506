#include "routing/fair_queue.h"

#include <algorithm>

namespace mangoroad::routing {

FairQueue::Flow& FairQueue::At(RowIndex row) {
  if (row >= this->flows.size()) this->flows.resize(row + 1UL);
  return this->flows[row];
}

void FairQueue::SetWeight(RowIndex row, int weight) {
  Flow& flow = this->At(row);
  const int valid = std::max(weight, 1);
  if (!flow.waiting.empty()) this->busy_weight += valid - flow.weight;
  flow.weight = valid;
}

void FairQueue::Push(RowIndex row, RequestId id) {
  Flow& flow = this->At(row);
  if (flow.waiting.empty()) {
    // A row that was idle gets no credit for the time before.
    flow.start = std::max(flow.start, this->virtual_time);
    this->busy.emplace(flow.start, row);
    this->busy_weight += flow.weight;
  }
  flow.waiting.push_back(id);
  ++this->size;
}

void FairQueue::PushFront(RowIndex row, RequestId id) {
  Flow& flow = this->At(row);
  if (!flow.waiting.empty()) {
    this->busy.erase({flow.start, row});
  } else {
    this->busy_weight += flow.weight;
  }
  flow.start -= 1.0 / flow.weight;
  this->busy.emplace(flow.start, row);
  flow.waiting.push_front(id);
  ++this->size;
}

std::optional<std::pair<RowIndex, RequestId>> FairQueue::Pop() {
  if (this->busy.empty()) return std::nullopt;
  const auto [start, row] = *this->busy.begin();
  this->busy.erase(this->busy.begin());
  Flow& flow = this->flows[row];
  this->virtual_time = std::max(this->virtual_time, start);
  const RequestId id = flow.waiting.front();
  flow.waiting.pop_front();
  --this->size;
  flow.start = start + 1.0 / flow.weight;
  if (flow.waiting.empty()) {
    this->busy_weight -= flow.weight;
  } else {
    this->busy.emplace(flow.start, row);
  }
  return std::pair(row, id);
}

std::size_t FairQueue::Size(RowIndex row) const {
  return row < this->flows.size() ? this->flows[row].waiting.size() : 0;
}

double FairQueue::Share(RowIndex row) const {
  const int weight = row < this->flows.size() ? this->flows[row].weight : 1;
  const double others = this->busy_weight - (this->Size(row) > 0 ? weight : 0);
  return weight / (weight + std::max(0.0, others));
}

}  // namespace mangoroad::routing
