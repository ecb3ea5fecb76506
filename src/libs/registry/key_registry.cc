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

constexpr Duration kResendInterval = std::chrono::milliseconds(50);
constexpr Duration kExpiryInterval = std::chrono::seconds(1);
// After this many attempts, the next view change transfers the response to the members that did not
// acknowledge it.
constexpr int kMaxFinishAttempts = 40;
// Keeps each part well below the maximum of 4 MiB for frames between entry VMs.
constexpr std::size_t kMaxPartBytes = 1024UL * 1024;

bool Contains(const std::vector<std::string>& names, std::string_view name) {
  return std::ranges::find(names, name) != names.end();
}

// An undecided claim of this process.
struct PendingClaim {
  ClaimRequest request;
  ClaimId id;
  std::set<std::string, std::less<>> recorded_by;
  TimePoint next_send;
};

// The end of a claim that some members have not acknowledged yet.
struct PendingFinish {
  FinishMessage message;
  std::set<std::string, std::less<>> waiting_for;
  TimePoint next_send;
  int attempts = 0;
};

// Progress of fetching the claims of a member of the previous view.
struct FetchState {
  std::string after;
  bool from_start = true;
  bool done = false;
  std::uint64_t complete_up_to = UINT64_MAX;  // Minimum over all parts.
  std::vector<ClaimRecord> claims;
};

struct Retirement {
  std::string domain;
  std::int64_t wall_time_ms = 0;
  TimePoint learned_at;
};

}  // namespace

struct KeyRegistry::Private {
  Private(std::string own, std::size_t max_bytes) : identity(std::move(own)), store(max_bytes) {}

  std::string identity;
  ClaimStore store;
  View view;
  bool is_serving = false;
  std::uint64_t complete_up_to = 0;
  TimePoint next_fetch;
  std::map<std::string, FetchState, std::less<>> fetches;
  std::map<std::string, PendingClaim, std::less<>> pending;
  std::set<std::string, std::less<>> running;
  std::map<ClaimId, PendingFinish> finishing;
  std::vector<Retirement> retirements;
  // Until then, unknown keys are in doubt, since claims may have been lost with all members of a
  // view.
  TimePoint in_doubt_until;
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

  void ServeIfMerged(TimePoint now) {
    if (this->is_serving || !Contains(this->view.members, this->identity)) return;
    if (!std::ranges::all_of(this->fetches, [](const auto& fetch) { return fetch.second.done; })) {
      return;
    }
    const std::uint64_t known = this->MergeClaims(now);
    if (known + 1 < this->view.number) this->in_doubt_until = now + kRetention;
    this->complete_up_to = this->view.number;
    this->is_serving = true;
    this->RepeatPending(now);
    this->SendPending(now);
  }

  // Replaces the store by the union of the claims of the previous view's members, and returns the
  // view up to which all acknowledged claims are known. A member that missed views may hold an
  // abandoned claim of a key that has been claimed by others since; the claim of the most complete
  // member takes precedence.
  std::uint64_t MergeClaims(TimePoint now) {
    std::vector<FetchState> sources;
    sources.reserve(this->fetches.size() + 1);
    for (auto& [member, fetch] : this->fetches) sources.push_back(std::move(fetch));
    if (sources.empty() || Contains(this->view.previous, this->identity)) {
      FetchState own;
      own.complete_up_to = this->complete_up_to;
      for (const auto& [key, claim] : this->store.Claims()) {
        own.claims.push_back(ClaimStore::RecordOf(now, key, claim));
      }
      sources.push_back(std::move(own));
    }
    this->fetches.clear();
    std::ranges::sort(sources, std::greater<>{}, &FetchState::complete_up_to);
    this->store.Clear();
    const std::uint64_t best = sources.front().complete_up_to;
    for (const FetchState& source : sources) {
      for (const ClaimRecord& record : source.claims) {
        const StoredClaim* known = this->store.Find(record.key);
        if (known == nullptr || source.complete_up_to == best || known->id == record.id) {
          this->store.Merge(now, record);
        }
      }
    }
    return best;
  }

  // Repeats the undecided claims in the new view, unless another claim holds their key in it.
  void RepeatPending(TimePoint now) {
    for (auto claim = this->pending.begin(); claim != this->pending.end();) {
      const StoredClaim* known = this->store.Find(claim->first);
      const std::string& digest = claim->second.request.digest;
      claim->second.next_send = {};
      if (known == nullptr && this->MayBeClaimedElsewhere(now, claim->second.request)) {
        claim = this->AbandonClaim(now, claim, {DecisionKind::kInDoubt, {}, {}});
      } else if (known != nullptr && known->id != claim->second.id) {
        claim = this->AbandonClaim(now, claim, DecisionFor(digest, known->digest, known->response));
      } else if (known == nullptr &&
                 !this->store.Add(now, {claim->first, digest, claim->second.id, {}, {}})) {
        claim = this->AbandonClaim(now, claim,
                                   {DecisionKind::kNotRun, {}, "memory for claims is full"});
      } else {
        ++claim;
      }
    }
  }

  void FetchMissing(TimePoint now) {
    if (this->is_serving || now < this->next_fetch) return;
    this->next_fetch = now + kResendInterval;
    for (const auto& [member, fetch] : this->fetches) {
      if (!fetch.done) {
        this->Send(member, FetchClaims{this->view.number, fetch.after, fetch.from_start});
      }
    }
  }

  void On(TimePoint now, std::string_view from, const FetchClaims& message) {
    // A member that doesn't know this view yet hasn't left the previous one.
    if (message.view != this->view.number) return;
    ViewClaims part{
        message.view, message.after, message.from_start, true, this->complete_up_to, {}, {}};
    part.in_doubt = std::max(Duration{}, this->in_doubt_until - now);
    const auto& claims = this->store.Claims();
    std::size_t size = 0;
    for (auto claim = message.from_start ? claims.begin() : claims.upper_bound(message.after);
         claim != claims.end(); ++claim) {
      size += claim->second.bytes;
      if (size > kMaxPartBytes && !part.claims.empty()) {
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
    this->in_doubt_until = std::max(this->in_doubt_until, now + message.in_doubt);
    state.complete_up_to = std::min(state.complete_up_to, message.complete_up_to);
    if (!message.claims.empty()) {
      state.after = message.claims.back().key;
      state.from_start = false;
    }
    state.done = message.last;
    this->next_fetch = {};
    this->FetchMissing(now);
    this->ServeIfMerged(now);
  }

  // --- Claims ---

  // The decision for a request whose key is held by another claim.
  static Decision DecisionFor(std::string_view digest, std::string_view existing_digest,
                              const std::optional<Response>& response) {
    if (digest != existing_digest) return {DecisionKind::kKeyReused, {}, {}};
    if (response) return {DecisionKind::kRecordedResponse, *response, {}};
    return {DecisionKind::kInDoubt, {}, {}};
  }

  // Whether the key may have been claimed by members whose claims are lost.
  [[nodiscard]] bool MayBeClaimedElsewhere(TimePoint now, const ClaimRequest& request) const {
    if (now < this->in_doubt_until) return true;
    std::vector<std::string> retired_before;
    for (const Retirement& retirement : this->retirements) {
      const bool is_recent = now < retirement.learned_at + kRetention;
      const bool later_key = request.key_time_ms > retirement.wall_time_ms;
      if (is_recent && !later_key &&
          HomeDomainOf(request.key, request.place, retired_before) == retirement.domain) {
        return true;
      }
      retired_before.push_back(retirement.domain);
    }
    return false;
  }

  void SendPending(TimePoint now) {
    if (!this->is_serving) return;
    for (auto& [key, claim] : this->pending) {
      if (now < claim.next_send) continue;
      claim.next_send = now + kResendInterval;
      for (const std::string& member : this->view.members) {
        if (member != this->identity && !claim.recorded_by.contains(member)) {
          this->Send(member, ClaimMessage{this->view.number, key, claim.request.digest, claim.id});
        }
      }
    }
  }

  void RunIfAcknowledged(std::map<std::string, PendingClaim, std::less<>>::iterator claim) {
    if (!this->is_serving) return;
    const auto acknowledged = [&](const std::string& member) {
      return member == this->identity || claim->second.recorded_by.contains(member);
    };
    if (!std::ranges::all_of(this->view.members, acknowledged)) return;
    this->Decide(claim->second.request.request, {DecisionKind::kRun, {}, {}});
    this->running.insert(claim->first);
    this->pending.erase(claim);
  }

  // Ends an undecided claim, for which no request was sent, and releases its key.
  std::map<std::string, PendingClaim, std::less<>>::iterator AbandonClaim(
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
    ClaimAckMessage response{message.view, message.key, message.id, ClaimStatus::kRecorded, {}};
    if (!this->is_serving || message.view != this->view.number) {
      response.status = ClaimStatus::kOtherView;
    } else {
      const StoredClaim* known = this->store.Find(message.key);
      // A process claims a key again only after releasing its earlier claim.
      const bool is_released = known != nullptr && !known->response &&
                               known->id.claimant == message.id.claimant &&
                               known->id.number < message.id.number;
      if (known != nullptr && known->id != message.id && !is_released) {
        response.status = ClaimStatus::kTaken;
        response.existing = ClaimStore::RecordOf(now, message.key, *known);
      } else if (known == nullptr || is_released) {
        const ClaimRecord record{message.key, message.digest, message.id, {}, {}};
        if (!this->store.Add(now, record)) response.status = ClaimStatus::kFull;
      }
    }
    this->Send(from, std::move(response));
  }

  void On(TimePoint now, std::string_view from, const ClaimAckMessage& message) {
    const auto claim = this->pending.find(message.key);
    if (claim == this->pending.end() || claim->second.id != message.id ||
        message.view != this->view.number) {
      return;
    }
    switch (message.status) {
      case ClaimStatus::kRecorded:
        claim->second.recorded_by.insert(std::string(from));
        this->RunIfAcknowledged(claim);
        break;
      case ClaimStatus::kOtherView:
        break;  // The member will start this view, or this process will receive a newer one.
      case ClaimStatus::kFull:
        this->AbandonClaim(now, claim, {DecisionKind::kNotRun, {}, "memory for claims is full"});
        break;
      case ClaimStatus::kTaken:
        this->OnTaken(now, claim, message.existing);
        break;
    }
  }

  void OnTaken(TimePoint now, std::map<std::string, PendingClaim, std::less<>>::iterator claim,
               const std::optional<ClaimRecord>& existing) {
    if (!existing) return;
    const std::string& digest = claim->second.request.digest;
    // Of two concurrent claimants, the one with the lower id waits for the other to abandon its
    // claim.
    const bool must_wait = !existing->response && existing->digest == digest &&
                           claim->second.id < existing->id &&
                           Contains(this->view.members, existing->id.claimant);
    if (must_wait) return;
    const Decision decision = DecisionFor(digest, existing->digest, existing->response);
    this->AbandonClaim(now, claim, decision);
    if (existing->response) this->store.Merge(now, *existing);
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
      finish.next_send = now + kResendInterval;
      finish.attempts += 1;
      for (const std::string& member : finish.waiting_for) this->Send(member, finish.message);
    }
    std::erase_if(this->finishing, [](const auto& entry) {
      return entry.second.waiting_for.empty() || entry.second.attempts >= kMaxFinishAttempts;
    });
  }

  void On(TimePoint now, std::string_view from, const FinishMessage& message) {
    const ClaimRecord& record = message.record;
    const StoredClaim* known = this->store.Find(record.key);
    const bool same = known != nullptr && known->id == record.id;
    if (message.released) {
      if (same) this->store.Remove(record.key);
    } else if (same && record.response) {
      this->store.SetResponse(record.key, *record.response);
    } else if (known == nullptr) {
      // The claims of the previous view have not arrived yet.
      this->store.Merge(now, record);
    }
    this->Send(from, FinishAckMessage{record.key, record.id});
  }

  void On(TimePoint /*now*/, std::string_view from, const FinishAckMessage& message) {
    const auto finish = this->finishing.find(message.id);
    if (finish == this->finishing.end()) return;
    finish->second.waiting_for.erase(std::string(from));
    if (finish->second.waiting_for.empty()) this->finishing.erase(finish);
  }

  void EndExpiredPending(TimePoint now) {
    for (auto claim = this->pending.begin(); claim != this->pending.end();) {
      if (claim->second.request.deadline <= now) {
        claim = this->AbandonClaim(
            now, claim, {DecisionKind::kNotRun, {}, "members of the view don't respond"});
      } else {
        ++claim;
      }
    }
  }
};

KeyRegistry::KeyRegistry(std::string identity, std::size_t max_bytes)
    : d(std::make_unique<Private>(std::move(identity), max_bytes)) {}
KeyRegistry::~KeyRegistry() = default;
KeyRegistry::KeyRegistry(KeyRegistry&&) noexcept = default;
KeyRegistry& KeyRegistry::operator=(KeyRegistry&&) noexcept = default;

void KeyRegistry::SetView(TimePoint now, const View& view) {
  if (view.number <= this->d->view.number) return;
  const bool was_member = Contains(this->d->view.members, this->d->identity);
  const std::uint64_t last_number = this->d->view.number;
  this->d->view = view;
  this->d->is_serving = false;
  this->d->fetches.clear();
  this->d->next_fetch = {};
  const bool is_member = Contains(view.members, this->d->identity);
  // No claim was acknowledged in the last view without this member. It therefore knows them all,
  // even if it never served that view.
  if (was_member && last_number + 1 == view.number && this->d->complete_up_to + 1 == last_number) {
    this->d->complete_up_to = last_number;
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
      claim = this->d->AbandonClaim(
          now, claim, {DecisionKind::kNotRun, {}, "this entry VM left the key registry's view"});
    }
  }
  this->d->FetchMissing(now);
  this->d->ServeIfMerged(now);
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
                    Private::DecisionFor(request.digest, known->digest, known->response));
    return;
  }
  if (!this->d->is_serving) {
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

void KeyRegistry::Finish(TimePoint now, std::string_view key, const Response& response) {
  const auto running = this->d->running.find(key);
  const StoredClaim* claim = this->d->store.Find(key);
  if (running == this->d->running.end() || claim == nullptr) return;
  this->d->running.erase(running);
  this->d->store.SetResponse(key, response);
  if (claim->response) {
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
  this->d->EndExpiredPending(now);
  this->d->FetchMissing(now);
  this->d->ServeIfMerged(now);
  this->d->SendPending(now);
  this->d->SendFinishes(now);
  if (now < this->d->next_expiry) return;
  this->d->next_expiry = now + kExpiryInterval;
  this->d->store.Expire(now, [&](const std::string& key) {
    return this->d->running.contains(key) || this->d->pending.contains(key);
  });
}

Output KeyRegistry::TakeOutput() { return std::exchange(this->d->output, {}); }

bool KeyRegistry::IsServing() const { return this->d->is_serving; }
std::uint64_t KeyRegistry::ViewNumber() const { return this->d->view.number; }
std::size_t KeyRegistry::Bytes() const { return this->d->store.Bytes(); }

std::vector<std::string> KeyRegistry::RetiredDomains() const {
  std::vector<std::string> names;
  for (const Retirement& retirement : this->d->retirements) names.push_back(retirement.domain);
  return names;
}

}  // namespace mangoroad::registry
