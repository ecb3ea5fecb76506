#include "entry/cluster_machine.h"

#include <set>
#include <utility>

namespace mangoroad::entry {

std::string JobSubState::Apply(state::ApplyContext& context, std::string_view payload) {
  return this->book.Apply(context.index, payload);
}

std::string JobSubState::Snapshot() const { return this->book.Snapshot(); }

base::Result<base::Done, state::StateError> JobSubState::Restore(std::string_view bytes) {
  auto restored = this->book.Restore(bytes);
  if (base::Ok(restored)) return base::Done{};
  return state::StateError{state::StateErrorKind::kMalformed, base::ErrorOf(restored).message};
}

std::vector<std::string> JobSubState::RowsInUse() const {
  std::set<std::string> rows;
  this->book.ForEachActive([&](const jobs::Job& job) { rows.insert(job.spec.row); });
  return {rows.begin(), rows.end()};
}

ClusterMachine::ClusterMachine() {
  this->state.AddSubState(state::SubStateKind::kJobs, this->jobs);
}

std::string ClusterMachine::Apply(consensus::Index index, consensus::Term term,
                                  std::string_view command) {
  return this->state.Apply(index, term, command).answer;
}

std::string ClusterMachine::Snapshot() const { return this->state.Snapshot(); }

bool ClusterMachine::Restore(std::string_view snapshot) {
  return base::Ok(this->state.Restore(snapshot));
}

}  // namespace mangoroad::entry
