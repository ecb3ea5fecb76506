#include "lending/fair_share.h"

#include <algorithm>

namespace mangoroad::lending {

std::vector<std::int32_t> FairShares(std::int32_t capacity, const std::vector<std::int32_t>& demand,
                                     std::size_t first) {
  std::vector<std::int32_t> shares(demand.size(), 0);
  const auto unsatisfied = [&](std::size_t i) { return shares[i] < demand[i]; };
  std::vector<std::size_t> unsatisfied_demands;
  for (std::size_t k = 0; k < demand.size(); ++k) {
    const std::size_t i = (first + k) % demand.size();
    if (unsatisfied(i)) unsatisfied_demands.push_back(i);
  }
  while (capacity > 0 && !unsatisfied_demands.empty()) {
    const auto count = static_cast<std::int32_t>(unsatisfied_demands.size());
    const std::int32_t each = std::max(1, capacity / count);
    for (const std::size_t i : unsatisfied_demands) {
      const std::int32_t granted = std::min({each, demand[i] - shares[i], capacity});
      shares[i] += granted;
      capacity -= granted;
    }
    std::erase_if(unsatisfied_demands, [&](std::size_t i) { return !unsatisfied(i); });
  }
  return shares;
}

}  // namespace mangoroad::lending
