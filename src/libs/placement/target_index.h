// Targets by free resources.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "jobs/job.h"

namespace mangoroad::placement::internal {

/// Number of a target in this leader's memory.
using TargetNumber = std::uint32_t;
/// Number of a failure domain; at most kMaxDomains.
using DomainNumber = std::uint32_t;

constexpr DomainNumber kMaxDomains = 64;

/// What a search wants.
struct IndexQuery {
  jobs::Resources need;
  DomainNumber domain = 0;
  /// Emptiest targets first, otherwise the fullest that fit.
  bool largest_first = false;
  /// Stops after this many targets.
  std::size_t limit = 1;
  /// At most this many of about the same free amounts, so that the candidates differ.
  std::size_t per_bucket = 1;
  /// Where to begin among targets of about the same free amounts.
  std::size_t offset = 0;
};

/// Grid over the free amounts of targets for each failure domain and number of free accelerators.
/// Cells are logarithmic with 4 steps for each doubling; a search looks only into cells that can
/// fit, in the order wanted, and is exact. Targets with free accelerators come last for work that
/// needs none.
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
