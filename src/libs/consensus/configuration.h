// The replicas of the log: voters, which count for the majority, and learners.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangoroad::consensus {

/// Name of an entry VM.
using ReplicaId = std::string;

/// Both lists are sorted and share no name.
struct Configuration {
  std::vector<ReplicaId> voters;
  std::vector<ReplicaId> learners;

  bool HasVoter(const ReplicaId& id) const;
  bool HasLearner(const ReplicaId& id) const;
  bool Has(const ReplicaId& id) const { return this->HasVoter(id) || this->HasLearner(id); }
  /// Number of voters that make a majority.
  std::size_t Quorum() const { return this->voters.size() / 2 + 1; }

  bool operator==(const Configuration&) const = default;
};

/// `configuration` with the voters or learners changed; lists stay sorted.
Configuration WithLearner(Configuration configuration, const ReplicaId& id);
Configuration WithVoter(Configuration configuration, const ReplicaId& id);
Configuration Without(Configuration configuration, const ReplicaId& id);

/// Codec of a configuration entry; decoding gives nothing if the bytes are malformed.
std::string EncodeConfiguration(const Configuration& configuration);
std::optional<Configuration> DecodeConfiguration(std::string_view bytes);

}  // namespace mangoroad::consensus
