// Routes live requests of one entry VM to targets.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/strategy.h"
#include "routing/target_health.h"
#include "routing/types.h"

namespace mangoroad::routing {

struct RouterSettings {
  StrategyKind strategy = StrategyKind::kProbing;
  std::string domain;  ///< Failure domain of this entry VM.
  std::uint64_t seed = 1;
  std::size_t most_waiting = 10000;  ///< Waiting requests of one row.
};

/// Counts since the start, for metrics.
struct RouterCounts {
  std::uint64_t sent = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t relays = 0;
  std::uint64_t refused = 0;
};

/// Admits, queues, sends, retries and hedges requests. Each submitted request gets exactly one
/// RefuseAction or CompleteAction.
class Router {
 public:
  /// `slots` must outlive the router.
  Router(RouterSettings settings, SlotSource& slots);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /// Replaces the rows; their position is the RowIndex. Running requests keep their row's number.
  void SetRows(std::vector<RowSpec> rows);
  void SetDomains(std::vector<DomainState> domains);
  /// Adds a target or changes it; one that isn't usable (leaving, drained, gone) gets nothing new.
  /// `slowdown` is the interference of batch work beside the service, 1 for none.
  void SetTarget(base::TimePoint now, TargetIndex target, bool usable, double slowdown = 1.0);
  /// The free slots of a target changed by a loan.
  void RefreshTarget(base::TimePoint now, TargetIndex target);
  /// Accepts no new requests; those in progress end as usual.
  void Drain();

  void Submit(base::TimePoint now, const Request& request);
  /// An attempt ended. Late ends of cancelled attempts are ignored.
  void OnAttemptEnd(base::TimePoint now, const AttemptEnd& end);
  /// A relayed request was answered (kRan) or not.
  void OnRelayEnd(base::TimePoint now, RequestId id, Outcome outcome);
  /// Ends what is past its deadline, sends due retries and hedges. Call it at least every 5 ms.
  void Tick(base::TimePoint now);
  Actions TakeActions();

  /// Slots that the router wants of all targets together, including those in use.
  [[nodiscard]] int WantedSlots() const;
  /// Estimated wait of a new request of a row.
  [[nodiscard]] base::Duration EstimatedWait(RowIndex row) const;
  [[nodiscard]] std::size_t Waiting() const;
  [[nodiscard]] int InFlight() const;
  [[nodiscard]] BreakerState StateOf(TargetIndex target) const;
  [[nodiscard]] const RouterCounts& Counts() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::routing
