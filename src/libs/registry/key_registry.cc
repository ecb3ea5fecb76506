#include "registry/key_registry.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "registry/home.h"

namespace mangoroad::registry {
namespace {

using base::Duration;
using base::TimePoint;

constexpr Duration kResendEvery = std::chrono::milliseconds(50);
constexpr Duration kExpireEvery = std::chrono::seconds(1);
// An answer that a member hasn't confirmed by then is left to the next view change.
constexpr int kMostFinishAttempts = 40;
// Frames between entry VMs carry at most 4 MiB.
constexpr std::size_t kLargestPart = 1024UL * 1024;

bool Contains(const std::vector<std::string>& names, std::string_view name) {
  return std::ranges::find(names, name) != names.end();
}

// A claim of this process that isn't decided yet.
struct PendingClaim {
  ClaimRequest request;
  ClaimId id;
  std::set<std::string, std::less<>> recorded_by;
  TimePoint next_send;
};

// An end of a claim that some members haven't confirmed.
struct PendingFinish {
  FinishMessage message;
  std::set<std::string, std::less<>> waiting_for;
  TimePoint next_send;
  int attempts = 0;
};

// How much of the claims of a member of the last view has arrived.
struct FetchState {
  std::string after;
  bool from_start = true;
  bool done = false;
  std::uint64_t complete_to = UINT64_MAX;  // Lowest of all parts.
  std::vector<ClaimRecord> claims;
};

struct Retirement {
  std::string domain;
  std::int64_t wall_time_ms = 0;
  TimePoint learned;
};

}  // namespace

struct KeyRegistry::Private {
  Private(std::string own, std::size_t most_bytes) : identity(std::move(own)), store(most_bytes) {}

  std::string identity;
  ClaimStore store;
  View view;
  bool serves = false;
  std::uint64_t complete_to = 0;
  TimePoint next_fetch;
  std::map<std::string, FetchState, std::less<>> fetches;
  std::map<std::string, PendingClaim, std::less<>> pending;
  std::set<std::string, std::less<>> running;
  std::map<ClaimId, PendingFinish> finishing;
  std::vector<Retirement> retirements;
  TimePoint unknown_until;  // Claims may have been lost with all members of the last view.
  TimePoint next_expiry;
  std::uint64_t last_claim = 0;
  Output output;

  void Send(std::string_view to, Message message) {
    this->output.messages.push_back({std::string(to), std::move(message)});
  }
  void Decide(RequestNumber request, Decision decision) {
    this->output.decisions.push_back({request, std::move(decision)});
  }

  // --- Views ---

  void StartIfUnited(TimePoint now) {
    if (this->serves || !Contains(this->view.members, this->identity)) return;
    if (!std::ranges::all_of(this->fetches, [](const auto& fetch) { return fetch.second.done; })) {
      return;
    }
    const std::uint64_t known = this->UniteClaims(now);
    if (known + 1 < this->view.number) this->unknown_until = now + kRetention;
    this->complete_to = this->view.number;
    this->serves = true;
    this->RenewPending(now);
    this->SendPending(now);
  }

  // Replaces the store by the union of the claims of the last view's members; returns the view up
  // to which all acknowledged claims are known. A member that missed views may hold a claim that
  // was given up, for a key that was claimed without it since; the member that knows more wins.
  std::uint64_t UniteClaims(TimePoint now) {
    std::vector<FetchState> sources;
    sources.reserve(this->fetches.size() + 1);
    for (auto& [member, fetch] : this->fetches) sources.push_back(std::move(fetch));
    if (sources.empty() || Contains(this->view.previous, this->identity)) {
      FetchState own;
      own.complete_to = this->complete_to;
      for (const auto& [key, claim] : this->store.Claims()) {
        own.claims.push_back(ClaimStore::RecordOf(now, key, claim));
      }
      sources.push_back(std::move(own));
    }
    this->fetches.clear();
    std::ranges::sort(sources, std::greater<>{}, &FetchState::complete_to);
    this->store.Clear();
    const std::uint64_t best = sources.front().complete_to;
    for (const FetchState& source : sources) {
      for (const ClaimRecord& record : source.claims) {
        const StoredClaim* known = this->store.Find(record.key);
        if (known == nullptr || source.complete_to == best || known->id == record.id) {
          this->store.Merge(now, record);
        }
      }
    }
    return best;
  }

  // Undecided claims are made again in the view that starts, unless their key is taken in it.
  void RenewPending(TimePoint now) {
    for (auto claim = this->pending.begin(); claim != this->pending.end();) {
      const StoredClaim* known = this->store.Find(claim->first);
      const std::string& digest = claim->second.request.digest;
      claim->second.next_send = {};
      if (known == nullptr && this->MayBeClaimedElsewhere(now, claim->second.request)) {
        claim = this->GiveUp(now, claim, {DecisionKind::kInDoubt, {}, {}});
      } else if (known != nullptr && known->id != claim->second.id) {
        claim = this->GiveUp(now, claim, DecisionFor(digest, known->digest, known->answer));
      } else if (known == nullptr &&
                 !this->store.Add(now, {claim->first, digest, claim->second.id, {}, {}})) {
        claim = this->GiveUp(now, claim, {DecisionKind::kNotRun, {}, "memory for claims is full"});
      } else {
        ++claim;
      }
    }
  }

  void FetchMissing(TimePoint now) {
    if (this->serves || now < this->next_fetch) return;
    this->next_fetch = now + kResendEvery;
    for (const auto& [member, fetch] : this->fetches) {
      if (!fetch.done) {
        this->Send(member, FetchClaims{this->view.number, fetch.after, fetch.from_start});
      }
    }
  }

  void On(TimePoint now, std::string_view from, const FetchClaims& message) {
    // A member that hasn't learned of this view still serves the one before.
    if (message.view != this->view.number) return;
    ViewClaims part{
        message.view, message.after, message.from_start, true, this->complete_to, {}, {}};
    part.in_doubt = std::max(Duration{}, this->unknown_until - now);
    const auto& claims = this->store.Claims();
    std::size_t size = 0;
    for (auto claim = message.from_start ? claims.begin() : claims.upper_bound(message.after);
         claim != claims.end(); ++claim) {
      size += claim->second.bytes;
      if (size > kLargestPart && !part.claims.empty()) {
        part.last = false;
        break;
      }
      part.claims.push_back(ClaimStore::RecordOf(now, claim->first, claim->second));
    }
    this->Send(from, std::move(part));
  }

  void On(TimePoint now, std::string_view from, const ViewClaims& message) {
    const auto fetch = this->fetches.find(from);
    if (message.view != this->view.number || fetch == this->fetches.end()) return;
    FetchState& state = fetch->second;
    if (state.done || message.after != state.after || message.from_start != state.from_start) {
      return;
    }
    state.claims.insert(state.claims.end(), message.claims.begin(), message.claims.end());
    this->unknown_until = std::max(this->unknown_until, now + message.in_doubt);
    state.complete_to = std::min(state.complete_to, message.complete_to);
    if (!message.claims.empty()) {
      state.after = message.claims.back().key;
      state.from_start = false;
    }
    state.done = message.last;
    this->next_fetch = {};
    this->FetchMissing(now);
    this->StartIfUnited(now);
  }

  // --- Claims ---

  // The decision that follows from a claim of the same key, if it isn't to be tried further.
  static Decision DecisionFor(std::string_view digest, std::string_view existing_digest,
                              const std::optional<Answer>& answer) {
    if (digest != existing_digest) return {DecisionKind::kKeyReused, {}, {}};
    if (answer) return {DecisionKind::kAnswer, *answer, {}};
    return {DecisionKind::kInDoubt, {}, {}};
  }

  // Whether the key may have been claimed where its claims are no longer known.
  [[nodiscard]] bool MayBeClaimedElsewhere(TimePoint now, const ClaimRequest& request) const {
    if (now < this->unknown_until) return true;
    std::vector<std::string> gone;
    for (const Retirement& retirement : this->retirements) {
      const bool recent = now < retirement.learned + kRetention;
      const bool later_key = request.key_time_ms > retirement.wall_time_ms;
      if (recent && !later_key && HomeOf(request.key, request.place, gone) == retirement.domain) {
        return true;
      }
      gone.push_back(retirement.domain);
    }
    return false;
  }

  void SendPending(TimePoint now) {
    if (!this->serves) return;
    for (auto& [key, claim] : this->pending) {
      if (now < claim.next_send) continue;
      claim.next_send = now + kResendEvery;
      for (const std::string& member : this->view.members) {
        if (member != this->identity && !claim.recorded_by.contains(member)) {
          this->Send(member, ClaimMessage{this->view.number, key, claim.request.digest, claim.id});
        }
      }
    }
  }

  void RunIfAcknowledged(std::map<std::string, PendingClaim, std::less<>>::iterator claim) {
    if (!this->serves) return;
    const auto acknowledged = [&](const std::string& member) {
      return member == this->identity || claim->second.recorded_by.contains(member);
    };
    if (!std::ranges::all_of(this->view.members, acknowledged)) return;
    this->Decide(claim->second.request.request, {DecisionKind::kRun, {}, {}});
    this->running.insert(claim->first);
    this->pending.erase(claim);
  }

  // Ends an undecided claim: nothing was sent for it.
  std::map<std::string, PendingClaim, std::less<>>::iterator GiveUp(
      TimePoint now, std::map<std::string, PendingClaim, std::less<>>::iterator claim,
      Decision decision) {
    this->Decide(claim->second.request.request, std::move(decision));
    const ClaimRecord record{claim->first, claim->second.request.digest, claim->second.id, {}, {}};
    if (const StoredClaim* own = this->store.Find(claim->first);
        own != nullptr && own->id == record.id) {
      this->store.Remove(claim->first);
    }
    this->StartFinish(now, {record, true});
    return this->pending.erase(claim);
  }

  void On(TimePoint now, std::string_view from, const ClaimMessage& message) {
    ClaimedMessage reply{message.view, message.key, message.id, ClaimVerdict::kRecorded, {}};
    if (!this->serves || message.view != this->view.number) {
      reply.verdict = ClaimVerdict::kOtherView;
    } else {
      const StoredClaim* known = this->store.Find(message.key);
      // A process claims a key again only after it has released its earlier claim.
      const bool is_released = known != nullptr && !known->answer &&
                               known->id.claimant == message.id.claimant &&
                               known->id.number < message.id.number;
      if (known != nullptr && known->id != message.id && !is_released) {
        reply.verdict = ClaimVerdict::kTaken;
        reply.existing = ClaimStore::RecordOf(now, message.key, *known);
      } else if (known == nullptr || is_released) {
        const ClaimRecord record{message.key, message.digest, message.id, {}, {}};
        if (!this->store.Add(now, record)) reply.verdict = ClaimVerdict::kFull;
      }
    }
    this->Send(from, std::move(reply));
  }

  void On(TimePoint now, std::string_view from, const ClaimedMessage& message) {
    const auto claim = this->pending.find(message.key);
    if (claim == this->pending.end() || claim->second.id != message.id ||
        message.view != this->view.number) {
      return;
    }
    switch (message.verdict) {
      case ClaimVerdict::kRecorded:
        claim->second.recorded_by.insert(std::string(from));
        this->RunIfAcknowledged(claim);
        break;
      case ClaimVerdict::kOtherView:
        break;  // The member starts this view soon or this process learns of a newer one.
      case ClaimVerdict::kFull:
        this->GiveUp(now, claim, {DecisionKind::kNotRun, {}, "memory for claims is full"});
        break;
      case ClaimVerdict::kTaken:
        this->OnTaken(now, claim, message.existing);
        break;
    }
  }

  void OnTaken(TimePoint now, std::map<std::string, PendingClaim, std::less<>>::iterator claim,
               const std::optional<ClaimRecord>& existing) {
    if (!existing) return;
    const std::string& digest = claim->second.request.digest;
    // Of two claimants at once, the one with the lower id waits for the other to give up.
    const bool waits = !existing->answer && existing->digest == digest &&
                       claim->second.id < existing->id &&
                       Contains(this->view.members, existing->id.claimant);
    if (waits) return;
    const Decision decision = DecisionFor(digest, existing->digest, existing->answer);
    this->GiveUp(now, claim, decision);
    if (existing->answer) this->store.Merge(now, *existing);
  }

  // --- Ends of claims ---

  void StartFinish(TimePoint now, FinishMessage message) {
    PendingFinish finish{std::move(message), {}, now, 0};
    for (const std::string& member : this->view.members) {
      if (member != this->identity) finish.waiting_for.insert(member);
    }
    const ClaimId id = finish.message.record.id;
    this->finishing.insert_or_assign(id, std::move(finish));
    this->SendFinishes(now);
  }

  void SendFinishes(TimePoint now) {
    for (auto& [id, finish] : this->finishing) {
      if (now < finish.next_send) continue;
      finish.next_send = now + kResendEvery;
      finish.attempts += 1;
      for (const std::string& member : finish.waiting_for) this->Send(member, finish.message);
    }
    std::erase_if(this->finishing, [](const auto& entry) {
      return entry.second.waiting_for.empty() || entry.second.attempts >= kMostFinishAttempts;
    });
  }

  void On(TimePoint now, std::string_view from, const FinishMessage& message) {
    const ClaimRecord& record = message.record;
    const StoredClaim* known = this->store.Find(record.key);
    const bool same = known != nullptr && known->id == record.id;
    if (message.released) {
      if (same) this->store.Remove(record.key);
    } else if (same && record.answer) {
      this->store.SetAnswer(record.key, *record.answer);
    } else if (known == nullptr) {
      // The claims of the last view haven't arrived yet.
      this->store.Merge(now, record);
    }
    this->Send(from, FinishedMessage{record.key, record.id});
  }

  void On(TimePoint /*now*/, std::string_view from, const FinishedMessage& message) {
    const auto finish = this->finishing.find(message.id);
    if (finish == this->finishing.end()) return;
    finish->second.waiting_for.erase(std::string(from));
    if (finish->second.waiting_for.empty()) this->finishing.erase(finish);
  }

  void EndDuePending(TimePoint now) {
    for (auto claim = this->pending.begin(); claim != this->pending.end();) {
      if (claim->second.request.deadline <= now) {
        claim = this->GiveUp(now, claim,
                             {DecisionKind::kNotRun, {}, "members of the view don't answer"});
      } else {
        ++claim;
      }
    }
  }
};

KeyRegistry::KeyRegistry(std::string identity, std::size_t most_bytes)
    : d(std::make_unique<Private>(std::move(identity), most_bytes)) {}
KeyRegistry::~KeyRegistry() = default;
KeyRegistry::KeyRegistry(KeyRegistry&&) noexcept = default;
KeyRegistry& KeyRegistry::operator=(KeyRegistry&&) noexcept = default;

void KeyRegistry::SetView(TimePoint now, const View& view) {
  if (view.number <= this->d->view.number) return;
  const bool was_member = Contains(this->d->view.members, this->d->identity);
  const std::uint64_t last_number = this->d->view.number;
  this->d->view = view;
  this->d->serves = false;
  this->d->fetches.clear();
  this->d->next_fetch = {};
  const bool is_member = Contains(view.members, this->d->identity);
  // No claim was acknowledged in the last view without this member, so it knows them all, even when
  // it never served that view.
  if (was_member && last_number + 1 == view.number && this->d->complete_to + 1 == last_number) {
    this->d->complete_to = last_number;
  }
  for (const std::string& member : view.members) {
    if (member != this->d->identity && Contains(view.previous, member)) {
      this->d->fetches[member] = {};
    }
  }
  for (auto claim = this->d->pending.begin(); claim != this->d->pending.end();) {
    claim->second.recorded_by.clear();
    claim->second.next_send = {};
    if (is_member) {
      ++claim;
    } else {
      claim = this->d->GiveUp(
          now, claim, {DecisionKind::kNotRun, {}, "this entry VM left the key registry's view"});
    }
  }
  this->d->FetchMissing(now);
  this->d->StartIfUnited(now);
}

void KeyRegistry::Retire(TimePoint now, std::string_view domain, std::int64_t wall_time_ms) {
  const auto known =
      std::ranges::find(this->d->retirements, domain, [](const auto& r) { return r.domain; });
  if (known != this->d->retirements.end()) return;
  this->d->retirements.push_back({std::string(domain), wall_time_ms, now});
}

void KeyRegistry::Claim(TimePoint now, const ClaimRequest& request) {
  if (const StoredClaim* known = this->d->store.Find(request.key)) {
    this->d->Decide(request.request,
                    Private::DecisionFor(request.digest, known->digest, known->answer));
    return;
  }
  if (!this->d->serves) {
    this->d->Decide(request.request,
                    {DecisionKind::kNotRun, {}, "the key registry's view isn't served here"});
    return;
  }
  if (this->d->MayBeClaimedElsewhere(now, request)) {
    this->d->Decide(request.request, {DecisionKind::kInDoubt, {}, {}});
    return;
  }
  const ClaimId id{this->d->identity, ++this->d->last_claim};
  if (!this->d->store.Add(now, {request.key, request.digest, id, {}, {}})) {
    this->d->Decide(request.request, {DecisionKind::kNotRun, {}, "memory for claims is full"});
    return;
  }
  const auto claim =
      this->d->pending.insert_or_assign(request.key, PendingClaim{request, id, {}, {}}).first;
  this->d->SendPending(now);
  this->d->RunIfAcknowledged(claim);
}

void KeyRegistry::Finish(TimePoint now, std::string_view key, const Answer& answer) {
  const auto running = this->d->running.find(key);
  const StoredClaim* claim = this->d->store.Find(key);
  if (running == this->d->running.end() || claim == nullptr) return;
  this->d->running.erase(running);
  this->d->store.SetAnswer(key, answer);
  if (claim->answer) {
    this->d->StartFinish(now, {ClaimStore::RecordOf(now, std::string(key), *claim), false});
  }
}

void KeyRegistry::Release(TimePoint now, std::string_view key) {
  const auto running = this->d->running.find(key);
  const StoredClaim* claim = this->d->store.Find(key);
  if (running == this->d->running.end() || claim == nullptr) return;
  this->d->running.erase(running);
  const ClaimRecord record = ClaimStore::RecordOf(now, std::string(key), *claim);
  this->d->store.Remove(key);
  this->d->StartFinish(now, {record, true});
}

void KeyRegistry::OnMessage(TimePoint now, std::string_view from, const Message& message) {
  std::visit([&](const auto& alternative) { this->d->On(now, from, alternative); }, message);
}

void KeyRegistry::Tick(TimePoint now) {
  this->d->EndDuePending(now);
  this->d->FetchMissing(now);
  this->d->StartIfUnited(now);
  this->d->SendPending(now);
  this->d->SendFinishes(now);
  if (now < this->d->next_expiry) return;
  this->d->next_expiry = now + kExpireEvery;
  this->d->store.Expire(now, [&](const std::string& key) {
    return this->d->running.contains(key) || this->d->pending.contains(key);
  });
}

Output KeyRegistry::TakeOutput() { return std::exchange(this->d->output, {}); }

bool KeyRegistry::Serves() const { return this->d->serves; }
std::uint64_t KeyRegistry::ViewNumber() const { return this->d->view.number; }
std::size_t KeyRegistry::Bytes() const { return this->d->store.Bytes(); }

std::vector<std::string> KeyRegistry::Retired() const {
  std::vector<std::string> names;
  for (const Retirement& retirement : this->d->retirements) names.push_back(retirement.domain);
  return names;
}

}  // namespace mangoroad::registry
