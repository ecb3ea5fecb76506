// Claims of idempotency keys in one failure domain, agreed on by all members of a view.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "registry/claim_store.h"
#include "registry/messages.h"

namespace mangoroad::registry {

/// Members of the key registry of one failure domain, set by the replicated log. A member is
/// identified by its process: a restarted process has lost its claims and is no longer a member.
struct View {
  std::uint64_t number = 0;  ///< Increases by 1 with each change.
  std::vector<std::string> members;
  std::vector<std::string> previous;  ///< Members of the previous view; empty for the first view.
};

/// Chosen by the caller of Claim() to identify the request.
using RequestNumber = std::uint64_t;

enum class DecisionKind {
  kRun,               ///< All members have acknowledged the claim: the request may be sent once.
  kRecordedResponse,  ///< The recorded response to the first request with this key.
  kInDoubt,           ///< 409, outcome `unknown`.
  kKeyReused,         ///< 422: the key was used for a different request.
  kNotRun,            ///< 503, outcome `not-run`.
};

struct Decision {
  DecisionKind kind = DecisionKind::kNotRun;
  Response response;   ///< For kRecordedResponse.
  std::string reason;  ///< For kNotRun.
};

struct ClaimRequest {
  RequestNumber request = 0;
  std::string key;
  std::string digest;              ///< Digest of method, path and body.
  std::vector<std::string> place;  ///< Failure domains of the row, for keys of retired domains.
  std::int64_t key_time_ms = 0;    ///< `Idempotency-Key-Time`; 0 when the caller gave none.
  base::TimePoint deadline;        ///< A claim that is undecided by then ends with kNotRun.
};

struct DecidedClaim {
  RequestNumber request = 0;
  Decision decision;
};

struct OutgoingMessage {
  std::string to;
  Message message;
};

struct Output {
  std::vector<OutgoingMessage> messages;
  std::vector<DecidedClaim> decisions;
};

/// Key registry of one process: a member of the view, or an entry VM that isn't a member yet.
///
/// After kRun, the caller must check the request's deadline before each send. Otherwise, a process
/// that was paused for longer than kRetention would send a request whose claim has expired.
class KeyRegistry {
 public:
  /// `identity` is unique for each start of the process; `max_bytes` bounds the memory of the
  /// claims.
  KeyRegistry(std::string identity, std::size_t max_bytes);
  ~KeyRegistry();
  KeyRegistry(KeyRegistry&&) noexcept;
  KeyRegistry& operator=(KeyRegistry&&) noexcept;

  /// Stops serving the current view. Serves the new view once the claims of the members of the
  /// current one are merged.
  void SetView(base::TimePoint now, const View& view);
  /// Records that a failure domain is permanently lost since `wall_time_ms` (ms since 1970). For
  /// kRetention, keys that may have been claimed there are in doubt unless their time is later.
  void Retire(base::TimePoint now, std::string_view domain, std::int64_t wall_time_ms);

  /// Starts a claim. TakeOutput() returns exactly one decision for it.
  void Claim(base::TimePoint now, const ClaimRequest& request);
  /// Records the response to a request that got kRun.
  void Finish(base::TimePoint now, std::string_view key, const Response& response);
  /// Releases the key of a request that got kRun and provably did not run.
  void Release(base::TimePoint now, std::string_view key);

  void OnMessage(base::TimePoint now, std::string_view from, const Message& message);
  /// Resends unacknowledged messages and ends claims past their deadline. To be called at least
  /// every 50 ms.
  void Tick(base::TimePoint now);
  Output TakeOutput();

  /// Whether this process serves claims now.
  [[nodiscard]] bool IsServing() const;
  [[nodiscard]] std::uint64_t ViewNumber() const;
  [[nodiscard]] std::size_t Bytes() const;
  [[nodiscard]] std::vector<std::string> RetiredDomains() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::registry
