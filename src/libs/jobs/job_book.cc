#include "jobs/job_book.h"

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

// Teams are names without control characters, so the separator can't occur in one.
std::string KeyName(std::string_view team, std::string_view key) {
  return fmt::format("{}\n{}", team, key);
}

bool IsPrintable(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return c >= ' ' && c <= '~'; });
}

std::string FaultOf(const JobSpec& spec) {
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

struct JobBook::Private {
  BookLimits limits;
  JobId next_id = 1;
  std::map<JobId, Job> jobs;
  std::array<std::set<JobId>, kStateCount> by_state;
  std::deque<JobId> terminal;
  std::map<std::string, KeyEntry> keys;
  std::deque<std::string> dropped_keys;
  std::uint64_t index = 0;
  std::int64_t wall_ms = 0;

  explicit Private(BookLimits book_limits) : limits(book_limits) {}

  std::set<JobId>& InState(JobState state) {
    return this->by_state.at(static_cast<std::size_t>(state));
  }

  static Answer AnswerFor(AnswerKind kind, const Job& job, std::string message = {}) {
    return {kind, job.id, job.state, job.token, job.attempt, job.checkpoint, std::move(message)};
  }

  void SetState(Job& job, JobState state) {
    this->InState(job.state).erase(job.id);
    job.state = state;
    job.changed_ms = this->wall_ms;
    this->InState(state).insert(job.id);
    if (IsTerminal(state)) this->terminal.push_back(job.id);
  }

  // Moves the job along the transition table, or explains why it doesn't permit the event.
  Answer Move(Job& job, JobEvent event) {
    const auto next = NextState(job.state, event);
    if (!next) {
      return AnswerFor(AnswerKind::kNotPermitted, job,
                       fmt::format("job {} is {}: {} isn't permitted", job.id, NameOf(job.state),
                                   NameOf(event)));
    }
    if (*next != job.state) this->SetState(job, *next);
    return AnswerFor(AnswerKind::kDone, job);
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

  // Drops the oldest terminal records and, later, their keys.
  void DropOld() {
    for (; this->terminal.size() > this->limits.terminal_jobs; this->terminal.pop_front()) {
      const auto job = this->jobs.find(this->terminal.front());
      const JobSpec& spec = job->second.spec;
      if (!spec.key.empty()) {
        std::string name = KeyName(spec.team, spec.key);
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

  Answer ExistingAnswer(const KeyEntry& entry) const {
    const auto job = this->jobs.find(entry.job);
    if (job != this->jobs.end()) return AnswerFor(AnswerKind::kExisting, job->second);
    return {AnswerKind::kExisting, entry.job, entry.final_state, 0, 0, 0, "record dropped"};
  }

  Answer On(const SubmitJob& change) {
    if (std::string fault = FaultOf(change.spec); !fault.empty()) {
      return {.kind = AnswerKind::kMalformed, .message = std::move(fault)};
    }
    if (change.spec.key.empty()) {
      return AnswerFor(AnswerKind::kCreated, this->Add(change.spec, JobState::kQueued));
    }
    const std::uint64_t digest = internal::ContentDigest(change.spec);
    const auto [entry, added] =
        this->keys.try_emplace(KeyName(change.spec.team, change.spec.key), KeyEntry{});
    if (added) {
      const Job& job = this->Add(change.spec, JobState::kQueued);
      entry->second = {job.id, digest, JobState::kQueued};
      return AnswerFor(AnswerKind::kCreated, job);
    }
    KeyEntry& known = entry->second;
    if (known.digest == 0) {
      // The key was cancelled before; the submission completes the record of the cancelled job.
      known.digest = digest;
      if (const auto job = this->jobs.find(known.job); job != this->jobs.end()) {
        job->second.spec = change.spec;
      }
    }
    if (known.digest != digest) {
      Answer answer = this->ExistingAnswer(known);
      answer.kind = AnswerKind::kKeyReused;
      answer.message = fmt::format("key {} of team {} was used for job {} with other content",
                                   change.spec.key, change.spec.team, known.job);
      return answer;
    }
    return this->ExistingAnswer(known);
  }

  Answer Cancel(Job& job) {
    if (job.state == JobState::kCancelled) return AnswerFor(AnswerKind::kRepeated, job);
    Answer answer = this->Move(job, JobEvent::kCancel);
    if (answer.kind == AnswerKind::kDone) job.cancel_requested = true;
    return answer;
  }

  Answer On(const CancelKey& change) {
    if (change.team.empty() || change.key.empty() || change.key.size() > kMaxKeyLength ||
        !IsPrintable(change.team) || !IsPrintable(change.key)) {
      return {.kind = AnswerKind::kMalformed, .message = "team or key: empty or not printable"};
    }
    const auto [entry, added] =
        this->keys.try_emplace(KeyName(change.team, change.key), KeyEntry{});
    if (added) {
      JobSpec spec;
      spec.team = change.team;
      spec.key = change.key;
      Job& job = this->Add(std::move(spec), JobState::kCancelled);
      job.cancel_requested = true;
      entry->second = {job.id, 0, JobState::kCancelled};
      return AnswerFor(AnswerKind::kDone, job);
    }
    const auto job = this->jobs.find(entry->second.job);
    return job == this->jobs.end() ? this->ExistingAnswer(entry->second)
                                   : this->Cancel(job->second);
  }

  Answer OnJob(Job& job, const CancelJob& /*change*/) { return this->Cancel(job); }

  Answer OnJob(Job& job, const JobStarted& change) {
    if (change.attempt != job.attempt + 1) {
      return AnswerFor(
          AnswerKind::kNotPermitted, job,
          fmt::format("job {}: attempt {} after {}", job.id, change.attempt, job.attempt));
    }
    Answer answer = this->Move(job, JobEvent::kStart);
    if (answer.kind != AnswerKind::kDone) return answer;
    job.attempt = change.attempt;
    job.token = this->index;
    job.target = change.target;
    job.incarnation = change.incarnation;
    job.reserved = change.reserved;
    job.reason.clear();
    return AnswerFor(AnswerKind::kDone, job);
  }

  Answer OnJob(Job& job, const JobUnplaceable& change) {
    Answer answer = this->Move(job, JobEvent::kFindUnplaceable);
    if (answer.kind == AnswerKind::kDone) job.reason = change.reason;
    return answer;
  }

  Answer OnJob(Job& job, const JobReconsidered& /*change*/) {
    Answer answer = this->Move(job, JobEvent::kReconsider);
    if (answer.kind == AnswerKind::kDone) job.reason.clear();
    return answer;
  }

  Answer OnAttempt(Job& job, const JobRunning& /*change*/) {
    return this->Move(job, JobEvent::kRun);
  }
  Answer OnAttempt(Job& job, const CheckpointOrdered& /*change*/) {
    return this->Move(job, JobEvent::kOrderCheckpoint);
  }
  Answer OnAttempt(Job& job, const StopOrdered& /*change*/) {
    return this->Move(job, JobEvent::kOrderStop);
  }

  Answer OnAttempt(Job& job, const Checkpointed& change) {
    if (change.number <= job.checkpoint) return AnswerFor(AnswerKind::kRepeated, job);
    Answer answer = this->Move(job, JobEvent::kCheckpointTaken);
    if (answer.kind != AnswerKind::kDone) return answer;
    job.checkpoint = change.number;
    answer.checkpoint = change.number;
    return answer;
  }

  // The attempt no longer runs: the job waits for the next one, or is cancelled as requested.
  Answer EndAttempt(Job& job) {
    if (!HoldsLease(job.state)) return AnswerFor(AnswerKind::kRepeated, job);
    if (job.cancel_requested) return this->Move(job, JobEvent::kStopCancelled);
    Answer answer = this->Move(job, JobEvent::kEvict);
    if (answer.kind == AnswerKind::kDone) ++job.evictions;
    return answer;
  }

  Answer OnAttempt(Job& job, const LeaseEnded& /*change*/) { return this->EndAttempt(job); }

  Answer OnAttempt(Job& job, const JobEvicted& change) {
    if (HoldsLease(job.state)) job.checkpoint = std::max(job.checkpoint, change.checkpoint);
    return this->EndAttempt(job);
  }

  Answer OnAttempt(Job& job, const StartRefused& change) {
    if (!HoldsLease(job.state)) return AnswerFor(AnswerKind::kRepeated, job);
    if (job.cancel_requested) return this->Move(job, JobEvent::kStopCancelled);
    Answer answer = this->Move(job, JobEvent::kStartRefused);
    if (answer.kind == AnswerKind::kDone) job.reason = change.reason;
    return answer;
  }

  Answer OnAttempt(Job& job, const JobFinished& change) {
    if (job.finished_token == change.token) return AnswerFor(AnswerKind::kRepeated, job);
    const bool succeeded = change.exit_code == 0;
    const bool retry = !succeeded && job.failures < job.spec.retries && !job.cancel_requested;
    const JobEvent event =
        succeeded ? JobEvent::kSucceed : (retry ? JobEvent::kRetry : JobEvent::kFail);
    Answer answer = this->Move(job, event);
    if (answer.kind != AnswerKind::kDone) return answer;
    job.finished_token = change.token;
    job.exit_code = change.exit_code;
    if (!succeeded) {
      ++job.failures;
      job.reason = fmt::format("exit code {} on {}", change.exit_code, job.target);
    }
    return answer;
  }

  template <typename T>
  Answer On(const T& change) {
    const auto found = this->jobs.find(change.job);
    if (found == this->jobs.end()) {
      return {.kind = AnswerKind::kUnknownJob,
              .job = change.job,
              .message = fmt::format("no job {}", change.job)};
    }
    Job& job = found->second;
    if constexpr (requires { change.token; }) {
      if (change.token != job.token || job.token == 0) {
        return AnswerFor(
            AnswerKind::kStaleToken, job,
            fmt::format("job {}: token {} instead of {}", job.id, change.token, job.token));
      }
      return this->OnAttempt(job, change);
    } else {
      return this->OnJob(job, change);
    }
  }
};

JobBook::JobBook(BookLimits limits) : d(std::make_unique<Private>(limits)) {}
JobBook::~JobBook() = default;
JobBook::JobBook(JobBook&&) noexcept = default;
JobBook& JobBook::operator=(JobBook&&) noexcept = default;

std::string JobBook::Apply(std::uint64_t index, std::string_view bytes) {
  const auto command = DecodeCommand(bytes);
  if (!base::Ok(command)) {
    return EncodeAnswers({{.kind = AnswerKind::kMalformed, .message = ErrorOf(command).message}});
  }
  return EncodeAnswers(this->ApplyCommand(index, ValueOf(command)));
}

std::vector<Answer> JobBook::ApplyCommand(std::uint64_t index, const Command& command) {
  this->d->index = index;
  this->d->wall_ms = command.wall_ms;
  std::vector<Answer> answers;
  answers.reserve(command.changes.size());
  for (const Change& change : command.changes) {
    answers.push_back(std::visit([&](const auto& typed) { return this->d->On(typed); }, change));
  }
  this->d->DropOld();
  return answers;
}

std::string JobBook::Snapshot() const {
  internal::BookImage image;
  image.next_id = this->d->next_id;
  image.jobs.reserve(this->d->jobs.size());
  for (const auto& [id, job] : this->d->jobs) image.jobs.push_back(job);
  image.terminal.assign(this->d->terminal.begin(), this->d->terminal.end());
  image.keys.assign(this->d->keys.begin(), this->d->keys.end());
  image.dropped_keys.assign(this->d->dropped_keys.begin(), this->d->dropped_keys.end());
  return internal::EncodeImage(image);
}

base::Result<base::Done, BookError> JobBook::Restore(std::string_view bytes) {
  auto decoded = internal::DecodeImage(bytes);
  if (!base::Ok(decoded)) return ErrorOf(decoded);
  internal::BookImage& image = ValueOf(decoded);
  auto restored = std::make_unique<Private>(this->d->limits);
  restored->next_id = image.next_id;
  for (Job& job : image.jobs) {
    const JobId id = job.id;
    restored->InState(job.state).insert(id);
    restored->jobs.emplace(id, std::move(job));
  }
  restored->terminal.assign(image.terminal.begin(), image.terminal.end());
  const bool complete = std::ranges::all_of(restored->terminal,
                                            [&](JobId id) { return restored->jobs.contains(id); });
  if (!complete) {
    return BookError{BookErrorKind::kMalformed, "job snapshot: terminal job without a record"};
  }
  restored->keys.insert(image.keys.begin(), image.keys.end());
  restored->dropped_keys.assign(image.dropped_keys.begin(), image.dropped_keys.end());
  this->d = std::move(restored);
  return base::Done{};
}

const Job* JobBook::Find(JobId id) const {
  const auto job = this->d->jobs.find(id);
  return job == this->d->jobs.end() ? nullptr : &job->second;
}

const KeyEntry* JobBook::FindKey(std::string_view team, std::string_view key) const {
  const auto entry = this->d->keys.find(KeyName(team, key));
  return entry == this->d->keys.end() ? nullptr : &entry->second;
}

std::vector<const Job*> JobBook::List(const JobFilter& filter) const {
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

void JobBook::ForEachActive(const std::function<void(const Job&)>& visit) const {
  for (std::size_t state = 0; state < kStateCount; ++state) {
    if (IsTerminal(static_cast<JobState>(state))) continue;
    for (const JobId id : this->d->by_state.at(state)) visit(this->d->jobs.at(id));
  }
}

std::size_t JobBook::CountOf(JobState state) const { return this->d->InState(state).size(); }

}  // namespace mangoroad::jobs
