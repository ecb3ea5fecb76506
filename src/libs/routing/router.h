// Routes the live requests of one entry VM to targets.
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
  std::size_t max_waiting_per_row = 10000;  ///< Limit on the queued requests of one row.
};

/// Counters since the router was created, for metrics.
struct RouterCounts {
  std::uint64_t sent = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t relays = 0;
  std::uint64_t refused = 0;
};

/// Admits, queues, sends, retries and hedges requests. Each submitted request ends with exactly one
/// RefuseAction or CompleteAction.
class Router {
 public:
  /// `slots` must outlive the router.
  Router(RouterSettings settings, SlotSource& slots);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /// Replaces the rows; a row's position is its RowIndex. Running requests keep their RowIndex.
  void SetRows(std::vector<RowSpec> rows);
  void SetDomains(std::vector<DomainState> domains);
  /// Adds or updates a target. A target that isn't usable (leaving, drained or removed) gets no new
  /// requests. `slowdown` is the slowdown due to interference from batch work, 1 for none.
  void SetTarget(base::TimePoint now, TargetIndex target, bool usable, double slowdown = 1.0);
  /// Updates the free slots of a target after a change of its capacity lease.
  void RefreshTarget(base::TimePoint now, TargetIndex target);
  /// Refuses new requests; requests in progress continue.
  void Drain();

  void Submit(base::TimePoint now, const Request& request);
  /// Reports the end of an attempt. Ends of cancelled attempts are ignored.
  void OnAttemptEnd(base::TimePoint now, const AttemptEnd& end);
  /// Reports the end of a relayed request: kRan when a response arrived.
  void OnRelayEnd(base::TimePoint now, RequestId id, Outcome outcome);
  /// Refuses requests past their deadline and sends due retries and hedges. To be called at least
  /// every 5 ms.
  void Tick(base::TimePoint now);
  Actions TakeActions();

  /// Slots that the router needs from all targets together, including those in use.
  [[nodiscard]] int WantedSlots() const;
  /// Estimated queueing delay of a new request of a row.
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
