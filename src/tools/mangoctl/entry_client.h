// Requests to the first entry VM that can serve them.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "mangoctl/http_client.h"

namespace mangoroad::mangoctl {

struct EntryOptions {
  /// Addresses in the order in which they are tried.
  std::vector<std::string> entries;
  /// Longest wait for one entry VM.
  std::chrono::milliseconds timeout{10'000};
  /// Value of the header Mangoroad-Operator-Token; none when empty.
  std::string operator_token;
};

/// Result of a request after all attempts.
struct Reply {
  /// 0 when no entry VM answered.
  int status = 0;
  std::string body;
  /// Entry VM that gave this answer, or a message for each one that was tried.
  std::string address;
  std::string message;
  /// An attempt was sent and its answer didn't arrive, so the request may have taken effect.
  bool may_have_run = false;
  /// No address was given, or one that isn't IP:PORT; `message` says which.
  bool has_bad_address = false;
};

/// Sends a request to one entry VM after the other until one gives an answer other than "no
/// quorum". A request whose answer was lost is sent again unchanged, in a second round also to
/// entry VMs that were tried before; each request with an effect therefore carries a change id or
/// key.
class EntryClient {
 public:
  /// `notice` is told of each failed attempt.
  EntryClient(EntryOptions entry_options, std::function<void(const std::string&)> on_notice);

  Reply Get(const std::string& path) const;
  Reply Post(const std::string& path, const std::string& body) const;
  const EntryOptions& Options() const { return this->options; }
  /// Waits longer for requests whose answer takes long by intent.
  void SetTimeout(std::chrono::milliseconds timeout) { this->options.timeout = timeout; }

 private:
  Reply Send(HttpRequest request) const;
  /// True when this reply ends the attempts.
  bool Attempt(const std::string& address, const HttpRequest& request, Reply& reply) const;

  EntryOptions options;
  std::function<void(const std::string&)> notice;
};

}  // namespace mangoroad::mangoctl
