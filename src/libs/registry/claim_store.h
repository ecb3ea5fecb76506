// Claims that one member knows, with bounded memory.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "registry/messages.h"

namespace mangoroad::registry {

/// A key is good for this time after its first use, as callers are told.
inline constexpr base::Duration kRetention = std::chrono::minutes(10);
/// Largest body of an answer that is recorded; a larger one leaves the claim without an answer.
inline constexpr std::size_t kLargestAnswer = 64UL * 1024;

struct StoredClaim {
  std::string digest;
  ClaimId id;
  base::TimePoint learned;
  std::optional<Answer> answer;
  std::size_t bytes = 0;
};

/// Map of claims by key. A live claim is never dropped: when the memory is full, new ones are
/// refused.
class ClaimStore {
 public:
  using Map = std::map<std::string, StoredClaim, std::less<>>;

  explicit ClaimStore(std::size_t most_bytes);

  [[nodiscard]] const StoredClaim* Find(std::string_view key) const;
  /// False when the memory is full.
  bool Add(base::TimePoint now, const ClaimRecord& record);
  /// Takes over a claim of an earlier view; beyond the limit too, as dropping it could run a
  /// request twice.
  void Merge(base::TimePoint now, const ClaimRecord& record);
  /// Records an answer; a claim whose answer doesn't fit stays without one.
  void SetAnswer(std::string_view key, const Answer& answer);
  void Remove(std::string_view key);
  void Clear();
  /// Removes claims older than kRetention except those that `keep` selects.
  void Expire(base::TimePoint now, const std::function<bool(const std::string&)>& keep);

  [[nodiscard]] static ClaimRecord RecordOf(base::TimePoint now, const std::string& key,
                                            const StoredClaim& claim);
  [[nodiscard]] const Map& Claims() const { return this->claims; }
  [[nodiscard]] std::size_t Bytes() const { return this->bytes; }

 private:
  void Insert(base::TimePoint now, const ClaimRecord& record);

  Map claims;
  std::size_t most_bytes;
  std::size_t bytes = 0;
};

}  // namespace mangoroad::registry
