// Home failure domain of a key.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangoroad::registry {

/// Home failure domain of `key`: the domain of `place` with the highest rendezvous hash. Retired
/// domains are left out, which moves only their own keys. Empty when no domain is left.
std::optional<std::string> HomeDomainOf(std::string_view key, const std::vector<std::string>& place,
                                        const std::vector<std::string>& retired);

}  // namespace mangoroad::registry
