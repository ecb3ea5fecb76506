#include "controller/learner_log.h"

#include "log/log.h"

namespace mangoroad::controller {
namespace {

constexpr base::Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

void LearnerLog::LogIfDue(base::TimePoint now, const consensus::Status& status) {
  if (now < this->next_log_at) return;
  this->next_log_at = now + kLogInterval;
  for (const consensus::PeerStatus& peer : status.peers) {
    if (!status.configuration.HasLearner(peer.id)) continue;
    log::Info(log::Category::kMembership, "learner follows",
              {{"replica", peer.id},
               {"accepted", peer.match_index},
               {"synced", peer.synced_index},
               {"last", status.last_index},
               {"in_contact", peer.active},
               {"receives_snapshot", peer.receives_snapshot},
               {"caught_up", peer.caught_up}});
  }
}

}  // namespace mangoroad::controller
