#include "controller/caller_messages.h"

#include "wire/record_codec.h"
#include "workload/workload_codec.h"

namespace mangoroad::controller {

using base::IsNamed;
using workload::IsRecord;

auto FieldsOf(IsRecord<CallerRequest> auto& r) { return std::tie(r.verb, r.host, r.path, r.spec); }
auto FieldsOf(IsRecord<CallerReply> auto& r) {
  return std::tie(r.outcome, r.state, r.pending, r.retry_after_ms, r.reason);
}
auto FieldsOf(IsRecord<RelayReply> auto& r) {
  return std::tie(r.answered, r.reply, r.leader, r.members);
}

std::string EncodeCallerRequest(const CallerRequest& request) {
  return wire::EncodeRecord(request);
}

std::optional<CallerRequest> DecodeCallerRequest(std::string_view bytes) {
  auto request = wire::DecodeRecord<CallerRequest>(bytes);
  if (request && !IsNamed(kCallerVerbNames, request->verb)) return std::nullopt;
  return request;
}

std::string EncodeRelayReply(const RelayReply& reply) { return wire::EncodeRecord(reply); }

std::optional<RelayReply> DecodeRelayReply(std::string_view bytes) {
  auto reply = wire::DecodeRecord<RelayReply>(bytes);
  if (!reply || !IsNamed(kCallerOutcomeNames, reply->reply.outcome) ||
      !IsNamed(workload::kJobStateNames, reply->reply.state)) {
    return std::nullopt;
  }
  return reply;
}

}  // namespace mangoroad::controller
