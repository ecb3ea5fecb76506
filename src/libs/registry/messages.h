// Messages between the members of a key registry.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/time.h"

namespace mangoroad::registry {

/// Names one claim. `claimant` is the identity of a process, unique for each start.
struct ClaimId {
  std::string claimant;
  std::uint64_t number = 0;

  friend auto operator<=>(const ClaimId&, const ClaimId&) = default;
};

/// Answer of a target to a keyed request.
struct Answer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  friend bool operator==(const Answer&, const Answer&) = default;
};

/// A claim as one member tells it to another.
struct ClaimRecord {
  std::string key;
  std::string digest;
  ClaimId id;
  base::Duration age{};  ///< Since the sender learned of the claim.
  std::optional<Answer> answer;
};

/// Asks a member to record a claim. Sent again until each member has answered.
struct ClaimMessage {
  std::uint64_t view = 0;
  std::string key;
  std::string digest;
  ClaimId id;
};

/// What a member says of a claim.
enum class ClaimVerdict : std::uint8_t {
  kRecorded,
  kOtherView,  ///< The member doesn't serve this view.
  kFull,       ///< The member's memory for claims is full.
  kTaken,      ///< `existing` holds the key.
};

struct ClaimedMessage {
  std::uint64_t view = 0;
  std::string key;
  ClaimId id;
  ClaimVerdict verdict = ClaimVerdict::kRecorded;
  std::optional<ClaimRecord> existing;
};

/// Ends a claim: with an answer, or released because nothing was run. Sent again until received.
struct FinishMessage {
  ClaimRecord record;
  bool released = false;
};

struct FinishedMessage {
  std::string key;
  ClaimId id;
};

/// Asks a member of the last view for its claims after the key `after`, in order of key.
struct FetchClaims {
  std::uint64_t view = 0;  ///< The view to be started.
  std::string after;
  bool from_start = true;
};

/// Part of a member's claims. It sends them only once it has stopped serving the last view.
struct ViewClaims {
  std::uint64_t view = 0;
  std::string after;  ///< Copied from the request.
  bool from_start = true;
  bool last = false;
  std::uint64_t complete_to = 0;  ///< The sender knows each claim acknowledged up to this view.
  /// For this time from now on, unknown keys are in doubt, as claims may have been lost.
  base::Duration in_doubt{};
  std::vector<ClaimRecord> claims;
};

using Message = std::variant<ClaimMessage, ClaimedMessage, FinishMessage, FinishedMessage,
                             FetchClaims, ViewClaims>;

}  // namespace mangoroad::registry
