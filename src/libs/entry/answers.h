// Replies of an entry VM: JSON bodies, error kinds with their status, and the outcome of a request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/name_table.h"
#include "net/http_server.h"

namespace mangoroad::entry {

/// Whether a request ran on a target.
enum class Outcome : std::uint8_t { kRan, kNotRun, kUnknown };

inline constexpr base::NameTable<Outcome, 3> kOutcomeNames{{
    {Outcome::kRan, "ran"},
    {Outcome::kNotRun, "not-run"},
    {Outcome::kUnknown, "unknown"},
}};

/// Kinds of error bodies.
enum class ErrorKind : std::uint8_t {
  kBadRequest,
  kOperatorToken,
  kNotFound,
  kUnknownRow,
  kMethod,
  kTooLarge,
  kConflict,
  kInDoubt,
  kKeyReused,
  kFaults,
  kChangeIdReused,
  kRefused,
  kUnsafeChange,
  kOverLimit,
  kTargetFailed,
  kOverloaded,
  kNoTarget,
  kHomeUnreachable,
  kDraining,
  kNoQuorum,
  kDeadline,
};

inline constexpr base::NameTable<ErrorKind, 21> kErrorKindNames{{
    {ErrorKind::kBadRequest, "bad-request"},
    {ErrorKind::kOperatorToken, "operator-token"},
    {ErrorKind::kNotFound, "not-found"},
    {ErrorKind::kUnknownRow, "unknown-row"},
    {ErrorKind::kMethod, "method"},
    {ErrorKind::kTooLarge, "too-large"},
    {ErrorKind::kConflict, "conflict"},
    {ErrorKind::kInDoubt, "in-doubt"},
    {ErrorKind::kKeyReused, "key-reused"},
    {ErrorKind::kFaults, "faults"},
    {ErrorKind::kChangeIdReused, "change-id-reused"},
    {ErrorKind::kRefused, "refused"},
    {ErrorKind::kUnsafeChange, "unsafe-change"},
    {ErrorKind::kOverLimit, "over-limit"},
    {ErrorKind::kTargetFailed, "target-failed"},
    {ErrorKind::kOverloaded, "overloaded"},
    {ErrorKind::kNoTarget, "no-target"},
    {ErrorKind::kHomeUnreachable, "home-unreachable"},
    {ErrorKind::kDraining, "draining"},
    {ErrorKind::kNoQuorum, "no-quorum"},
    {ErrorKind::kDeadline, "deadline"},
}};

inline constexpr std::string_view kOutcomeHeader = "Mangoroad-Outcome";

/// HTTP status of an error kind.
int StatusOf(ErrorKind kind);

/// Error body as on the design page: `{"error", "message", "outcome"}`.
std::string ErrorBody(ErrorKind kind, std::string_view message, Outcome outcome);

/// Replies with an error. 429 and 503 carry a Retry-After header.
void ReplyError(net::HttpExchange& exchange, ErrorKind kind, std::string_view message,
                Outcome outcome = Outcome::kNotRun);

/// Replies with a JSON body that is already encoded.
void ReplyJson(net::HttpExchange& exchange, int status, std::string_view body);

}  // namespace mangoroad::entry
