// Checks histories of concurrent, resent and reordered changes of the table.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "state_fixture.h"

namespace mangoroad::state {
namespace {

/// One operator's change and the first answer that reached it.
struct Attempt {
  ApplyTable change;
  bool is_answered = false;
  TableAnswer first;
};

/// Operators who read the version in force at some time, change the table, and resend without
/// answers.
class Run {
 public:
  explicit Run(std::uint64_t seed) : random(seed) {}

  void Step() {
    const std::uint32_t choice = this->random.Below(10);
    if (choice < 4) this->Begin();
    if (choice == 4) Restart(this->restarted);
    if (!this->attempts.empty()) {
      this->Send(
          this->attempts[this->random.Below(static_cast<std::uint32_t>(this->attempts.size()))]);
    }
  }

  /// No accepted version is lost, repeated or reverted, and both replicas agree.
  void Check() const {
    RC_ASSERT(this->plain->Snapshot() == this->restarted->Snapshot());
    std::map<std::uint64_t, const Attempt*> by_version;
    for (const Attempt& attempt : this->attempts) {
      if (!attempt.is_answered || attempt.first.kind != AnswerKind::kAccepted) continue;
      RC_ASSERT(attempt.first.version == attempt.change.base_version + 1);
      RC_ASSERT(by_version.emplace(attempt.first.version, &attempt).second);
    }
    RC_ASSERT(by_version.size() == this->plain->Table().Version());
    for (const auto& [version, attempt] : by_version) {
      const auto table = this->plain->Table().History().At(version);
      RC_ASSERT(table.has_value());
      RC_ASSERT(table::WriteCsv(table.value_or(table::Table())) == attempt->change.csv);
    }
  }

 private:
  void Begin() {
    const auto version = static_cast<std::uint32_t>(this->plain->Table().Version());
    const std::uint64_t base = version - std::min(version, this->random.Below(3));
    std::vector<std::pair<std::string, std::uint32_t>> rows{{"a", 1 + this->random.Below(1000)}};
    for (const char* name : {"b", "c", "d"}) {
      if (this->random.Chance(0.5)) rows.emplace_back(name, 1 + this->random.Below(5));
    }
    const std::string id = std::to_string(this->attempts.size());
    this->attempts.push_back({MakeChange(id, base, MakeCsv(rows)), false, {}});
  }

  void Send(Attempt& attempt) {
    const std::uint64_t before = this->plain->Table().Version();
    attempt.change.origin.time_ms += 1;
    const TableAnswer answer = Apply(*this->plain, attempt.change);
    const TableAnswer other = Apply(*this->restarted, attempt.change);
    RC_ASSERT(Encode(answer) == Encode(other));
    RC_ASSERT(this->plain->Table().Version() >= before);
    if (attempt.is_answered) {
      RC_ASSERT(answer.resent);
      RC_ASSERT(answer.kind == attempt.first.kind);
      RC_ASSERT(answer.version == attempt.first.version);
      RC_ASSERT(answer.diff == attempt.first.diff);
      RC_ASSERT(this->plain->Table().Version() == before);
    } else {
      attempt.is_answered = true;
      attempt.first = answer;
    }
  }

  base::Random random;
  std::unique_ptr<ClusterState> plain = std::make_unique<ClusterState>();
  /// A second replica that restarts from its snapshot at any moment.
  std::unique_ptr<ClusterState> restarted = std::make_unique<ClusterState>();
  std::vector<Attempt> attempts;
};

// Guards against lost, doubled or reverted versions (I9) and against replicas that differ.
TEST_CASE("concurrent, resent and reordered changes keep each accepted version") {
  const bool holds = rc::check([](std::uint64_t seed) {
    Run run(seed);
    for (int i = 0; i < 60; ++i) run.Step();
    run.Check();
  });
  CHECK(holds);
}

}  // namespace
}  // namespace mangoroad::state
