#include "controller/delegation_messages.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "wire/record_codec.h"
#include "workload/workload_codec.h"

namespace mangoroad::dispatch {

using workload::IsRecord;

// The leader reads checkpoints of ended runs only.
auto FieldsOf(IsRecord<RunningRow> auto& r) { return std::tie(r.task, r.run, r.percent, r.usage); }
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
// The payloads of starts are encoded apart, see CallBatchRecord.
auto FieldsOf(IsRecord<StartRequest> auto& r) {
  return std::tie(r.task, r.run, r.checkpoint, r.deadline, r.fence);
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
auto FieldsOf(IsRecord<TargetContact> auto& r) { return std::tie(r.target, r.clock); }
auto FieldsOf(IsRecord<Announcement> auto& r) { return std::tie(r.target, r.clock); }
auto FieldsOf(IsRecord<RelayedReport> auto& r) { return std::tie(r.number, r.announcement); }
auto FieldsOf(IsRecord<ResultBatch> auto& r) {
  return std::tie(r.fence, r.failure_domain, r.incarnation, r.clock_us, r.leader_clock_us,
                  r.results, r.contacts, r.reports);
}

namespace {

/// A batch in the format of its message. The tasks of a step, up to hundreds, share a payload of up
/// to 4 kB, which is encoded once.
template <typename Batch, typename Payload>
struct CallBatchRecord {
  Batch batch;
  std::vector<Payload> payloads;
  /// For each start in the batch, the position of its payload.
  std::vector<std::uint32_t> positions;
};
using EncodedBatch = CallBatchRecord<const CallBatch&, std::string_view>;
using DecodedBatch = CallBatchRecord<CallBatch, std::string>;

auto FieldsOf(const EncodedBatch& r) { return std::tie(r.batch, r.payloads, r.positions); }
auto FieldsOf(DecodedBatch& r) { return std::tie(r.batch, r.payloads, r.positions); }

}  // namespace

std::string EncodeCallBatch(const CallBatch& batch) {
  EncodedBatch record{batch, {}, {}};
  std::unordered_map<std::string_view, std::uint32_t> known;
  for (const DelegatedCall& call : batch.calls) {
    const auto* start = std::get_if<StartRequest>(&call.request);
    if (start == nullptr) continue;
    const auto [entry, is_new] =
        known.emplace(start->payload, static_cast<std::uint32_t>(record.payloads.size()));
    if (is_new) record.payloads.push_back(entry->first);
    record.positions.push_back(entry->second);
  }
  return wire::EncodeRecord(record);
}

std::optional<CallBatch> DecodeCallBatch(std::string_view bytes) {
  auto record = wire::DecodeRecord<DecodedBatch>(bytes);
  if (!record) return std::nullopt;
  auto position = record->positions.begin();
  for (DelegatedCall& call : record->batch.calls) {
    auto* start = std::get_if<StartRequest>(&call.request);
    if (start == nullptr) continue;
    if (position == record->positions.end() || *position >= record->payloads.size()) {
      return std::nullopt;
    }
    start->payload = record->payloads[*position++];
  }
  if (position != record->positions.end()) return std::nullopt;
  return std::move(record->batch);
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
