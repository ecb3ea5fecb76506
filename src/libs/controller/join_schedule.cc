#include "controller/join_schedule.h"

namespace mangoroad::controller {

bool JoinSchedule::IsRequestDue(base::TimePoint now, const consensus::ReplicaId& self,
                                const consensus::Status& status) {
  if (!status.leader.empty()) {
    this->without_leader_since.reset();
  } else if (!this->without_leader_since) {
    this->without_leader_since = now;
  }
  if (!status.configuration.Has(self)) return true;
  return this->without_leader_since && now - *this->without_leader_since >= kMaxTimeWithoutLeader;
}

}  // namespace mangoroad::controller
