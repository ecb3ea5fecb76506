// Max-min fair shares of a target's capacity.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mangoroad::lending {

/// Divides `capacity` units by max-min fairness. No share exceeds its demand, and each positive
/// demand gets at least one unit if there are enough units. Units that can't be divided evenly go
/// to the unsatisfied demands at or after index `first` in circular order.
std::vector<std::int32_t> FairShares(std::int32_t capacity, const std::vector<std::int32_t>& demand,
                                     std::size_t first);

}  // namespace mangoroad::lending
