#include "registry/claim_store.h"

#include <numeric>

namespace mangoroad::registry {
namespace {

// Map node, strings' control blocks and allocator overhead of one claim.
constexpr std::size_t kFixedBytes = 256;

std::size_t BytesOf(const Answer& answer) {
  return std::accumulate(answer.headers.begin(), answer.headers.end(), answer.body.size(),
                         [](std::size_t sum, const auto& header) {
                           return sum + header.first.size() + header.second.size() + 64;
                         });
}

}  // namespace

ClaimStore::ClaimStore(std::size_t limit) : most_bytes(limit) {}

const StoredClaim* ClaimStore::Find(std::string_view key) const {
  const auto found = this->claims.find(key);
  return found == this->claims.end() ? nullptr : &found->second;
}

bool ClaimStore::Add(base::TimePoint now, const ClaimRecord& record) {
  const std::size_t added = kFixedBytes + record.key.size() + record.digest.size();
  if (this->bytes + added > this->most_bytes) return false;
  this->Insert(now, record);
  return true;
}

void ClaimStore::Insert(base::TimePoint now, const ClaimRecord& record) {
  this->Remove(record.key);
  const std::size_t size = kFixedBytes + record.key.size() + record.digest.size();
  this->claims.emplace(record.key,
                       StoredClaim{record.digest, record.id, now - record.age, std::nullopt, size});
  this->bytes += size;
  if (record.answer) this->SetAnswer(record.key, *record.answer);
}

void ClaimStore::Merge(base::TimePoint now, const ClaimRecord& record) {
  const StoredClaim* known = this->Find(record.key);
  // Of two unfinished claims of one key, neither was acknowledged by all members.
  const bool replaces = known == nullptr || (!known->answer && record.answer) ||
                        (!known->answer && record.id < known->id);
  if (replaces) this->Insert(now, record);
}

void ClaimStore::SetAnswer(std::string_view key, const Answer& answer) {
  const auto found = this->claims.find(key);
  if (found == this->claims.end() || found->second.answer) return;
  const std::size_t added = BytesOf(answer);
  if (answer.body.size() > kLargestAnswer || this->bytes + added > this->most_bytes) return;
  found->second.answer = answer;
  found->second.bytes += added;
  this->bytes += added;
}

void ClaimStore::Remove(std::string_view key) {
  const auto found = this->claims.find(key);
  if (found == this->claims.end()) return;
  this->bytes -= found->second.bytes;
  this->claims.erase(found);
}

void ClaimStore::Clear() {
  this->claims.clear();
  this->bytes = 0;
}

void ClaimStore::Expire(base::TimePoint now, const std::function<bool(const std::string&)>& keep) {
  for (auto claim = this->claims.begin(); claim != this->claims.end();) {
    const bool old = claim->second.learned + kRetention <= now;
    if (old && !keep(claim->first)) {
      this->bytes -= claim->second.bytes;
      claim = this->claims.erase(claim);
    } else {
      ++claim;
    }
  }
}

ClaimRecord ClaimStore::RecordOf(base::TimePoint now, const std::string& key,
                                 const StoredClaim& claim) {
  return {key, claim.digest, claim.id,
          std::chrono::duration_cast<base::Duration>(now - claim.learned), claim.answer};
}

}  // namespace mangoroad::registry
