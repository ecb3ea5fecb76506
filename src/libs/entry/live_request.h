// A live request on its way through an entry VM.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "entry/responder.h"
#include "lending/holder.h"
#include "net/http_client.h"
#include "net/http_message.h"
#include "registry/messages.h"
#include "table/table.h"

namespace mangoroad::entry {

/// One attempt at a target.
struct Attempt {
  std::string target;
  net::HttpClient::CallId call = 0;
  bool refused_by_target = false;
  int status = 0;
};

struct LiveRequest {
  std::uint64_t number = 0;
  std::string id;  // unique in the cluster; goes into Mangoroad-Request-Id
  table::Row row;
  net::HttpMethod method = net::HttpMethod::kGet;
  std::string target_path;  // with query
  net::HttpHeaders headers;
  std::string body;
  std::string key;
  std::int64_t key_time_ms = 0;
  base::TimePoint arrived;
  base::TimePoint deadline;
  bool relayed = false;  // came from another entry VM
  bool claimed = false;  // its key is claimed here
  std::shared_ptr<Responder> responder;
  std::map<int, Attempt> attempts;
  /// The attempt, or the relay, whose answer goes to the caller; nothing before the first headers.
  std::optional<int> answering;
  bool truncated = false;
  /// Copy of the answer for the key registry, as long as it is small enough.
  std::optional<registry::Response> recorded;
  std::string last_target;
};

using LiveRequestPtr = std::shared_ptr<LiveRequest>;

/// Reads the request of a caller, or says what is wrong with its headers.
base::Result<LiveRequestPtr, std::string> ReadLiveRequest(const net::HttpExchange& exchange,
                                                          const table::Row& row,
                                                          base::TimePoint now);

/// The request as it goes to another entry VM.
RelayRequest ToRelay(const LiveRequest& request, std::uint64_t number, base::Duration left);
/// Nothing when the method is unknown.
std::optional<LiveRequestPtr> FromRelay(const RelayRequest& relay, const table::Row& row,
                                        base::TimePoint now);

/// Digest by which a repeated key is recognised: method, path and body.
std::string DigestOf(const LiveRequest& request);

}  // namespace mangoroad::entry
