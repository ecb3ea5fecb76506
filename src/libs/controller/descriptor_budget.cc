#include "controller/descriptor_budget.h"

#include <sys/resource.h>

#include <algorithm>

namespace mangoroad::controller {
namespace {

// Shares in percent.
constexpr std::size_t kTargetCallShare = 22;
constexpr std::size_t kControlShare = 22;
constexpr std::size_t kCallerRelayShare = 15;
constexpr std::size_t kCallerShare = 55;
/// Used when the process has no limit.
constexpr std::size_t kMaxDescriptors = 65'536;

}  // namespace

DescriptorBudget DivideDescriptors(std::size_t limit) {
  const auto share = [limit](std::size_t percent) {
    return std::max<std::size_t>(1, limit * percent / 100);
  };
  return {share(kTargetCallShare), share(kControlShare), share(kCallerRelayShare),
          share(kCallerShare)};
}

std::size_t DescriptorLimit(std::size_t declared) {
  rlimit limit{};
  std::size_t found = kMaxDescriptors;
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    found = std::min<std::size_t>(found, limit.rlim_cur);
  }
  return declared == 0 ? found : std::min(found, declared);
}

}  // namespace mangoroad::controller
