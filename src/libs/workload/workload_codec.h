// Serialization of workload records for the log, snapshots and messages between processes.
#pragma once

#include <tuple>
#include <type_traits>

#include "workload/commands.h"

namespace mangoroad::workload {

template <typename Value, typename Wanted>
concept IsRecord = std::is_same_v<std::remove_const_t<Value>, Wanted>;

// The field order defines the format. Each function is used for encoding and decoding.

auto FieldsOf(IsRecord<Queue> auto& r) {
  return std::tie(r.name, r.host, r.prefix, r.service, r.timeout_ms, r.objective_ms, r.priority,
                  r.attempts, r.stretch);
}
auto FieldsOf(IsRecord<Service> auto& r) { return std::tie(r.name, r.strict_admission); }
auto FieldsOf(IsRecord<Declaration> auto& r) {
  return std::tie(r.version, r.queues, r.services, r.text);
}
auto FieldsOf(IsRecord<Resources> auto& r) { return std::tie(r.cpu, r.memory_mb, r.accelerators); }
auto FieldsOf(IsRecord<StepSpec> auto& r) {
  return std::tie(r.count, r.resources, r.estimate_ms, r.after, r.required_label, r.data_rack,
                  r.image, r.max_per_target, r.latency_slo_ms, r.max_unavailable, r.checkpoints,
                  r.gang, r.same_rack, r.allows_copies, r.long_running, r.best_effort);
}
auto FieldsOf(IsRecord<JobSpec> auto& r) {
  return std::tie(r.payload, r.steps, r.occurrences, r.first_ms, r.interval_ms);
}
auto FieldsOf(IsRecord<StepRef> auto& r) { return std::tie(r.job, r.occurrence, r.step); }
auto FieldsOf(IsRecord<TaskRef> auto& r) { return std::tie(r.job, r.occurrence, r.step, r.index); }
auto FieldsOf(IsRecord<TargetIncarnation> auto& r) { return std::tie(r.id, r.number); }
auto FieldsOf(IsRecord<Task> auto& r) {
  return std::tie(r.phase, r.run, r.failures, r.target, r.checkpoint);
}
auto FieldsOf(IsRecord<Step> auto& r) { return std::tie(r.tasks, r.waiting, r.running, r.done); }
auto FieldsOf(IsRecord<Job> auto& r) {
  return std::tie(r.id, r.queue, r.service, r.priority, r.attempts, r.stretch, r.objective_ms,
                  r.spec, r.remaining_ms, r.state, r.accepted_ms, r.finished_ms, r.open,
                  r.next_occurrence);
}
auto FieldsOf(IsRecord<TargetRecord> auto& r) {
  return std::tie(r.incarnation, r.address, r.failure_domain, r.service, r.rack, r.labels,
                  r.capacity, r.draining, r.acknowledged);
}
auto FieldsOf(IsRecord<Declare> auto& r) { return std::tie(r.declaration); }
auto FieldsOf(IsRecord<Submit> auto& r) { return std::tie(r.id, r.queue, r.spec, r.at_ms); }
auto FieldsOf(IsRecord<Cancel> auto& r) { return std::tie(r.id, r.at_ms); }
auto FieldsOf(IsRecord<RegisterTarget> auto& r) { return std::tie(r.target); }
auto FieldsOf(IsRecord<RemoveTarget> auto& r) { return std::tie(r.incarnation); }
auto FieldsOf(IsRecord<RetireTarget> auto& r) { return std::tie(r.incarnation); }
auto FieldsOf(IsRecord<InheritLease> auto& r) { return std::tie(r.incarnation, r.deadline_ms); }
auto FieldsOf(IsRecord<CorrectTarget> auto& r) { return std::tie(r.target); }
auto FieldsOf(IsRecord<Start> auto& r) { return std::tie(r.task, r.run, r.target); }
auto FieldsOf(IsRecord<End> auto& r) {
  return std::tie(r.task, r.run, r.target, r.how, r.checkpoint, r.number);
}
auto FieldsOf(IsRecord<DueOccurrence> auto& r) { return std::tie(r.job, r.number); }
auto FieldsOf(IsRecord<RunChanges> auto& r) {
  return std::tie(r.ends, r.due_occurrences, r.starts, r.at_ms);
}

}  // namespace mangoroad::workload
