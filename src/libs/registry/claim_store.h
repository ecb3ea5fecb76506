// Claims known to one member, with a bound on their memory.
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

/// Time for which a key is remembered after its first use, as documented for callers.
inline constexpr base::Duration kRetention = std::chrono::minutes(10);
/// Largest response body that is recorded. A claim with a larger one stays without a response.
inline constexpr std::size_t kMaxResponseBytes = 64UL * 1024;

struct StoredClaim {
  std::string digest;
  ClaimId id;
  base::TimePoint learned_at;
  std::optional<Response> response;
  std::size_t bytes = 0;
};

/// Claims by key. An unexpired claim is never evicted; new claims are refused when the memory limit
/// is reached.
class ClaimStore {
 public:
  using Map = std::map<std::string, StoredClaim, std::less<>>;

  explicit ClaimStore(std::size_t max_bytes);

  [[nodiscard]] const StoredClaim* Find(std::string_view key) const;
  /// False when the memory limit is reached.
  bool Add(base::TimePoint now, const ClaimRecord& record);
  /// Adopts a claim of an earlier view, even beyond the memory limit, because without it a request
  /// could run twice.
  void Merge(base::TimePoint now, const ClaimRecord& record);
  /// Records a response. A claim whose response doesn't fit stays without one.
  void SetResponse(std::string_view key, const Response& response);
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
  std::size_t max_bytes;
  std::size_t bytes = 0;
};

}  // namespace mangoroad::registry
