#include "jobs/job.h"

#include <algorithm>
#include <array>

#include "base/name_table.h"
#include "jobs/commands.h"

namespace mangoroad::jobs {
namespace {

constexpr base::NameTable<JobState, 10> kStateNames{{
    {JobState::kQueued, "queued"},
    {JobState::kStarting, "starting"},
    {JobState::kRunning, "running"},
    {JobState::kCheckpointing, "checkpointing"},
    {JobState::kStopping, "stopping"},
    {JobState::kEvicted, "evicted"},
    {JobState::kSucceeded, "succeeded"},
    {JobState::kFailed, "failed"},
    {JobState::kCancelled, "cancelled"},
    {JobState::kUnplaceable, "unplaceable"},
}};

constexpr base::NameTable<JobEvent, 14> kEventNames{{
    {JobEvent::kStart, "start"},
    {JobEvent::kRun, "run"},
    {JobEvent::kRequestCheckpoint, "order-checkpoint"},
    {JobEvent::kCheckpointTaken, "checkpoint-taken"},
    {JobEvent::kRequestStop, "order-stop"},
    {JobEvent::kEvict, "evict"},
    {JobEvent::kStartRefused, "start-refused"},
    {JobEvent::kRetry, "retry"},
    {JobEvent::kSucceed, "succeed"},
    {JobEvent::kFail, "fail"},
    {JobEvent::kCancel, "cancel"},
    {JobEvent::kStopCancelled, "stop-cancelled"},
    {JobEvent::kMarkUnplaceable, "find-unplaceable"},
    {JobEvent::kReconsider, "reconsider"},
}};

constexpr base::NameTable<ChangeStatus, 9> kChangeStatusNames{{
    {ChangeStatus::kDone, "done"},
    {ChangeStatus::kCreated, "created"},
    {ChangeStatus::kExisting, "existing"},
    {ChangeStatus::kRepeated, "repeated"},
    {ChangeStatus::kKeyReused, "key-reused"},
    {ChangeStatus::kUnknownJob, "unknown-job"},
    {ChangeStatus::kStaleToken, "stale-token"},
    {ChangeStatus::kNotPermitted, "not-permitted"},
    {ChangeStatus::kMalformed, "malformed"},
}};

struct Transition {
  JobState from;
  JobEvent event;
  JobState to;
};

using S = JobState;
using E = JobEvent;

// The reported end of an attempt is accepted even after its lease has ended, unless a later attempt
// was started: the work is complete and must not be repeated.
constexpr auto kTransitions = std::to_array<Transition>({
    {S::kQueued, E::kStart, S::kStarting},
    {S::kQueued, E::kCancel, S::kCancelled},
    {S::kQueued, E::kMarkUnplaceable, S::kUnplaceable},
    {S::kQueued, E::kSucceed, S::kSucceeded},
    {S::kQueued, E::kFail, S::kFailed},
    {S::kQueued, E::kRetry, S::kQueued},

    {S::kStarting, E::kRun, S::kRunning},
    {S::kStarting, E::kCheckpointTaken, S::kRunning},
    {S::kStarting, E::kRequestCheckpoint, S::kCheckpointing},
    {S::kStarting, E::kRequestStop, S::kStopping},
    {S::kStarting, E::kEvict, S::kEvicted},
    {S::kStarting, E::kStartRefused, S::kQueued},
    {S::kStarting, E::kRetry, S::kQueued},
    {S::kStarting, E::kSucceed, S::kSucceeded},
    {S::kStarting, E::kFail, S::kFailed},
    {S::kStarting, E::kCancel, S::kStopping},

    {S::kRunning, E::kRun, S::kRunning},
    {S::kRunning, E::kCheckpointTaken, S::kRunning},
    {S::kRunning, E::kRequestCheckpoint, S::kCheckpointing},
    {S::kRunning, E::kRequestStop, S::kStopping},
    {S::kRunning, E::kEvict, S::kEvicted},
    {S::kRunning, E::kRetry, S::kQueued},
    {S::kRunning, E::kSucceed, S::kSucceeded},
    {S::kRunning, E::kFail, S::kFailed},
    {S::kRunning, E::kCancel, S::kStopping},

    {S::kCheckpointing, E::kRun, S::kRunning},
    {S::kCheckpointing, E::kCheckpointTaken, S::kCheckpointing},
    {S::kCheckpointing, E::kRequestStop, S::kStopping},
    {S::kCheckpointing, E::kEvict, S::kEvicted},
    {S::kCheckpointing, E::kStartRefused, S::kQueued},
    {S::kCheckpointing, E::kRetry, S::kQueued},
    {S::kCheckpointing, E::kSucceed, S::kSucceeded},
    {S::kCheckpointing, E::kFail, S::kFailed},
    {S::kCheckpointing, E::kCancel, S::kStopping},

    {S::kStopping, E::kCheckpointTaken, S::kStopping},
    {S::kStopping, E::kRequestStop, S::kStopping},
    {S::kStopping, E::kEvict, S::kEvicted},
    {S::kStopping, E::kStopCancelled, S::kCancelled},
    {S::kStopping, E::kStartRefused, S::kQueued},
    {S::kStopping, E::kRetry, S::kQueued},
    {S::kStopping, E::kSucceed, S::kSucceeded},
    {S::kStopping, E::kFail, S::kFailed},
    {S::kStopping, E::kCancel, S::kStopping},

    {S::kEvicted, E::kStart, S::kStarting},
    {S::kEvicted, E::kCheckpointTaken, S::kEvicted},
    {S::kEvicted, E::kCancel, S::kCancelled},
    {S::kEvicted, E::kMarkUnplaceable, S::kUnplaceable},
    {S::kEvicted, E::kRetry, S::kQueued},
    {S::kEvicted, E::kSucceed, S::kSucceeded},
    {S::kEvicted, E::kFail, S::kFailed},

    {S::kUnplaceable, E::kReconsider, S::kQueued},
    {S::kUnplaceable, E::kCancel, S::kCancelled},
    {S::kUnplaceable, E::kRetry, S::kQueued},
    {S::kUnplaceable, E::kSucceed, S::kSucceeded},
    {S::kUnplaceable, E::kFail, S::kFailed},
});

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  this->millicores += other.millicores;
  this->memory_mib += other.memory_mib;
  this->accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  this->millicores -= other.millicores;
  this->memory_mib -= other.memory_mib;
  this->accelerators -= other.accelerators;
  return *this;
}

bool Resources::FitsIn(const Resources& available) const {
  return this->millicores <= available.millicores && this->memory_mib <= available.memory_mib &&
         this->accelerators <= available.accelerators;
}

std::optional<JobState> NextState(JobState state, JobEvent event) {
  const auto transition = std::ranges::find_if(kTransitions, [&](const Transition& candidate) {
    return candidate.from == state && candidate.event == event;
  });
  if (transition == kTransitions.end()) return std::nullopt;
  return transition->to;
}

bool IsTerminal(JobState state) {
  return state == S::kSucceeded || state == S::kFailed || state == S::kCancelled;
}

bool HoldsLease(JobState state) {
  return state == S::kStarting || state == S::kRunning || state == S::kCheckpointing ||
         state == S::kStopping;
}

std::string_view NameOf(JobState state) { return base::NameOf(kStateNames, state); }
std::string_view NameOf(JobEvent event) { return base::NameOf(kEventNames, event); }
std::string_view NameOf(ChangeStatus status) { return base::NameOf(kChangeStatusNames, status); }

std::optional<JobState> JobStateOfName(std::string_view name) {
  return base::ValueOfName(kStateNames, name);
}

}  // namespace mangoroad::jobs
