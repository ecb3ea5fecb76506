#include "placement/fleet.h"

#include <algorithm>
#include <utility>

#include "base/soft_assert.h"

namespace mangoroad::placement::internal {

Resources Target::Allocatable() const {
  Resources usable = this->spec.capacity;
  usable -= this->spec.service_reserve;
  return usable;
}

Resources Target::Free() const {
  Resources free = this->Allocatable();
  free -= this->reserved;
  return free;
}

bool Target::Accepts(std::string_view row) const {
  return this->spec.accepted_rows.empty() ||
         std::ranges::find(this->spec.accepted_rows, row) != this->spec.accepted_rows.end();
}

DomainNumber Fleet::DomainOf(std::string_view name) {
  const auto known = std::ranges::find(this->domain_names, name);
  if (known != this->domain_names.end()) {
    return static_cast<DomainNumber>(known - this->domain_names.begin());
  }
  // Domains beyond the limit of the index share the last number; only their preference is lost.
  MANGOROAD_SOFT_ASSERT(this->domain_names.size() < kMaxDomains, return kMaxDomains - 1);
  this->domain_names.emplace_back(name);
  return static_cast<DomainNumber>(this->domain_names.size() - 1);
}

TargetNumber Fleet::NumberOf(std::string_view name) {
  const auto next = static_cast<TargetNumber>(this->targets.size());
  const auto [number, added] = this->target_numbers.try_emplace(std::string(name), next);
  if (added) {
    this->targets.emplace_back();
    this->targets.back().spec.name = name;
  }
  return number->second;
}

TargetNumber Fleet::SetTarget(const TargetSpec& spec) {
  const TargetNumber number = this->NumberOf(spec.name);
  Target& target = this->targets.at(number);
  if (!target.known) ++this->known_count;
  const std::string old_rack = std::exchange(target.spec, spec).rack;
  target.known = true;
  target.domain = this->DomainOf(spec.failure_domain);
  if (old_rack != spec.rack) {
    for (const RowTotal& mix : target.row_totals) {
      this->rack_counts[old_rack][mix.row] -= mix.count;
      this->rack_counts[spec.rack][mix.row] += mix.count;
    }
  }
  this->Reindex(number);
  ++this->epoch;
  return number;
}

void Fleet::RemoveTarget(std::string_view name) {
  const auto number = this->FindTarget(name);
  if (!number || !this->targets.at(*number).known) return;
  this->targets.at(*number).known = false;
  --this->known_count;
  this->Reindex(*number);
}

std::optional<TargetNumber> Fleet::FindTarget(std::string_view name) const {
  const auto number = this->target_numbers.find(std::string(name));
  if (number == this->target_numbers.end()) return std::nullopt;
  return number->second;
}

void Fleet::Suspend(TargetNumber target, bool suspended) {
  this->targets.at(target).suspended = suspended;
  this->Reindex(target);
  if (!suspended) ++this->epoch;
}

void Fleet::ReserveTarget(TargetNumber target, JobId job) {
  this->targets.at(target).reserved_for = job;
  this->Reindex(target);
  if (job == 0) ++this->epoch;
}

void Fleet::Reindex(TargetNumber number) {
  const Target& target = this->targets.at(number);
  if (target.known && target.spec.accepts_starts) {
    this->capacity_index.Set(number, target.domain, target.Allocatable());
  } else {
    this->capacity_index.Remove(number);
  }
  const bool open =
      target.known && target.spec.accepts_starts && !target.suspended && target.reserved_for == 0;
  if (open) {
    this->free_index.Set(number, target.domain, target.Free());
  } else {
    this->free_index.Remove(number);
  }
}

void Fleet::UpdateRowTotal(Target& target, const Task& task, int sign) {
  auto mix = std::ranges::find(target.row_totals, task.row, &RowTotal::row);
  if (mix == target.row_totals.end()) {
    target.row_totals.push_back({task.row});
    mix = target.row_totals.end() - 1;
  }
  mix->count += sign;
  mix->millicores += sign * task.request.reservation.millicores;
  this->rack_counts[target.spec.rack][task.row] += sign;
  if (mix->count == 0) target.row_totals.erase(mix);
}

Task& Fleet::AddTask(Task task) {
  Target& target = this->targets.at(task.target);
  target.reserved += task.request.reservation;
  target.tasks.push_back(task.job);
  this->UpdateRowTotal(target, task, 1);
  this->Reindex(task.target);
  const JobId job = task.job;
  return this->tasks.insert_or_assign(job, std::move(task)).first->second;
}

std::optional<Task> Fleet::RemoveTask(JobId job) {
  const auto found = this->tasks.find(job);
  if (found == this->tasks.end()) return std::nullopt;
  Task task = std::move(found->second);
  this->tasks.erase(found);
  Target& target = this->targets.at(task.target);
  target.reserved -= task.request.reservation;
  std::erase(target.tasks, job);
  this->UpdateRowTotal(target, task, -1);
  this->Reindex(task.target);
  ++this->epoch;
  return task;
}

Task* Fleet::FindTask(JobId job) {
  const auto found = this->tasks.find(job);
  return found == this->tasks.end() ? nullptr : &found->second;
}

const Task* Fleet::FindTask(JobId job) const {
  const auto found = this->tasks.find(job);
  return found == this->tasks.end() ? nullptr : &found->second;
}

std::uint32_t Fleet::CountOnRack(std::string_view rack, RowNumber row) const {
  const auto counts = this->rack_counts.find(std::string(rack));
  if (counts == this->rack_counts.end()) return 0;
  const auto count = counts->second.find(row);
  return count == counts->second.end() ? 0 : count->second;
}

}  // namespace mangoroad::placement::internal
