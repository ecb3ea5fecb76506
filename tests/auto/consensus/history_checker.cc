#include "history_checker.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace mangoroad::consensus::test {
namespace {

class Search {
 public:
  explicit Search(std::vector<const Operation*> given) : operations(std::move(given)) {}

  bool Run() { return this->Extend(0, {}); }

 private:
  using Mask = std::uint64_t;

  bool Extend(Mask done, const std::string& value) {
    if (!this->visited.emplace(done, value).second) return false;
    TimePoint earliest_end = TimePoint::max();
    bool complete = true;
    for (std::size_t i = 0; i < this->operations.size(); ++i) {
      if ((done >> i & 1U) != 0 || !this->operations[i]->end) continue;
      complete = false;
      earliest_end = std::min(earliest_end, this->operations[i]->end.value_or(earliest_end));
    }
    if (complete) return true;
    for (std::size_t i = 0; i < this->operations.size(); ++i) {
      const Operation& next = *this->operations[i];
      // An operation may come next only if none of the others had ended before it started.
      if ((done >> i & 1U) != 0 || next.start > earliest_end) continue;
      const auto after = Apply(next, value);
      if (after && this->Extend(done | Mask{1} << i, *after)) return true;
    }
    return false;
  }

  /// Value after the operation; nothing when its result contradicts `value`.
  static std::optional<std::string> Apply(const Operation& operation, const std::string& value) {
    if (operation.kind == OperationKind::kWrite) return operation.value;
    if (operation.kind == OperationKind::kRead) {
      return !operation.end || operation.result == value ? std::optional(value) : std::nullopt;
    }
    const bool sets = operation.expected == value;
    if (operation.end && (operation.result == "ok") != sets) return std::nullopt;
    return sets ? operation.value : value;
  }

  std::vector<const Operation*> operations;
  std::set<std::pair<Mask, std::string>> visited;
};

}  // namespace

std::optional<std::string> FindNonLinearizableKey(const std::vector<Operation>& operations) {
  std::map<std::string, std::vector<const Operation*>> by_key;
  for (const Operation& operation : operations) {
    const bool without_effect =
        operation.lost || (operation.kind == OperationKind::kRead && !operation.end);
    if (!without_effect) by_key[operation.key].push_back(&operation);
  }
  for (auto& [key, of_key] : by_key) {
    if (of_key.size() > 64 || !Search(of_key).Run()) return key;
  }
  return std::nullopt;
}

}  // namespace mangoroad::consensus::test
