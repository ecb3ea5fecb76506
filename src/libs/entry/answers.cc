#include "entry/answers.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace mangoroad::entry {
namespace {

constexpr int kDefaultStatus = 500;

constexpr std::array<std::pair<ErrorKind, int>, kErrorKindNames.size()> kStatuses{{
    {ErrorKind::kBadRequest, 400},     {ErrorKind::kOperatorToken, 401},
    {ErrorKind::kNotFound, 404},       {ErrorKind::kUnknownRow, 404},
    {ErrorKind::kMethod, 405},         {ErrorKind::kTooLarge, 413},
    {ErrorKind::kConflict, 409},       {ErrorKind::kInDoubt, 409},
    {ErrorKind::kKeyReused, 422},      {ErrorKind::kFaults, 422},
    {ErrorKind::kChangeIdReused, 422}, {ErrorKind::kRefused, 422},
    {ErrorKind::kUnsafeChange, 422},   {ErrorKind::kOverLimit, 429},
    {ErrorKind::kTargetFailed, 502},   {ErrorKind::kOverloaded, 503},
    {ErrorKind::kNoTarget, 503},       {ErrorKind::kHomeUnreachable, 503},
    {ErrorKind::kDraining, 503},       {ErrorKind::kNoQuorum, 503},
    {ErrorKind::kDeadline, 504},
}};

}  // namespace

int StatusOf(ErrorKind kind) {
  const auto entry =
      std::ranges::find(kStatuses, kind, [](const auto& candidate) { return candidate.first; });
  return entry == kStatuses.end() ? kDefaultStatus : entry->second;
}

std::string ErrorBody(ErrorKind kind, std::string_view message, Outcome outcome) {
  const nlohmann::json body{{"error", base::NameOf(kErrorKindNames, kind)},
                            {"message", message},
                            {"outcome", base::NameOf(kOutcomeNames, outcome)}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

void ReplyError(net::HttpExchange& exchange, ErrorKind kind, std::string_view message,
                Outcome outcome) {
  const int status = StatusOf(kind);
  net::HttpHeaders headers{{"Content-Type", "application/json"}};
  headers.Add(std::string(kOutcomeHeader), std::string(base::NameOf(kOutcomeNames, outcome)));
  if (status == 429 || status == 503) headers.Add("Retry-After", "1");
  exchange.Reply(status, headers, ErrorBody(kind, message, outcome));
}

void ReplyJson(net::HttpExchange& exchange, int status, std::string_view body) {
  exchange.Reply(status, {{"Content-Type", "application/json"}}, body);
}

}  // namespace mangoroad::entry
