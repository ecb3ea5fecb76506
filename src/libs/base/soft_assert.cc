#include "base/soft_assert.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace mangoroad::base {
namespace {

void WriteToStandardError(const AssertFailure& failure) {
  fmt::print(stderr, "soft assert failed: {} at {}:{}\n", failure.condition, failure.file,
             failure.line);
}

AssertHandler& CurrentHandler() {
  static AssertHandler handler = WriteToStandardError;
  return handler;
}

}  // namespace

AssertHandler SetSoftAssertHandler(AssertHandler handler) {
  return std::exchange(CurrentHandler(), std::move(handler));
}

void ReportSoftAssert(const AssertFailure& failure) { CurrentHandler()(failure); }

void StopOnBrokenInvariant(const AssertFailure& failure) {
  CurrentHandler()(failure);
  fmt::print(stderr, "stopping: broken invariant {} at {}:{}\n", failure.condition, failure.file,
             failure.line);
  std::abort();
}

}  // namespace mangoroad::base
