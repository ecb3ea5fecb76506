#include "entry/live_request.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include "audit/digest.h"

namespace mangoroad::entry {
namespace {

constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;
constexpr std::size_t kMaxKeyBytes = 128;

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// Headers that concern mangoroad itself and are set anew on the way to a target.
bool IsOwnHeader(std::string_view name) {
  constexpr std::string_view kPrefix = "mangoroad-";
  return name.size() > kPrefix.size() &&
         std::ranges::equal(name.substr(0, kPrefix.size()), kPrefix, [](char a, char b) {
           return std::tolower(static_cast<unsigned char>(a)) == b;
         });
}

/// Sets the key and its time from the headers; the fault, or nothing.
std::optional<std::string> ReadKey(const net::HttpHeaders& headers, LiveRequest& request) {
  if (const auto key = headers.Find("Idempotency-Key")) {
    const bool printable =
        std::ranges::all_of(*key, [](unsigned char c) { return c >= ' ' && c < 0x7f; });
    if (key->empty() || key->size() > kMaxKeyBytes || !printable) {
      return "Idempotency-Key must be 1 to 128 printable ASCII characters";
    }
    request.key = *key;
  }
  if (const auto time = headers.Find("Idempotency-Key-Time")) {
    const auto parsed = ParseNumber(*time);
    if (!parsed || *parsed < 0) {
      return "Idempotency-Key-Time must be milliseconds since 1970, not '" + std::string(*time) +
             "'";
    }
    request.key_time_ms = *parsed;
  }
  return std::nullopt;
}

}  // namespace

base::Result<LiveRequestPtr, std::string> ReadLiveRequest(const net::HttpExchange& exchange,
                                                          const table::Row& row,
                                                          base::TimePoint now) {
  auto request = std::make_shared<LiveRequest>();
  std::int64_t deadline_ms = row.deadline_ms == 0 ? kMaxDeadlineMs : row.deadline_ms;
  if (const auto text = exchange.headers.Find("Mangoroad-Deadline-Ms")) {
    const auto parsed = ParseNumber(*text);
    if (!parsed || *parsed < 1 || *parsed > kMaxDeadlineMs) {
      return "Mangoroad-Deadline-Ms must be 1 to 86400000, not '" + std::string(*text) + "'";
    }
    deadline_ms = *parsed;
  }
  if (auto fault = ReadKey(exchange.headers, *request)) return *fault;
  request->row = row;
  request->method = exchange.method;
  request->target_path = exchange.path;
  if (!exchange.query.empty()) request->target_path += "?" + exchange.query;
  for (const auto& [name, value] : exchange.headers.Fields()) {
    if (!net::IsHopByHopHeader(name) && !IsOwnHeader(name)) request->headers.Add(name, value);
  }
  request->body = exchange.body;
  request->arrived = now;
  request->deadline = now + std::chrono::milliseconds(deadline_ms);
  return request;
}

RelayRequest ToRelay(const LiveRequest& request, std::uint64_t number, base::Duration left) {
  RelayRequest relay;
  relay.request = number;
  relay.row = request.row.row;
  relay.method = base::NameOf(net::kHttpMethodNames, request.method);
  relay.target = request.target_path;
  relay.headers = request.headers.Fields();
  relay.body = request.body;
  relay.deadline_us = left.count();
  relay.key = request.key;
  relay.key_time_ms = request.key_time_ms;
  return relay;
}

std::optional<LiveRequestPtr> FromRelay(const RelayRequest& relay, const table::Row& row,
                                        base::TimePoint now) {
  const auto method = base::ValueOfName(net::kHttpMethodNames, relay.method);
  if (!method) return std::nullopt;
  auto request = std::make_shared<LiveRequest>();
  request->row = row;
  request->method = *method;
  request->target_path = relay.target;
  for (const auto& [name, value] : relay.headers) request->headers.Add(name, value);
  request->body = relay.body;
  request->key = relay.key;
  request->key_time_ms = relay.key_time_ms;
  request->arrived = now;
  request->deadline = now + base::Duration(relay.deadline_us);
  request->relayed = true;
  return request;
}

std::string DigestOf(const LiveRequest& request) {
  return audit::Sha256Hex(std::string(base::NameOf(net::kHttpMethodNames, request.method)) + "\n" +
                          request.target_path + "\n" + request.body);
}

}  // namespace mangoroad::entry
