#include "consensus/configuration.h"

#include <algorithm>

namespace mangoroad::consensus {
namespace {

void Insert(std::vector<ReplicaId>& ids, const ReplicaId& id) {
  const auto place = std::ranges::lower_bound(ids, id);
  if (place == ids.end() || *place != id) ids.insert(place, id);
}

}  // namespace

bool Configuration::HasVoter(const ReplicaId& id) const {
  return std::ranges::find(this->voters, id) != this->voters.end();
}

bool Configuration::HasLearner(const ReplicaId& id) const {
  return std::ranges::find(this->learners, id) != this->learners.end();
}

Configuration WithLearner(Configuration configuration, const ReplicaId& id) {
  Insert(configuration.learners, id);
  return configuration;
}

Configuration WithVoter(Configuration configuration, const ReplicaId& id) {
  std::erase(configuration.learners, id);
  Insert(configuration.voters, id);
  return configuration;
}

Configuration Without(Configuration configuration, const ReplicaId& id) {
  std::erase(configuration.learners, id);
  std::erase(configuration.voters, id);
  return configuration;
}

}  // namespace mangoroad::consensus
