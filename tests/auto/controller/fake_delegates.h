// Core VMs that send a leader's requests to targets, over links with delays and faults.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "controller/call_delegate.h"
#include "controller/call_delegator.h"
#include "run_simulation.h"

namespace mangoroad::controller {

class FakeDelegates : public CallPaths {
 public:
  FakeDelegates(Simulation& run_simulation, int delegate_count) : simulation(run_simulation) {
    for (int i = 0; i < delegate_count; ++i) this->Boot("d" + std::to_string(i));
    this->Tick();
  }

  TargetCalls& CallsOf(std::uint64_t term) override {
    Leader& leader = *(this->leaders[term] = std::make_unique<Leader>(*this, term));
    return *leader.delegator;
  }
  void BeginTerm(std::uint64_t term, RunManager& manager) override {
    for (auto& [other, leader] : this->leaders) {
      if (other != term) leader->delegator->EndTerm();
    }
    Leader& leader = *this->leaders.at(term);
    leader.manager = &manager;
    leader.delegator->BeginTerm(this->simulation.time.Now(), term);
  }

  /// The process is suspended: messages wait for it, and its clock goes on.
  void Freeze(const std::string& name, std::int64_t ms) {
    this->vms.at(name).is_frozen = true;
    this->simulation.time.After(ms, [this, name] {
      Vm& vm = this->vms.at(name);
      vm.is_frozen = false;
      for (const auto& deliver : std::exchange(vm.waiting, {})) deliver();
    });
  }
  /// The process ends and starts again after `ms`.
  void Kill(const std::string& name, std::int64_t ms) {
    this->vms.at(name).link->is_down = true;
    this->simulation.time.After(ms, [this, name] { this->Boot(name); });
  }
  void SetCut(const std::string& name, bool from_leader, bool to_leader) {
    this->vms.at(name).cut_from_leader = from_leader;
    this->vms.at(name).cut_to_leader = to_leader;
  }
  /// Batches wait for up to this long before they are handled, in order; heartbeats overtake them.
  void SetQueueing(std::int64_t ms, std::uint64_t seed) {
    this->max_queueing_ms = ms;
    this->random = base::Random(seed);
  }
  [[nodiscard]] CallDelegator& Delegator() {
    return *this->leaders.at(this->simulation.log.term)->delegator;
  }
  [[nodiscard]] CallDelegate& Delegate(const std::string& name) {
    return *this->vms.at(name).delegate;
  }

 private:
  static constexpr std::int64_t kOneWayMs = 3;

  struct Leader : DelegationLink {
    Leader(FakeDelegates& fake_delegates, std::uint64_t leader_term)
        : owner(fake_delegates), term(leader_term) {
      ReportHandlers handlers;
      handlers.on_contact = [this](base::TimePoint now, const TargetContact& contact) {
        this->manager->NoteContact(now, contact);
      };
      handlers.on_report = [this](base::TimePoint now, const Announcement& announcement,
                                  const std::function<void(bool)>& done) {
        this->manager->Announce(now, announcement, done);
      };
      handlers.target_count = [] { return std::size_t{1'000}; };
      this->delegator = std::make_unique<CallDelegator>(fake_delegates.simulation.targets, *this,
                                                        std::move(handlers));
    }
    bool SendCalls(const std::string& to, const CallBatch& batch) override {
      const std::int64_t delay = this->owner.DelayOf(NameOf(this->term) + to, batch.IsHeartbeat());
      this->owner.DeliverCalls(this->term, to, EncodeCallBatch(batch), delay);
      return true;
    }
    bool SendResults(const std::string&, const ResultBatch&) override { return false; }
    void RequestFlush() override {
      this->owner.simulation.time.After(
          0, [this] { this->delegator->Flush(this->owner.simulation.time.Now()); });
    }

    FakeDelegates& owner;
    std::uint64_t term;
    RunManager* manager = nullptr;
    std::unique_ptr<CallDelegator> delegator;
  };

  /// One process of a delegate. Ended ones are kept, since targets may still respond to them.
  struct Link : DelegationLink {
    Link(FakeDelegates& fake_delegates, std::string delegate_name)
        : owner(fake_delegates), name(std::move(delegate_name)) {}
    bool SendCalls(const std::string&, const CallBatch&) override { return false; }
    bool SendResults(const std::string& to, const ResultBatch& batch) override {
      if (this->is_down) return false;
      const std::int64_t delay = this->owner.DelayOf(this->name + to, batch.IsHeartbeat());
      this->owner.DeliverResults(this->name, to, EncodeResultBatch(batch), delay);
      return true;
    }
    void RequestFlush() override {
      this->owner.simulation.time.After(0, [this] {
        if (this->is_down || this->owner.vms.at(this->name).is_frozen) return;
        this->delegate->Flush(this->owner.simulation.time.Now());
      });
    }

    FakeDelegates& owner;
    std::string name;
    bool is_down = false;
    CallDelegate* delegate = nullptr;
  };

  struct Vm {
    std::unique_ptr<Link> link;
    std::unique_ptr<CallDelegate> delegate;
    bool is_frozen = false;
    bool cut_from_leader = false;
    bool cut_to_leader = false;
    KnownLeader leader;
    std::vector<std::function<void()>> waiting;
  };

  static std::string NameOf(std::uint64_t term) { return "leader" + std::to_string(term); }

  void Boot(const std::string& name) {
    Vm& vm = this->vms[name];
    if (vm.link) this->ended.emplace_back(std::move(vm.link), std::move(vm.delegate));
    vm.link = std::make_unique<Link>(*this, name);
    vm.delegate =
        std::make_unique<CallDelegate>(this->simulation.targets, *vm.link,
                                       this->simulation.log.state, "", ++this->last_incarnation);
    vm.link->delegate = vm.delegate.get();
    vm.leader = {};
    vm.waiting.clear();
  }

  std::int64_t DelayOf(const std::string& link, bool is_heartbeat) {
    if (is_heartbeat || this->max_queueing_ms == 0) return kOneWayMs;
    const std::int64_t now = this->simulation.time.NowMs();
    std::int64_t& handled_at = this->last_handled[link];
    const std::int64_t wait = this->random.Below(static_cast<std::uint32_t>(this->max_queueing_ms));
    handled_at = std::max(handled_at, now + kOneWayMs + wait);
    return handled_at - now;
  }

  void DeliverCalls(std::uint64_t term, const std::string& to, const std::string& bytes,
                    std::int64_t delay) {
    this->simulation.time.After(delay, [this, term, to, bytes] {
      if (this->vms.at(to).cut_from_leader) return;
      const auto deliver = [this, term, to, bytes] {
        Vm& vm = this->vms.at(to);
        if (vm.link->is_down) return;
        vm.delegate->OnCalls(this->simulation.time.Now(), NameOf(term),
                             DecodeCallBatch(bytes).value(), vm.leader);
      };
      Vm& vm = this->vms.at(to);
      if (vm.is_frozen) {
        vm.waiting.push_back(deliver);
      } else {
        deliver();
      }
    });
  }

  void DeliverResults(const std::string& from, const std::string& to, const std::string& bytes,
                      std::int64_t delay) {
    this->simulation.time.After(delay, [this, from, to, bytes] {
      if (this->vms.at(from).cut_to_leader) return;
      for (auto& [term, leader] : this->leaders) {
        if (NameOf(term) != to) continue;
        leader->delegator->OnResults(this->simulation.time.Now(), from,
                                     DecodeResultBatch(bytes).value());
      }
    });
  }

  void Tick() {
    const base::TimePoint now = this->simulation.time.Now();
    const std::uint64_t term = this->simulation.log.term;
    if (const auto leader = this->leaders.find(term); leader != this->leaders.end()) {
      leader->second->delegator->Tick(now);
    }
    for (auto& [name, vm] : this->vms) {
      if (vm.is_frozen || vm.link->is_down) continue;
      // A replica that is cut off doesn't hear of a new leader.
      if (!vm.cut_from_leader) vm.leader = {NameOf(term), term};
      vm.delegate->Tick(now, vm.leader);
    }
    this->simulation.time.After(50, [this] { this->Tick(); });
  }

  Simulation& simulation;
  std::map<std::uint64_t, std::unique_ptr<Leader>> leaders;
  std::map<std::string, Vm> vms;
  std::vector<std::pair<std::unique_ptr<Link>, std::unique_ptr<CallDelegate>>> ended;
  std::uint64_t last_incarnation = 0;
  std::int64_t max_queueing_ms = 0;
  base::Random random{1};
  /// When the latest batch of a link is handled, in ms.
  std::map<std::string, std::int64_t> last_handled;
};

}  // namespace mangoroad::controller
