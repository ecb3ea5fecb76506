// Index of targets by free resources.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "jobs/job.h"

namespace mangoroad::placement::internal {

/// Number of a target, valid within one leader's scheduler.
using TargetNumber = std::uint32_t;
/// Number of a failure domain, below kMaxDomains.
using DomainNumber = std::uint32_t;

constexpr DomainNumber kMaxDomains = 64;

/// Parameters of a search.
struct IndexQuery {
  jobs::Resources need;
  DomainNumber domain = 0;
  /// Emptiest targets first, otherwise the fullest that fit.
  bool largest_first = false;
  /// Stops after this many targets.
  std::size_t limit = 1;
  /// Limit per cell of similar free amounts, so that the candidates differ.
  std::size_t per_bucket = 1;
  /// Offset at which the search begins within each cell.
  std::size_t offset = 0;
};

/// Grids of free processors and memory, one for each failure domain and number of free
/// accelerators. Cells are logarithmic with 4 steps per doubling. A search visits only cells that
/// can fit, in the requested order, and compares exact amounts. Targets with free accelerators come
/// last for work that needs none.
class TargetIndex {
 public:
  TargetIndex();
  ~TargetIndex();
  TargetIndex(const TargetIndex&) = delete;
  TargetIndex& operator=(const TargetIndex&) = delete;

  /// Adds a target or changes its free amounts.
  void Set(TargetNumber target, DomainNumber domain, const jobs::Resources& free);
  void Remove(TargetNumber target);

  /// Appends targets that fit to `found`, until `found` has `limit` elements.
  void Collect(const IndexQuery& query, std::vector<TargetNumber>& found) const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::placement::internal
