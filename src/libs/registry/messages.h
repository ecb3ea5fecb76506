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

/// Identifies a claim. `claimant` is the identity of a process, unique for each start.
struct ClaimId {
  std::string claimant;
  std::uint64_t number = 0;

  friend auto operator<=>(const ClaimId&, const ClaimId&) = default;
};

/// Response of a target to a request with an idempotency key.
struct Response {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  friend bool operator==(const Response&, const Response&) = default;
};

/// A claim as sent between members.
struct ClaimRecord {
  std::string key;
  std::string digest;
  ClaimId id;
  base::Duration age{};  ///< Since the sender learned of the claim.
  std::optional<Response> response;
};

/// Asks a member to record a claim. Resent until each member has responded.
struct ClaimMessage {
  std::uint64_t view = 0;
  std::string key;
  std::string digest;
  ClaimId id;
};

/// Status of a claim at a member.
enum class ClaimStatus : std::uint8_t {
  kRecorded,
  kOtherView,  ///< The member doesn't serve this view.
  kFull,       ///< The member's memory for claims is full.
  kTaken,      ///< `existing` holds the key.
};

struct ClaimAckMessage {
  std::uint64_t view = 0;
  std::string key;
  ClaimId id;
  ClaimStatus status = ClaimStatus::kRecorded;
  std::optional<ClaimRecord> existing;
};

/// Ends a claim, either with a response or by a release because nothing was run. Resent until it is
/// acknowledged.
struct FinishMessage {
  ClaimRecord record;
  bool released = false;
};

struct FinishAckMessage {
  std::string key;
  ClaimId id;
};

/// Requests the claims of a member of the previous view, in order of key, beginning after the key
/// `after`.
struct FetchClaims {
  std::uint64_t view = 0;  ///< The view that is being started.
  std::string after;
  bool from_start = true;
};

/// Part of a member's claims, sent only after the member has stopped serving the previous view.
struct ViewClaims {
  std::uint64_t view = 0;
  std::string after;  ///< Copied from the request.
  bool from_start = true;
  bool last = false;
  std::uint64_t complete_up_to = 0;  ///< The sender knows all claims acknowledged up to this view.
  /// Remaining time for which unknown keys are in doubt, because claims may have been lost.
  base::Duration in_doubt{};
  std::vector<ClaimRecord> claims;
};

using Message = std::variant<ClaimMessage, ClaimAckMessage, FinishMessage, FinishAckMessage,
                             FetchClaims, ViewClaims>;

}  // namespace mangoroad::registry
