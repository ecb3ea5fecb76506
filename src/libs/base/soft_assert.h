// Assertions that log a broken condition and let the process go on, and those that stop it.
#pragma once

#include <functional>
#include <string_view>

namespace mangoroad::base {

/// A broken condition with the place where it was found.
struct AssertFailure {
  std::string_view condition;
  std::string_view file;
  int line = 0;
};

using AssertHandler = std::function<void(const AssertFailure&)>;

/// Replaces the handler of soft asserts and returns the previous one. The default writes to
/// standard error.
AssertHandler SetSoftAssertHandler(AssertHandler handler);

/// Reports a broken condition to the handler.
void ReportSoftAssert(const AssertFailure& failure);

/// Reports a broken safety invariant and stops the process, since going on could lose or double
/// work.
[[noreturn]] void StopOnBrokenInvariant(const AssertFailure& failure);

}  // namespace mangoroad::base

/// Logs a broken condition and runs `action`, usually `return`.
#define MANGOROAD_SOFT_ASSERT(condition, action)                             \
  do {                                                                       \
    if (!(condition)) [[unlikely]] {                                         \
      ::mangoroad::base::ReportSoftAssert({#condition, __FILE__, __LINE__}); \
      action;                                                                \
    }                                                                        \
  } while (false)

/// Stops the process when a safety invariant is broken.
#define MANGOROAD_INVARIANT(condition)                                            \
  do {                                                                            \
    if (!(condition)) [[unlikely]]                                                \
      ::mangoroad::base::StopOnBrokenInvariant({#condition, __FILE__, __LINE__}); \
  } while (false)
