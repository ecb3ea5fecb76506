#include "registry/claim_store.h"

#include <numeric>

namespace mangoroad::registry {
namespace {

// Overhead of one claim: map node, control blocks of the strings and allocator.
constexpr std::size_t kFixedBytes = 256;

std::size_t BytesOf(const Response& response) {
  return std::accumulate(response.headers.begin(), response.headers.end(), response.body.size(),
                         [](std::size_t sum, const auto& header) {
                           return sum + header.first.size() + header.second.size() + 64;
                         });
}

}  // namespace

ClaimStore::ClaimStore(std::size_t limit) : max_bytes(limit) {}

const StoredClaim* ClaimStore::Find(std::string_view key) const {
  const auto found = this->claims.find(key);
  return found == this->claims.end() ? nullptr : &found->second;
}

bool ClaimStore::Add(base::TimePoint now, const ClaimRecord& record) {
  const std::size_t added = kFixedBytes + record.key.size() + record.digest.size();
  if (this->bytes + added > this->max_bytes) return false;
  this->Insert(now, record);
  return true;
}

void ClaimStore::Insert(base::TimePoint now, const ClaimRecord& record) {
  this->Remove(record.key);
  const std::size_t size = kFixedBytes + record.key.size() + record.digest.size();
  this->claims.emplace(record.key,
                       StoredClaim{record.digest, record.id, now - record.age, std::nullopt, size});
  this->bytes += size;
  if (record.response) this->SetResponse(record.key, *record.response);
}

void ClaimStore::Merge(base::TimePoint now, const ClaimRecord& record) {
  const StoredClaim* known = this->Find(record.key);
  // Of two unfinished claims of one key, neither was acknowledged by all members, so either may
  // stay.
  const bool replaces = known == nullptr || (!known->response && record.response) ||
                        (!known->response && record.id < known->id);
  if (replaces) this->Insert(now, record);
}

void ClaimStore::SetResponse(std::string_view key, const Response& response) {
  const auto found = this->claims.find(key);
  if (found == this->claims.end() || found->second.response) return;
  const std::size_t added = BytesOf(response);
  if (response.body.size() > kMaxResponseBytes || this->bytes + added > this->max_bytes) return;
  found->second.response = response;
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
    const bool old = claim->second.learned_at + kRetention <= now;
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
          std::chrono::duration_cast<base::Duration>(now - claim.learned_at), claim.response};
}

}  // namespace mangoroad::registry
