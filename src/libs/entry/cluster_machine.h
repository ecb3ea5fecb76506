// The replicated state of the cluster as the log applies it: table, views, targets, audit trail and
// jobs.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "entry/log_service.h"
#include "jobs/job_store.h"
#include "state/cluster_state.h"

namespace mangoroad::entry {

/// Makes the job book a part of the replicated state.
class JobSubState : public state::SubState {
 public:
  std::string Apply(state::ApplyContext& context, std::string_view payload) override;
  std::string Snapshot() const override;
  base::Result<base::Done, state::StateError> Restore(std::string_view bytes) override;
  std::vector<std::string> RowsInUse() const override;

  [[nodiscard]] const jobs::JobStore& Book() const { return this->book; }

 private:
  jobs::JobStore book;
};

class ClusterMachine : public AppliedState {
 public:
  ClusterMachine();

  std::string Apply(consensus::Index index, consensus::Term term,
                    std::string_view command) override;
  std::string Snapshot() const override;
  bool Restore(std::string_view snapshot) override;

  [[nodiscard]] const state::ClusterState& State() const { return this->state; }
  [[nodiscard]] const jobs::JobStore& Jobs() const { return this->jobs.Book(); }

 private:
  JobSubState jobs;
  state::ClusterState state;
};

}  // namespace mangoroad::entry
