#include "jobs/job_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "jobs/jobs_codec.h"

namespace mangoroad::jobs {
namespace {

constexpr std::size_t kStateCount = 10;
constexpr std::size_t kMaxKeyLength = 128;

// Team names contain no control characters, so the separator is unambiguous.
std::string QualifiedKey(std::string_view team, std::string_view key) {
  return fmt::format("{}\n{}", team, key);
}

bool IsPrintable(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return c >= ' ' && c <= '~'; });
}

std::string ValidationError(const JobSpec& spec) {
  if (spec.row.empty()) return "row: empty";
  if (spec.team.empty() || !IsPrintable(spec.team)) return "team: empty or not printable";
  if (spec.key.size() > kMaxKeyLength) {
    return fmt::format("key: {} characters, at most {}", spec.key.size(), kMaxKeyLength);
  }
  if (!IsPrintable(spec.key)) return "key: not printable";
  const auto& [millicores, memory_mib, accelerators] = spec.declared;
  if (millicores <= 0) return fmt::format("processors: {} millicores", millicores);
  if (memory_mib < 0) return fmt::format("memory_mib: {}", memory_mib);
  if (accelerators < 0) return fmt::format("accelerators: {}", accelerators);
  if (spec.run_time_s < 0) return fmt::format("run_time_s: {}", spec.run_time_s);
  return {};
}

}  // namespace

struct JobStore::Private {
  JobStoreLimits limits;
  JobId next_id = 1;
  std::map<JobId, Job> jobs;
  std::array<std::set<JobId>, kStateCount> by_state;
  std::deque<JobId> terminal;
  std::map<std::string, IdempotencyRecord> keys;
  std::deque<std::string> dropped_keys;
  std::uint64_t index = 0;
  std::int64_t wall_ms = 0;

  explicit Private(JobStoreLimits store_limits) : limits(store_limits) {}

  std::set<JobId>& InState(JobState state) {
    return this->by_state.at(static_cast<std::size_t>(state));
  }

  static ChangeResult ResultFor(ChangeStatus status, const Job& job, std::string message = {}) {
    return {status, job.id, job.state, job.token, job.attempt, job.checkpoint, std::move(message)};
  }

  void SetState(Job& job, JobState state) {
    this->InState(job.state).erase(job.id);
    job.state = state;
    job.changed_ms = this->wall_ms;
    this->InState(state).insert(job.id);
    if (IsTerminal(state)) this->terminal.push_back(job.id);
  }

  // Applies the state transition of `event`, or returns kNotPermitted.
  ChangeResult ApplyEvent(Job& job, JobEvent event) {
    const auto next = NextState(job.state, event);
    if (!next) {
      return ResultFor(ChangeStatus::kNotPermitted, job,
                       fmt::format("job {} is {}: {} isn't permitted", job.id, NameOf(job.state),
                                   NameOf(event)));
    }
    if (*next != job.state) this->SetState(job, *next);
    return ResultFor(ChangeStatus::kDone, job);
  }

  Job& Add(JobSpec spec, JobState state) {
    const JobId id = this->next_id++;
    Job& job = this->jobs[id];
    job.id = id;
    job.spec = std::move(spec);
    job.submitted_ms = this->wall_ms;
    job.state = state;
    this->SetState(job, state);
    return job;
  }

  // Removes the oldest terminal records beyond the limit, then the oldest keys without a record.
  void DropOldRecords() {
    for (; this->terminal.size() > this->limits.terminal_jobs; this->terminal.pop_front()) {
      const auto job = this->jobs.find(this->terminal.front());
      const JobSpec& spec = job->second.spec;
      if (!spec.key.empty()) {
        std::string name = QualifiedKey(spec.team, spec.key);
        this->keys[name].final_state = job->second.state;
        this->dropped_keys.push_back(std::move(name));
      }
      this->InState(job->second.state).erase(job->first);
      this->jobs.erase(job);
    }
    for (; this->dropped_keys.size() > this->limits.terminal_keys; this->dropped_keys.pop_front()) {
      this->keys.erase(this->dropped_keys.front());
    }
  }

  ChangeResult ExistingResult(const IdempotencyRecord& entry) const {
    const auto job = this->jobs.find(entry.job);
    if (job != this->jobs.end()) return ResultFor(ChangeStatus::kExisting, job->second);
    return {ChangeStatus::kExisting, entry.job, entry.final_state, 0, 0, 0, "record dropped"};
  }

  ChangeResult ApplyChange(const SubmitJob& change) {
    if (std::string error = ValidationError(change.spec); !error.empty()) {
      return {.status = ChangeStatus::kMalformed, .message = std::move(error)};
    }
    if (change.spec.key.empty()) {
      return ResultFor(ChangeStatus::kCreated, this->Add(change.spec, JobState::kQueued));
    }
    const std::uint64_t digest = internal::ContentDigest(change.spec);
    const auto [entry, added] = this->keys.try_emplace(
        QualifiedKey(change.spec.team, change.spec.key), IdempotencyRecord{});
    if (added) {
      const Job& job = this->Add(change.spec, JobState::kQueued);
      entry->second = {job.id, digest, JobState::kQueued};
      return ResultFor(ChangeStatus::kCreated, job);
    }
    IdempotencyRecord& record = entry->second;
    if (record.digest == 0) {
      // The key was cancelled before its submission, which now fills in the cancelled job's record.
      record.digest = digest;
      if (const auto job = this->jobs.find(record.job); job != this->jobs.end()) {
        job->second.spec = change.spec;
      }
    }
    if (record.digest != digest) {
      ChangeResult result = this->ExistingResult(record);
      result.status = ChangeStatus::kKeyReused;
      result.message = fmt::format("key {} of team {} was used for job {} with other content",
                                   change.spec.key, change.spec.team, record.job);
      return result;
    }
    return this->ExistingResult(record);
  }

  ChangeResult Cancel(Job& job) {
    if (job.state == JobState::kCancelled) return ResultFor(ChangeStatus::kRepeated, job);
    ChangeResult result = this->ApplyEvent(job, JobEvent::kCancel);
    if (result.status == ChangeStatus::kDone) job.cancel_requested = true;
    return result;
  }

  ChangeResult ApplyChange(const CancelKey& change) {
    if (change.team.empty() || change.key.empty() || change.key.size() > kMaxKeyLength ||
        !IsPrintable(change.team) || !IsPrintable(change.key)) {
      return {.status = ChangeStatus::kMalformed, .message = "team or key: empty or not printable"};
    }
    const auto [entry, added] =
        this->keys.try_emplace(QualifiedKey(change.team, change.key), IdempotencyRecord{});
    if (added) {
      JobSpec spec;
      spec.team = change.team;
      spec.key = change.key;
      Job& job = this->Add(std::move(spec), JobState::kCancelled);
      job.cancel_requested = true;
      entry->second = {job.id, 0, JobState::kCancelled};
      return ResultFor(ChangeStatus::kDone, job);
    }
    const auto job = this->jobs.find(entry->second.job);
    return job == this->jobs.end() ? this->ExistingResult(entry->second)
                                   : this->Cancel(job->second);
  }

  ChangeResult ApplyToJob(Job& job, const CancelJob& /*change*/) { return this->Cancel(job); }

  ChangeResult ApplyToJob(Job& job, const JobStarted& change) {
    if (change.attempt != job.attempt + 1) {
      return ResultFor(
          ChangeStatus::kNotPermitted, job,
          fmt::format("job {}: attempt {} after {}", job.id, change.attempt, job.attempt));
    }
    ChangeResult result = this->ApplyEvent(job, JobEvent::kStart);
    if (result.status != ChangeStatus::kDone) return result;
    job.attempt = change.attempt;
    job.token = this->index;
    job.target = change.target;
    job.incarnation = change.incarnation;
    job.reserved = change.reserved;
    job.reason.clear();
    return ResultFor(ChangeStatus::kDone, job);
  }

  ChangeResult ApplyToJob(Job& job, const JobUnplaceable& change) {
    ChangeResult result = this->ApplyEvent(job, JobEvent::kMarkUnplaceable);
    if (result.status == ChangeStatus::kDone) job.reason = change.reason;
    return result;
  }

  ChangeResult ApplyToJob(Job& job, const JobReconsidered& /*change*/) {
    ChangeResult result = this->ApplyEvent(job, JobEvent::kReconsider);
    if (result.status == ChangeStatus::kDone) job.reason.clear();
    return result;
  }

  ChangeResult ApplyToAttempt(Job& job, const JobRunning& /*change*/) {
    return this->ApplyEvent(job, JobEvent::kRun);
  }
  ChangeResult ApplyToAttempt(Job& job, const CheckpointRequested& /*change*/) {
    return this->ApplyEvent(job, JobEvent::kRequestCheckpoint);
  }
  ChangeResult ApplyToAttempt(Job& job, const StopRequested& /*change*/) {
    return this->ApplyEvent(job, JobEvent::kRequestStop);
  }

  ChangeResult ApplyToAttempt(Job& job, const Checkpointed& change) {
    if (change.number <= job.checkpoint) return ResultFor(ChangeStatus::kRepeated, job);
    ChangeResult result = this->ApplyEvent(job, JobEvent::kCheckpointTaken);
    if (result.status != ChangeStatus::kDone) return result;
    job.checkpoint = change.number;
    result.checkpoint = change.number;
    return result;
  }

  // Ends an attempt that no longer runs: the job waits for its next attempt, or is cancelled if
  // that was requested.
  ChangeResult EndAttempt(Job& job) {
    if (!HoldsLease(job.state)) return ResultFor(ChangeStatus::kRepeated, job);
    if (job.cancel_requested) return this->ApplyEvent(job, JobEvent::kStopCancelled);
    ChangeResult result = this->ApplyEvent(job, JobEvent::kEvict);
    if (result.status == ChangeStatus::kDone) ++job.evictions;
    return result;
  }

  ChangeResult ApplyToAttempt(Job& job, const LeaseEnded& /*change*/) {
    return this->EndAttempt(job);
  }

  ChangeResult ApplyToAttempt(Job& job, const JobEvicted& change) {
    if (HoldsLease(job.state)) job.checkpoint = std::max(job.checkpoint, change.checkpoint);
    return this->EndAttempt(job);
  }

  ChangeResult ApplyToAttempt(Job& job, const StartRefused& change) {
    if (!HoldsLease(job.state)) return ResultFor(ChangeStatus::kRepeated, job);
    if (job.cancel_requested) return this->ApplyEvent(job, JobEvent::kStopCancelled);
    ChangeResult result = this->ApplyEvent(job, JobEvent::kStartRefused);
    if (result.status == ChangeStatus::kDone) job.reason = change.reason;
    return result;
  }

  ChangeResult ApplyToAttempt(Job& job, const JobFinished& change) {
    if (job.finished_token == change.token) return ResultFor(ChangeStatus::kRepeated, job);
    const bool succeeded = change.exit_code == 0;
    const bool retry = !succeeded && job.failures < job.spec.retries && !job.cancel_requested;
    const JobEvent event =
        succeeded ? JobEvent::kSucceed : (retry ? JobEvent::kRetry : JobEvent::kFail);
    ChangeResult result = this->ApplyEvent(job, event);
    if (result.status != ChangeStatus::kDone) return result;
    job.finished_token = change.token;
    job.exit_code = change.exit_code;
    if (!succeeded) {
      ++job.failures;
      job.reason = fmt::format("exit code {} on {}", change.exit_code, job.target);
    }
    return result;
  }

  template <typename T>
  ChangeResult ApplyChange(const T& change) {
    const auto found = this->jobs.find(change.job);
    if (found == this->jobs.end()) {
      return {.status = ChangeStatus::kUnknownJob,
              .job = change.job,
              .message = fmt::format("no job {}", change.job)};
    }
    Job& job = found->second;
    if constexpr (requires { change.token; }) {
      if (change.token != job.token || job.token == 0) {
        return ResultFor(
            ChangeStatus::kStaleToken, job,
            fmt::format("job {}: token {} instead of {}", job.id, change.token, job.token));
      }
      return this->ApplyToAttempt(job, change);
    } else {
      return this->ApplyToJob(job, change);
    }
  }
};

JobStore::JobStore(JobStoreLimits limits) : d(std::make_unique<Private>(limits)) {}
JobStore::~JobStore() = default;
JobStore::JobStore(JobStore&&) noexcept = default;
JobStore& JobStore::operator=(JobStore&&) noexcept = default;

std::string JobStore::Apply(std::uint64_t index, std::string_view bytes) {
  const auto command = DecodeCommand(bytes);
  if (!base::Ok(command)) {
    return EncodeResults(
        {{.status = ChangeStatus::kMalformed, .message = ErrorOf(command).message}});
  }
  return EncodeResults(this->ApplyCommand(index, ValueOf(command)));
}

std::vector<ChangeResult> JobStore::ApplyCommand(std::uint64_t index, const Command& command) {
  this->d->index = index;
  this->d->wall_ms = command.wall_ms;
  std::vector<ChangeResult> results;
  results.reserve(command.changes.size());
  for (const Change& change : command.changes) {
    results.push_back(
        std::visit([&](const auto& typed) { return this->d->ApplyChange(typed); }, change));
  }
  this->d->DropOldRecords();
  return results;
}

std::string JobStore::Snapshot() const {
  internal::JobStoreSnapshot snapshot;
  snapshot.next_id = this->d->next_id;
  snapshot.jobs.reserve(this->d->jobs.size());
  for (const auto& [id, job] : this->d->jobs) snapshot.jobs.push_back(job);
  snapshot.terminal.assign(this->d->terminal.begin(), this->d->terminal.end());
  snapshot.keys.assign(this->d->keys.begin(), this->d->keys.end());
  snapshot.dropped_keys.assign(this->d->dropped_keys.begin(), this->d->dropped_keys.end());
  return internal::EncodeSnapshot(snapshot);
}

base::Result<base::Done, JobDecodeError> JobStore::Restore(std::string_view bytes) {
  auto decoded = internal::DecodeSnapshot(bytes);
  if (!base::Ok(decoded)) return ErrorOf(decoded);
  internal::JobStoreSnapshot& snapshot = ValueOf(decoded);
  auto restored = std::make_unique<Private>(this->d->limits);
  restored->next_id = snapshot.next_id;
  for (Job& job : snapshot.jobs) {
    const JobId id = job.id;
    restored->InState(job.state).insert(id);
    restored->jobs.emplace(id, std::move(job));
  }
  restored->terminal.assign(snapshot.terminal.begin(), snapshot.terminal.end());
  const bool complete = std::ranges::all_of(restored->terminal,
                                            [&](JobId id) { return restored->jobs.contains(id); });
  if (!complete) {
    return JobDecodeError{JobDecodeErrorKind::kMalformed,
                          "job snapshot: terminal job without a record"};
  }
  restored->keys.insert(snapshot.keys.begin(), snapshot.keys.end());
  restored->dropped_keys.assign(snapshot.dropped_keys.begin(), snapshot.dropped_keys.end());
  this->d = std::move(restored);
  return base::Done{};
}

const Job* JobStore::Find(JobId id) const {
  const auto job = this->d->jobs.find(id);
  return job == this->d->jobs.end() ? nullptr : &job->second;
}

const IdempotencyRecord* JobStore::FindKey(std::string_view team, std::string_view key) const {
  const auto entry = this->d->keys.find(QualifiedKey(team, key));
  return entry == this->d->keys.end() ? nullptr : &entry->second;
}

std::vector<const Job*> JobStore::List(const JobFilter& filter) const {
  std::vector<const Job*> listed;
  const auto take = [&](const Job& job) {
    if (filter.row.empty() || job.spec.row == filter.row) listed.push_back(&job);
    return listed.size() < filter.limit;
  };
  if (filter.limit == 0) return listed;
  if (filter.state) {
    const auto& ids = this->d->InState(*filter.state);
    for (auto id = ids.upper_bound(filter.after); id != ids.end(); ++id) {
      if (!take(this->d->jobs.at(*id))) break;
    }
    return listed;
  }
  for (auto job = this->d->jobs.upper_bound(filter.after); job != this->d->jobs.end(); ++job) {
    if (!take(job->second)) break;
  }
  return listed;
}

void JobStore::ForEachActive(const std::function<void(const Job&)>& visit) const {
  for (std::size_t state = 0; state < kStateCount; ++state) {
    if (IsTerminal(static_cast<JobState>(state))) continue;
    for (const JobId id : this->d->by_state.at(state)) visit(this->d->jobs.at(id));
  }
}

std::size_t JobStore::CountOf(JobState state) const { return this->d->InState(state).size(); }

}  // namespace mangoroad::jobs
