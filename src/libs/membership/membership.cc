#include "membership/membership.h"

#include <algorithm>
#include <map>
#include <utility>

#include "membership/gap_estimator.h"
#include "membership/target_gossip.h"

namespace mangoroad::membership {
namespace {

// In heartbeat intervals: a peer that doesn't list this VM for this long doesn't hear it. Its own
// detection and one lost message on the way back fit into it.
constexpr int kOneWayIntervals = 5;
// Time that a new connection gets to deliver a heartbeat, in heartbeat intervals: a handshake over
// the longest link, the backoff and one retransmission.
constexpr int kReplacementIntervals = 6;
// While a peer is unreachable, a new connection is asked for at this interval.
constexpr base::Duration kReplaceAgainEvery = std::chrono::seconds(2);

struct Peer {
  Peer(MembershipConfig::Peer given, base::Duration interval)
      : config(std::move(given)), gaps(interval) {}

  MembershipConfig::Peer config;
  PeerState state = PeerState::kUnknown;
  std::uint64_t incarnation = 0;
  std::uint64_t last_sequence = 0;
  base::TimePoint last_heard;
  base::TimePoint last_listed;
  base::TimePoint suspected;
  base::TimePoint last_replacement;
  bool is_restarted = false;
  GapEstimator gaps;
  std::uint64_t next_sequence = 1;
  base::TimePoint next_heartbeat{};
  /// Its changes that have arrived here, and ours that have arrived there.
  std::uint64_t received_changes = 0;
  std::uint64_t acknowledged_changes = 0;

  [[nodiscard]] bool IsHeard() const {
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
  void CheckSilence(base::TimePoint now, Peer& peer);
  void AskForLink(base::TimePoint now, Peer& peer);
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
    Peer& added =
        this->d->peers.try_emplace(peer.name, peer, this->d->config.heartbeat_every).first->second;
    added.last_heard = now;
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
  peer.gaps = GapEstimator(this->config.heartbeat_every);
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
  if (!is_new) peer.gaps.OnGap(now - peer.last_heard);
  peer.last_heard = now;

  const MembershipConfig& config = this->d->config;
  const bool is_listed = std::ranges::find(gossip.hears, Member{config.name, config.incarnation}) !=
                         gossip.hears.end();
  if (is_listed) {
    peer.last_listed = now;
    peer.acknowledged_changes = std::max(peer.acknowledged_changes, gossip.received_changes);
  }
  const base::Duration grace = config.heartbeat_every * kOneWayIntervals;
  const bool hears_us = now - peer.last_listed < grace;
  // After silence, the peer needs time to hear this VM again before it counts as deaf.
  if (!peer.IsHeard() && !is_listed) peer.last_listed = now;
  this->d->SetState(peer, hears_us || !peer.IsHeard() ? PeerState::kAlive : PeerState::kOneWay);
  this->d->AdoptTargets(now, peer, gossip);
  if (gossip.summary && gossip.summary->failure_domain == peer.config.failure_domain) {
    this->d->summaries[peer.config.failure_domain] = {*gossip.summary, now};
  }
}

void Membership::Private::AdoptTargets(base::TimePoint now, Peer& peer, const Gossip& gossip) {
  // A gap means that a message was lost; the sender repeats from the last number acknowledged.
  if (gossip.last_change == 0 || gossip.first_change > peer.received_changes + 1) return;
  for (const TargetEntry& entry : gossip.targets) {
    this->targets.Adopt(now, entry, peer.config.name);
  }
  peer.received_changes = std::max(peer.received_changes, gossip.last_change);
}

void Membership::Private::AskForLink(base::TimePoint now, Peer& peer) {
  peer.last_replacement = now;
  this->output.replace_links.push_back(peer.config.name);
}

void Membership::Private::CheckSilence(base::TimePoint now, Peer& peer) {
  if (peer.IsHeard() && now - peer.last_heard > peer.gaps.SuspicionTime()) {
    peer.suspected = now;
    this->SetState(peer, PeerState::kSuspect);
    this->AskForLink(now, peer);
  }
  if (peer.state == PeerState::kSuspect &&
      now - peer.suspected >= this->config.heartbeat_every * kReplacementIntervals) {
    this->SetState(peer, PeerState::kUnreachable);
  }
}

void Membership::Private::Check(base::TimePoint now, Peer& peer) {
  this->CheckSilence(now, peer);
  // A peer that doesn't hear this VM may be behind a connection that went silent, which is this
  // VM's to replace.
  const bool is_deaf = peer.state == PeerState::kOneWay || peer.state == PeerState::kUnreachable;
  const base::Duration pause = peer.state == PeerState::kOneWay
                                   ? this->config.heartbeat_every * kReplacementIntervals
                                   : kReplaceAgainEvery;
  if (is_deaf && now - peer.last_replacement >= pause) this->AskForLink(now, peer);
  if (now < peer.next_heartbeat) return;
  peer.next_heartbeat = now + this->config.heartbeat_every;
  this->output.messages.push_back({peer.config.name, this->MakeGossip(now, peer)});
}

Gossip Membership::Private::MakeGossip(base::TimePoint now, Peer& peer) {
  Gossip gossip;
  gossip.incarnation = this->config.incarnation;
  gossip.sequence = peer.next_sequence++;
  for (const auto& [name, other] : this->peers) {
    if (other.IsHeard()) gossip.hears.push_back({name, other.incarnation});
  }
  gossip.received_changes = peer.received_changes;
  if (peer.config.failure_domain == this->config.failure_domain) {
    // Changes that can't be acknowledged would be repeated in each message.
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
  this->d->targets.ForgetOld(now);
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
  return this->d->targets.Present(now);
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
  if (found == this->d->summaries.end() || now - found->second.received >= kSummaryAge) {
    return std::nullopt;
  }
  return found->second.summary;
}

}  // namespace mangoroad::membership
