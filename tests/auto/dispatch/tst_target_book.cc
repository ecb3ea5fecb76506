#include <catch2/catch.hpp>

#include "dispatch/target_book.h"

namespace mangoroad::dispatch {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(std::int64_t ms) { return base::TimePoint(milliseconds(ms)); }

TargetView& Usable(TargetTracker& book) {
  TargetView& view = book.FindOrCreate({"t1", 100});
  view.is_fenced = true;
  view.last_contact = At(10'000);
  return view;
}

// Guards against more work for a target that fails everything it starts while its health is good.
TEST_CASE("a target that fails several runs in a row is avoided for a while") {
  const HealthLimits limits;
  TargetTracker book({}, limits);
  TargetView& view = Usable(book);
  for (int i = 0; i + 1 < limits.max_consecutive_failures; ++i) {
    book.OnRunEnded(view, workload::RunEnd::kFailed, At(10'000));
  }
  CHECK(book.IsUsable(view, At(10'000)));
  book.OnRunEnded(view, workload::RunEnd::kDone, At(10'000));
  for (int i = 0; i < limits.max_consecutive_failures; ++i) {
    book.OnRunEnded(view, workload::RunEnd::kFailed, At(10'000));
  }
  CHECK_FALSE(book.IsUsable(view, At(10'001)));
  view.last_contact = At(20'000);
  CHECK(book.IsUsable(view, At(20'000)));
}

// Guards against work for a target that was cut off, that doesn't answer, or that an earlier leader
// may still give orders to.
TEST_CASE("silent, unanswering and unfenced targets get no work") {
  TargetTracker book({}, {});
  TargetView& view = Usable(book);
  CHECK(book.IsUsable(view, At(10'100)));
  CHECK_FALSE(book.IsUsable(view, At(20'000)));
  view.unanswered_requests = 1;
  CHECK_FALSE(book.IsUsable(view, At(10'100)));
  view.unanswered_requests = 0;
  view.is_fenced = false;
  CHECK_FALSE(book.IsUsable(view, At(10'100)));
}

// Guards against beliefs about a dead life that are held of the next one.
TEST_CASE("a newer life starts with nothing known") {
  TargetTracker book({}, {});
  Usable(book).runs[{"j", 0, 0, 0}].run = 4;
  CHECK(book.FindOrCreate({"t1", 100}).runs.size() == 1);
  CHECK(book.FindOrCreate({"t1", 200}).runs.empty());
  CHECK(book.FindOrCreate({"t1", 100}).incarnation.number == 200);
}

}  // namespace
}  // namespace mangoroad::dispatch
