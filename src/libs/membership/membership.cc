#include "membership/membership.h"

#include <algorithm>
#include <map>
#include <utility>

#include "membership/gap_estimator.h"
#include "membership/target_gossip.h"

namespace mangoroad::membership {
namespace {

// In heartbeat intervals. A peer that hasn't listed this VM for this long doesn't receive its
// messages. The time covers the peer's own detection and one lost message on the way back.
constexpr int kOneWayIntervals = 5;
// In heartbeat intervals. Time for a new connection to deliver a heartbeat, which covers a
// handshake over the longest link, the backoff and one retransmission.
constexpr int kReplacementIntervals = 6;
// Interval at which a new connection to an unreachable peer is requested.
constexpr base::Duration kReplacementRetryInterval = std::chrono::seconds(2);

struct Peer {
  Peer(MembershipConfig::Peer given, base::Duration interval)
      : config(std::move(given)), gaps(interval) {}

  MembershipConfig::Peer config;
  PeerState state = PeerState::kUnknown;
  std::uint64_t incarnation = 0;
  std::uint64_t last_sequence = 0;
  base::TimePoint last_contact;
  base::TimePoint last_listed;
  base::TimePoint suspected;
  base::TimePoint last_replacement;
  bool is_restarted = false;
  GapEstimator gaps;
  std::uint64_t next_sequence = 1;
  base::TimePoint next_heartbeat{};
  /// Last change of the peer received here, and last change of this VM acknowledged by the peer.
  std::uint64_t received_changes = 0;
  std::uint64_t acknowledged_changes = 0;

  [[nodiscard]] bool IsReceiving() const {
    return this->state == PeerState::kAlive || this->state == PeerState::kOneWay;
  }
};

struct ReceivedSummary {
  DomainSummary summary;
  base::TimePoint received;
};

}  // namespace

struct Membership::Private {
  void SetState(Peer& peer, PeerState state);
  void OnRestart(base::TimePoint now, Peer& peer, std::uint64_t incarnation);
  void AdoptTargets(base::TimePoint now, Peer& peer, const Gossip& gossip);
  void Check(base::TimePoint now, Peer& peer);
  void CheckTimeouts(base::TimePoint now, Peer& peer);
  void RequestLinkReplacement(base::TimePoint now, Peer& peer);
  Gossip MakeGossip(base::TimePoint now, Peer& peer);
  [[nodiscard]] const Peer* Find(std::string_view name) const {
    const auto found = this->peers.find(name);
    return found == this->peers.end() ? nullptr : &found->second;
  }

  MembershipConfig config;
  std::map<std::string, Peer, std::less<>> peers;
  std::map<std::string, ReceivedSummary, std::less<>> summaries;
  std::optional<DomainSummary> own_summary;
  TargetGossip targets;
  MembershipOutput output;
};

Membership::Membership(MembershipConfig config, base::TimePoint now)
    : d(std::make_unique<Private>()) {
  this->d->config = std::move(config);
  for (const MembershipConfig::Peer& peer : this->d->config.peers) {
    Peer& added = this->d->peers.try_emplace(peer.name, peer, this->d->config.heartbeat_interval)
                      .first->second;
    added.last_contact = now;
    added.last_listed = now;
    added.last_replacement = now;
  }
}
Membership::~Membership() = default;
Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;

void Membership::Private::SetState(Peer& peer, PeerState state) {
  if (peer.state == state && !peer.is_restarted) return;
  peer.state = state;
  this->output.changes.push_back(
      {peer.config.name, state, peer.incarnation, std::exchange(peer.is_restarted, false)});
}

void Membership::Private::OnRestart(base::TimePoint now, Peer& peer, std::uint64_t incarnation) {
  peer.is_restarted = peer.incarnation != 0;
  peer.incarnation = incarnation;
  peer.last_sequence = 0;
  peer.received_changes = 0;
  peer.acknowledged_changes = 0;
  peer.gaps = GapEstimator(this->config.heartbeat_interval);
  peer.last_listed = now;
}

void Membership::OnGossip(base::TimePoint now, std::string_view from, const Gossip& gossip) {
  const auto found = this->d->peers.find(from);
  if (found == this->d->peers.end()) return;
  Peer& peer = found->second;
  if (gossip.incarnation < peer.incarnation) return;
  const bool is_new = gossip.incarnation > peer.incarnation;
  if (is_new) this->d->OnRestart(now, peer, gossip.incarnation);
  if (gossip.sequence <= peer.last_sequence) return;
  peer.last_sequence = gossip.sequence;
  if (!is_new) peer.gaps.OnGap(now - peer.last_contact);
  peer.last_contact = now;

  const MembershipConfig& config = this->d->config;
  const bool is_listed =
      std::ranges::find(gossip.receives_from, Member{config.name, config.incarnation}) !=
      gossip.receives_from.end();
  if (is_listed) {
    peer.last_listed = now;
    peer.acknowledged_changes = std::max(peer.acknowledged_changes, gossip.received_changes);
  }
  const base::Duration one_way_timeout = config.heartbeat_interval * kOneWayIntervals;
  const bool receives_from_us = now - peer.last_listed < one_way_timeout;
  // After an outage, the peer needs time to receive messages again before the link counts as
  // one-way.
  if (!peer.IsReceiving() && !is_listed) peer.last_listed = now;
  this->d->SetState(
      peer, receives_from_us || !peer.IsReceiving() ? PeerState::kAlive : PeerState::kOneWay);
  this->d->AdoptTargets(now, peer, gossip);
  if (gossip.summary && gossip.summary->failure_domain == peer.config.failure_domain) {
    this->d->summaries[peer.config.failure_domain] = {*gossip.summary, now};
  }
}

void Membership::Private::AdoptTargets(base::TimePoint now, Peer& peer, const Gossip& gossip) {
  // A gap means that a message was lost. The sender repeats the changes after the last acknowledged
  // one.
  if (gossip.last_change == 0 || gossip.first_change > peer.received_changes + 1) return;
  for (const TargetEntry& entry : gossip.targets) {
    this->targets.Adopt(now, entry, peer.config.name);
  }
  peer.received_changes = std::max(peer.received_changes, gossip.last_change);
}

void Membership::Private::RequestLinkReplacement(base::TimePoint now, Peer& peer) {
  peer.last_replacement = now;
  this->output.replace_links.push_back(peer.config.name);
}

void Membership::Private::CheckTimeouts(base::TimePoint now, Peer& peer) {
  if (peer.IsReceiving() && now - peer.last_contact > peer.gaps.SuspicionTimeout()) {
    peer.suspected = now;
    this->SetState(peer, PeerState::kSuspect);
    this->RequestLinkReplacement(now, peer);
  }
  if (peer.state == PeerState::kSuspect &&
      now - peer.suspected >= this->config.heartbeat_interval * kReplacementIntervals) {
    this->SetState(peer, PeerState::kUnreachable);
  }
}

void Membership::Private::Check(base::TimePoint now, Peer& peer) {
  this->CheckTimeouts(now, peer);
  // A peer that receives no messages of this VM may be behind a stalled connection, which this VM
  // has to replace.
  const bool needs_replacement =
      peer.state == PeerState::kOneWay || peer.state == PeerState::kUnreachable;
  const base::Duration retry_interval =
      peer.state == PeerState::kOneWay ? this->config.heartbeat_interval * kReplacementIntervals
                                       : kReplacementRetryInterval;
  if (needs_replacement && now - peer.last_replacement >= retry_interval) {
    this->RequestLinkReplacement(now, peer);
  }
  if (now < peer.next_heartbeat) return;
  peer.next_heartbeat = now + this->config.heartbeat_interval;
  this->output.messages.push_back({peer.config.name, this->MakeGossip(now, peer)});
}

Gossip Membership::Private::MakeGossip(base::TimePoint now, Peer& peer) {
  Gossip gossip;
  gossip.incarnation = this->config.incarnation;
  gossip.sequence = peer.next_sequence++;
  for (const auto& [name, other] : this->peers) {
    if (other.IsReceiving()) gossip.receives_from.push_back({name, other.incarnation});
  }
  gossip.received_changes = peer.received_changes;
  if (peer.config.failure_domain == this->config.failure_domain) {
    // Without acknowledgements from the peer, the same changes would be sent in each message.
    if (peer.state != PeerState::kAlive) return gossip;
    TargetGossip::Delta delta =
        this->targets.ChangesAfter(now, peer.acknowledged_changes, peer.config.name);
    gossip.first_change = delta.first;
    gossip.last_change = delta.last;
    gossip.targets = std::move(delta.entries);
  } else {
    gossip.summary = this->own_summary;
  }
  return gossip;
}

MembershipOutput Membership::Tick(base::TimePoint now) {
  for (auto& [name, peer] : this->d->peers) this->d->Check(now, peer);
  this->d->targets.RemoveExpired(now);
  return std::exchange(this->d->output, {});
}

PeerState Membership::StateOf(std::string_view peer) const {
  const Peer* found = this->d->Find(peer);
  return found == nullptr ? PeerState::kUnknown : found->state;
}

std::optional<std::uint64_t> Membership::IncarnationOf(std::string_view peer) const {
  const Peer* found = this->d->Find(peer);
  if (found == nullptr || found->incarnation == 0) return std::nullopt;
  return found->incarnation;
}

std::vector<std::string> Membership::Alive(std::string_view failure_domain) const {
  std::vector<std::string> names;
  for (const auto& [name, peer] : this->d->peers) {
    const bool is_wanted = failure_domain.empty() || peer.config.failure_domain == failure_domain;
    if (is_wanted && peer.state == PeerState::kAlive) names.push_back(name);
  }
  return names;
}

void Membership::Publish(base::TimePoint now, const TargetEntry& entry) {
  this->d->targets.Adopt(now, entry, "");
}

std::vector<TargetEntry> Membership::Targets(base::TimePoint now) const {
  return this->d->targets.Current(now);
}

const TargetEntry* Membership::FindTarget(std::string_view id) const {
  return this->d->targets.Find(id);
}

std::vector<std::string> Membership::TakeChangedTargets() { return this->d->targets.TakeChanged(); }

void Membership::SetSummary(const DomainSummary& summary) {
  DomainSummary own = summary;
  own.failure_domain = this->d->config.failure_domain;
  this->d->own_summary = own;
}

std::optional<DomainSummary> Membership::SummaryOf(base::TimePoint now,
                                                   std::string_view failure_domain) const {
  const auto found = this->d->summaries.find(failure_domain);
  if (found == this->d->summaries.end() || now - found->second.received >= kMaxSummaryAge) {
    return std::nullopt;
  }
  return found->second.summary;
}

}  // namespace mangoroad::membership
