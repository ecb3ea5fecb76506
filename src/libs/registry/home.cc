#include "registry/home.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace mangoroad::registry {

std::optional<std::string> HomeDomainOf(std::string_view key, const std::vector<std::string>& place,
                                        const std::vector<std::string>& retired) {
  const auto hash_rank = [&](const std::string& domain) {
    const XXH64_hash_t seed = XXH3_64bits(domain.data(), domain.size());
    // The name breaks ties, so that all entry VMs choose the same domain.
    return std::pair(XXH3_64bits_withSeed(key.data(), key.size(), seed), std::string_view(domain));
  };
  const std::string* home = nullptr;
  for (const std::string& domain : place) {
    if (std::ranges::find(retired, domain) != retired.end()) continue;
    if (home == nullptr || hash_rank(*home) < hash_rank(domain)) home = &domain;
  }
  return home == nullptr ? std::nullopt : std::optional(*home);
}

}  // namespace mangoroad::registry
