// Keyed requests that must not run twice: the home of a key, its claim, and the views of the key
// registries.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "entry/node_context.h"
#include "registry/key_registry.h"

namespace mangoroad::entry {

class KeyService {
 public:
  using OnDecision = std::function<void(const registry::Decision&)>;

  explicit KeyService(NodeContext& node);
  ~KeyService();
  KeyService(const KeyService&) = delete;
  KeyService& operator=(const KeyService&) = delete;

  /// Home failure domain of a key; nothing when no domain of the place is left.
  [[nodiscard]] std::optional<std::string> HomeOf(std::string_view key,
                                                  const std::vector<std::string>& place) const;
  /// Claims a key in this failure domain; `decided` is called once, never from inside this call.
  void Claim(registry::ClaimRequest request, OnDecision decided);
  void Finish(std::string_view key, const registry::Response& answer);
  /// Frees the key of a request that provably wasn't run.
  void Release(std::string_view key);

  /// Number of the view in which this process serves claims; 0 for none.
  [[nodiscard]] std::uint64_t ServedView() const;

  void OnMessage(std::string_view payload);
  /// Follows the views in the replicated state; on the leader, also proposes their changes.
  void Tick();

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::entry
