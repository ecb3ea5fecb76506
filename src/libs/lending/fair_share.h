// Max-min fair division of a target's capacity.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mangoroad::lending {

/// Divides `capacity` units by max-min fairness: no share exceeds its demand, each positive demand
/// gets at least one unit while there are enough units, and a unit that can't be divided evenly
/// goes to the first unsatisfied demand at or after `first` in circular order.
std::vector<std::int32_t> FairShares(std::int32_t capacity, const std::vector<std::int32_t>& demand,
                                     std::size_t first);

}  // namespace mangoroad::lending
