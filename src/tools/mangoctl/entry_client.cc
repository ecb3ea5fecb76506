#include "mangoctl/entry_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace mangoroad::mangoctl {
namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kRounds = 2;

}  // namespace

EntryClient::EntryClient(EntryOptions entry_options,
                         std::function<void(const std::string&)> on_notice)
    : options(std::move(entry_options)), notice(std::move(on_notice)) {}

Reply EntryClient::Get(const std::string& path) const { return this->Send({"GET", path, {}, ""}); }

Reply EntryClient::Post(const std::string& path, const std::string& body) const {
  return this->Send({"POST", path, {}, body});
}

Reply EntryClient::Send(HttpRequest request) const {
  if (!this->options.operator_token.empty()) {
    request.headers.emplace_back("Mangoroad-Operator-Token", this->options.operator_token);
  }
  Reply reply;
  if (this->options.entries.empty()) {
    reply.message = "no entry VM is given; use --entry IP:PORT or set MANGOROAD_ENTRY";
    reply.has_bad_address = true;
  }
  for (int round = 0; round < kRounds; ++round) {
    const bool answered = std::ranges::any_of(
        this->options.entries,
        [&](const std::string& address) { return this->Attempt(address, request, reply); });
    // Only a lost answer makes it worthwhile to ask the same entry VMs again.
    if (answered || !reply.may_have_run || request.method == "GET") break;
  }
  return reply;
}

bool EntryClient::Attempt(const std::string& address, const HttpRequest& request,
                          Reply& reply) const {
  auto result = SendHttp(address, request, this->options.timeout);
  if (!base::Ok(result)) {
    const HttpError& error = base::ErrorOf(result);
    reply.may_have_run = reply.may_have_run || error.kind == HttpErrorKind::kNoAnswer;
    reply.has_bad_address = error.kind == HttpErrorKind::kBadAddress;
    reply.message += (reply.message.empty() ? "" : "; ") + error.message;
    if (!reply.has_bad_address) this->notice(error.message);
    return reply.has_bad_address;
  }
  HttpAnswer& answer = base::ValueOf(result);
  reply.status = answer.status;
  reply.body = std::move(answer.body);
  reply.address = address;
  if (answer.status != kServiceUnavailable) {
    reply.may_have_run = false;
    return true;
  }
  // An entry VM that sent a change to a leader and got no answer says so by this outcome.
  const bool is_unknown = reply.body.find("\"unknown\"") != std::string::npos;
  reply.may_have_run = reply.may_have_run || is_unknown;
  this->notice(fmt::format("{}: not accepted (503)", address));
  return false;
}

}  // namespace mangoroad::mangoctl
