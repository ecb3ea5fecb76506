// Claims of idempotency keys in one failure domain, agreed by all members of a view.
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

/// Members of the key registry of one failure domain, set by the replicated log. Members are
/// identities of processes, so a restarted process, which has lost its claims, isn't one of them.
struct View {
  std::uint64_t number = 0;  ///< Grows by 1 with each change.
  std::vector<std::string> members;
  std::vector<std::string> previous;  ///< Members of the view before; empty for the first view.
};

/// Number that the caller of Claim() chooses to tell its requests apart.
using RequestNumber = std::uint64_t;

enum class DecisionKind {
  kRun,        ///< The claim is acknowledged by all members: the request may be sent once.
  kAnswer,     ///< The recorded answer of the first request with this key.
  kInDoubt,    ///< 409, outcome `unknown`.
  kKeyReused,  ///< 422: the key was used for another request.
  kNotRun,     ///< 503, outcome `not-run`.
};

struct Decision {
  DecisionKind kind = DecisionKind::kNotRun;
  Answer answer;       ///< For kAnswer.
  std::string reason;  ///< For kNotRun.
};

struct ClaimRequest {
  RequestNumber request = 0;
  std::string key;
  std::string digest;              ///< Of method, path and body.
  std::vector<std::string> place;  ///< Of the row, for keys of retired domains.
  std::int64_t key_time_ms = 0;    ///< `Idempotency-Key-Time`; 0 when the caller gave none.
  base::TimePoint deadline;        ///< No decision by then means kNotRun.
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

/// One member, or an entry VM of the domain that isn't a member yet.
///
/// After kRun, the caller must check the request's deadline before each send: a process that was
/// paused longer than kRetention would otherwise send a request whose claim has expired.
class KeyRegistry {
 public:
  /// `identity` is unique for each start of the process; `most_bytes` bounds the stored claims.
  KeyRegistry(std::string identity, std::size_t most_bytes);
  ~KeyRegistry();
  KeyRegistry(KeyRegistry&&) noexcept;
  KeyRegistry& operator=(KeyRegistry&&) noexcept;

  /// Stops serving the last view and starts the new one once its members' claims are united.
  void SetView(base::TimePoint now, const View& view);
  /// Records that a failure domain is lost for good since `wall_time_ms` (since 1970). For
  /// kRetention, keys that it may have claimed are in doubt unless their time is later.
  void Retire(base::TimePoint now, std::string_view domain, std::int64_t wall_time_ms);

  /// Starts a claim. Exactly one decision follows in TakeOutput().
  void Claim(base::TimePoint now, const ClaimRequest& request);
  /// Records the answer of a request that got kRun.
  void Finish(base::TimePoint now, std::string_view key, const Answer& answer);
  /// Frees the key of a request that got kRun and provably wasn't run.
  void Release(base::TimePoint now, std::string_view key);

  void OnMessage(base::TimePoint now, std::string_view from, const Message& message);
  /// Sends again what wasn't answered and ends what is due. Call it at least every 50 ms.
  void Tick(base::TimePoint now);
  Output TakeOutput();

  /// Whether claims are served now.
  [[nodiscard]] bool Serves() const;
  [[nodiscard]] std::uint64_t ViewNumber() const;
  [[nodiscard]] std::size_t Bytes() const;
  [[nodiscard]] std::vector<std::string> Retired() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::registry
