// Connects delegated calls to the links between replicas: both roles of a core VM, of which the
// leader uses one and the other replicas the other.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "controller/call_delegate.h"
#include "controller/call_delegator.h"
#include "wire/messages.h"

namespace mangoroad::net {
class EventLoop;
}

namespace mangoroad::controller {

class Delegation {
 public:
  /// Sends an envelope to the replica at an address; false when it is certainly not sent.
  using Send = std::function<bool(const std::string& address, const wire::Envelope& envelope)>;
  /// The leader that the replica knows at the moment of the call.
  using FindLeader = std::function<KnownLeader()>;

  /// All references must outlive this object.
  Delegation(net::EventLoop& loop, TargetCalls& calls, const workload::WorkloadState& state,
             std::string failure_domain, ReportHandlers handlers, Send send, FindLeader find_leader,
             DelegationSettings settings);
  ~Delegation();
  Delegation(const Delegation&) = delete;
  Delegation& operator=(const Delegation&) = delete;

  /// What the leader sends its requests through.
  [[nodiscard]] CallDelegator& Calls();
  [[nodiscard]] CallDelegate& Delegate();
  /// False when the envelope isn't about delegated calls.
  bool OnEnvelope(const std::string& from, wire::Envelope envelope);
  /// Must be called every 50 ms.
  void Tick();

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::controller
