#include "controller/target_fences.h"

#include "base/soft_assert.h"

namespace mangoroad::controller {
namespace {

/// Readers of JSON that use doubles read fences up to 2^53 exactly, which leaves 2^21 terms.
constexpr int kStepBits = 32;

}  // namespace

Fence TargetFences::Raise(const std::string& target_id) {
  std::uint32_t& step = this->steps[target_id];
  step += 1;
  // Otherwise the fence would fall. The next leader has a new term.
  MANGOROAD_INVARIANT(step != 0);
  return (this->term << kStepBits) + step;
}

}  // namespace mangoroad::controller
