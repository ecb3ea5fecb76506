#include "placement/target_index.h"

#include <algorithm>
#include <array>
#include <bit>
#include <bitset>
#include <utility>

namespace mangoroad::placement::internal {
namespace {

// Classes for amounts below 2^21 (2,097 cores, 2 TiB). Larger amounts share the last class.
constexpr std::size_t kClasses = 80;
constexpr std::size_t kAcceleratorClasses = 17;
constexpr std::uint32_t kNotIndexed = 0xFFFFFFFF;

// Class of an amount, as a floating-point number with 2 bits of mantissa.
std::size_t ClassOf(std::int64_t amount) {
  if (amount < 4) return amount < 0 ? 0 : static_cast<std::size_t>(amount);
  const auto bits = static_cast<std::uint64_t>(amount);
  const auto exponent = static_cast<std::size_t>(std::bit_width(bits)) - 1;
  return std::min(kClasses - 1, (4 * (exponent - 1)) + ((bits >> (exponent - 2)) & 3U));
}

/// Bit set of class numbers with a search in both directions.
class ClassSet {
 public:
  void Insert(std::size_t position) { this->words.at(position / 64) |= Bit(position); }
  void Erase(std::size_t position) { this->words.at(position / 64) &= ~Bit(position); }
  bool Empty() const { return this->words[0] == 0 && this->words[1] == 0; }

  /// Smallest member at or above `from`, or kClasses.
  std::size_t AtOrAbove(std::size_t from) const {
    for (std::size_t word = from / 64; word < this->words.size(); ++word) {
      std::uint64_t bits = this->words.at(word);
      if (word == from / 64) bits &= ~std::uint64_t{0} << (from % 64);
      if (bits != 0) return (word * 64) + static_cast<std::size_t>(std::countr_zero(bits));
    }
    return kClasses;
  }

  /// Largest member below `end`, or kClasses.
  std::size_t Below(std::size_t end) const {
    for (std::size_t word = this->words.size(); word-- > 0;) {
      std::uint64_t bits = this->words.at(word);
      if (end <= word * 64) continue;
      if (end < (word + 1) * 64) bits &= Bit(end) - 1;
      if (bits != 0) return (word * 64) + 63 - static_cast<std::size_t>(std::countl_zero(bits));
    }
    return kClasses;
  }

 private:
  static std::uint64_t Bit(std::size_t position) { return std::uint64_t{1} << (position % 64); }
  std::array<std::uint64_t, 2> words{};
};

// Calls `visit` with the members of `set` at or above `lowest`, in either direction, until it
// returns false. Returns false in that case.
template <typename Visit>
bool ForEachFrom(const ClassSet& set, std::size_t lowest, bool downwards, Visit visit) {
  if (downwards) {
    for (std::size_t at = set.Below(kClasses); at != kClasses && at >= lowest; at = set.Below(at)) {
      if (!visit(at)) return false;
    }
    return true;
  }
  for (std::size_t at = set.AtOrAbove(lowest); at < kClasses; at = set.AtOrAbove(at + 1)) {
    if (!visit(at)) return false;
  }
  return true;
}

struct Grid {
  std::array<std::array<std::vector<TargetNumber>, kClasses>, kClasses> cells;
  std::array<ClassSet, kClasses> memory;
  ClassSet processors;
};

struct Entry {
  jobs::Resources free;
  DomainNumber domain = 0;
  std::size_t accelerators = 0;
  std::size_t processors = 0;
  std::size_t memory = 0;
  std::uint32_t position = kNotIndexed;
};

using DomainGrids = std::array<std::unique_ptr<Grid>, kAcceleratorClasses>;

std::size_t AcceleratorClass(std::int64_t count) {
  return static_cast<std::size_t>(
      std::clamp<std::int64_t>(count, 0, static_cast<std::int64_t>(kAcceleratorClasses) - 1));
}

}  // namespace

struct TargetIndex::Private {
  std::vector<Entry> entries;
  std::array<DomainGrids, kMaxDomains> domains;

  std::vector<TargetNumber>& CellOf(const Entry& entry) {
    return this->domains.at(entry.domain)
        .at(entry.accelerators)
        ->cells.at(entry.processors)
        .at(entry.memory);
  }

  void Insert(TargetNumber target, Entry& entry) {
    auto& grid = this->domains.at(entry.domain).at(entry.accelerators);
    if (grid == nullptr) grid = std::make_unique<Grid>();
    auto& cell = this->CellOf(entry);
    entry.position = static_cast<std::uint32_t>(cell.size());
    cell.push_back(target);
    grid->memory.at(entry.processors).Insert(entry.memory);
    grid->processors.Insert(entry.processors);
  }

  void Erase(Entry& entry) {
    auto& cell = this->CellOf(entry);
    const TargetNumber moved = cell.back();
    cell.at(entry.position) = moved;
    this->entries.at(moved).position = entry.position;
    cell.pop_back();
    entry.position = kNotIndexed;
    if (!cell.empty()) return;
    Grid& grid = *this->domains.at(entry.domain).at(entry.accelerators);
    grid.memory.at(entry.processors).Erase(entry.memory);
    if (grid.memory.at(entry.processors).Empty()) grid.processors.Erase(entry.processors);
  }

  void CollectFromCell(const IndexQuery& query, const std::vector<TargetNumber>& cell,
                       std::vector<TargetNumber>& found) const {
    std::size_t taken = 0;
    for (std::size_t i = 0; i < cell.size(); ++i) {
      const TargetNumber target = cell[(query.offset + i) % cell.size()];
      if (!query.need.FitsIn(this->entries[target].free)) continue;
      found.push_back(target);
      if (++taken == query.per_bucket || found.size() >= query.limit) return;
    }
  }
};

TargetIndex::TargetIndex() : d(std::make_unique<Private>()) {}
TargetIndex::~TargetIndex() = default;

void TargetIndex::Set(TargetNumber target, DomainNumber domain, const jobs::Resources& free) {
  if (target >= this->d->entries.size()) this->d->entries.resize(target + 1);
  Entry& entry = this->d->entries.at(target);
  const std::size_t accelerators = AcceleratorClass(free.accelerators);
  const std::size_t processors = ClassOf(free.millicores);
  const std::size_t memory = ClassOf(free.memory_mib);
  entry.free = free;
  const bool same_cell = entry.position != kNotIndexed && entry.domain == domain &&
                         entry.accelerators == accelerators && entry.processors == processors &&
                         entry.memory == memory;
  if (same_cell) return;
  if (entry.position != kNotIndexed) this->d->Erase(entry);
  entry = {free, domain, accelerators, processors, memory, kNotIndexed};
  this->d->Insert(target, entry);
}

void TargetIndex::Remove(TargetNumber target) {
  if (target >= this->d->entries.size()) return;
  Entry& entry = this->d->entries.at(target);
  if (entry.position != kNotIndexed) this->d->Erase(entry);
}

void TargetIndex::Collect(const IndexQuery& query, std::vector<TargetNumber>& found) const {
  if (found.size() >= query.limit) return;
  const std::size_t processors = ClassOf(query.need.millicores);
  const std::size_t memory = ClassOf(query.need.memory_mib);
  const DomainGrids& grids = this->d->domains.at(query.domain);
  for (std::size_t level = AcceleratorClass(query.need.accelerators); level < kAcceleratorClasses;
       ++level) {
    const Grid* grid = grids.at(level).get();
    if (grid == nullptr) continue;
    const bool more =
        ForEachFrom(grid->processors, processors, query.largest_first, [&](std::size_t row) {
          return ForEachFrom(
              grid->memory.at(row), memory, query.largest_first, [&](std::size_t column) {
                this->d->CollectFromCell(query, grid->cells.at(row).at(column), found);
                return found.size() < query.limit;
              });
        });
    if (!more) return;
  }
}

}  // namespace mangoroad::placement::internal
