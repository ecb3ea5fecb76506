#include "controller/delegation_messages.h"

#include <algorithm>

#include "wire/record_codec.h"
#include "workload/workload_codec.h"

namespace mangoroad::dispatch {

using workload::IsRecord;

auto FieldsOf(IsRecord<RunningRow> auto& r) {
  return std::tie(r.task, r.run, r.checkpoint, r.percent, r.usage);
}
auto FieldsOf(IsRecord<EndRow> auto& r) {
  return std::tie(r.number, r.task, r.run, r.how, r.checkpoint);
}
auto FieldsOf(IsRecord<TargetLists> auto& r) {
  return std::tie(r.clock, r.incarnation, r.running, r.ends, r.is_partial);
}

}  // namespace mangoroad::dispatch

namespace mangoroad::controller {

using workload::IsRecord;

// The failure domain of an endpoint only matters to the leader.
auto FieldsOf(IsRecord<TargetEndpoint> auto& r) { return std::tie(r.address, r.target); }
auto FieldsOf(IsRecord<StartRequest> auto& r) {
  return std::tie(r.task, r.run, r.payload, r.checkpoint, r.deadline, r.fence);
}
auto FieldsOf(IsRecord<StopRequest> auto& r) { return std::tie(r.task, r.run, r.fence); }
auto FieldsOf(IsRecord<ThrottleRequest> auto& r) {
  return std::tie(r.task, r.run, r.rate_percent, r.fence);
}
auto FieldsOf(IsRecord<PollRequest> auto& r) {
  return std::tie(r.fence, r.acknowledged, r.deadline, r.wait);
}
auto FieldsOf(IsRecord<DelegatedCall> auto& r) { return std::tie(r.number, r.to, r.request); }
auto FieldsOf(IsRecord<ReportVerdict> auto& r) { return std::tie(r.number, r.accepted); }
auto FieldsOf(IsRecord<DelegateAddress> auto& r) { return std::tie(r.failure_domain, r.address); }
auto FieldsOf(IsRecord<CallBatch> auto& r) {
  return std::tie(r.fence, r.delegate_incarnation, r.delegate_clock_us, r.leader_clock_us,
                  r.delegates, r.calls, r.verdicts);
}
auto FieldsOf(IsRecord<DelegatedResult> auto& r) {
  return std::tie(r.number, r.status, r.clock, r.lists);
}
auto FieldsOf(IsRecord<TargetContact> auto& r) { return std::tie(r.target, r.sequence, r.clock); }
auto FieldsOf(IsRecord<Announcement> auto& r) { return std::tie(r.target, r.sequence, r.clock); }
auto FieldsOf(IsRecord<RelayedReport> auto& r) { return std::tie(r.number, r.announcement); }
auto FieldsOf(IsRecord<ResultBatch> auto& r) {
  return std::tie(r.fence, r.failure_domain, r.incarnation, r.clock_us, r.leader_clock_us,
                  r.results, r.contacts, r.reports);
}

std::string EncodeCallBatch(const CallBatch& batch) { return wire::EncodeRecord(batch); }

std::optional<CallBatch> DecodeCallBatch(std::string_view bytes) {
  return wire::DecodeRecord<CallBatch>(bytes);
}

std::string EncodeResultBatch(const ResultBatch& batch) { return wire::EncodeRecord(batch); }

std::optional<ResultBatch> DecodeResultBatch(std::string_view bytes) {
  auto batch = wire::DecodeRecord<ResultBatch>(bytes);
  if (!batch) return std::nullopt;
  const auto has_known_values = [](const DelegatedResult& result) {
    return base::IsNamed(kCallStatusNames, result.status) &&
           (!result.lists || std::ranges::all_of(result.lists->ends, [](const auto& row) {
             return base::IsNamed(workload::kRunEndNames, row.how);
           }));
  };
  if (!std::ranges::all_of(batch->results, has_known_values)) return std::nullopt;
  return batch;
}

}  // namespace mangoroad::controller
