// What the leader logs about replicas that catch up.
#pragma once

#include "base/time.h"
#include "consensus/replica.h"

namespace mangoroad::controller {

/// Logs the progress of each learner once a second, so that a late replacement of a voter can be
/// traced: whether the learner is silent, receives a snapshot, or follows too slowly.
class LearnerLog {
 public:
  /// `status` is that of this replica, the leader.
  void LogIfDue(base::TimePoint now, const consensus::Status& status);

 private:
  base::TimePoint next_log_at;
};

}  // namespace mangoroad::controller
