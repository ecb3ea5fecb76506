#include "entry/log_service.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "base/soft_assert.h"
#include "consensus/consensus_codec.h"
#include "consensus/durable_log.h"
#include "log/log.h"
#include "metrics/activity_meter.h"
#include "net/background_thread.h"
#include "net/event_loop.h"
#include "storage/file_system.h"
#include "storage/wal.h"

namespace mangoroad::entry {
namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(10);

/// Answers of the latest entries, for proposals whose fate is reported after they were applied.
constexpr consensus::Index kKeptAnswers = 65'536;

using MeterScope = std::optional<metrics::ActivityMeter::Scope>;
using metrics::Activity;

}  // namespace

struct LogService::Private {
  struct Pending {
    std::string command;  // kept until a leader is known
    OnProposal done;
    base::TimePoint started;
    std::optional<consensus::ProposalId> proposal;
    std::optional<consensus::RequestNumber> forward;
    IfLost if_lost = IfLost::kProposeAgain;
    std::optional<base::Duration> timeout;
  };

  net::EventLoop& loop;
  storage::FileSystem& files;
  AppliedState& state;
  Send send;
  OnApplied on_applied;
  std::function<void()> on_restored;
  LogOptions options;
  std::unique_ptr<storage::Wal> wal;
  std::unique_ptr<consensus::Replica> replica;
  std::string storage_fault;
  base::TimePoint next_recovery_at;
  bool recovery_in_progress = false;
  consensus::Index applied = 0;
  consensus::Term applied_term = 0;
  consensus::Index last_snapshot = 0;
  std::map<consensus::Index, std::string> answers;
  std::vector<Pending> pending;
  bool flush_posted = false;
  net::PostScope posts{this->loop};
  net::Timer tick_timer;
  /// The last output that was written and isn't synced; 0: none.
  std::uint64_t sync_id_to_begin = 0;
  bool sync_in_progress = false;
  /// Syncs the log, so that the loop doesn't wait for the disk. Declared last: its destructor waits
  /// for a sync that uses the members above.
  std::unique_ptr<net::BackgroundThread> disk_thread;

  Private(net::EventLoop& event_loop, storage::FileSystem& file_system, AppliedState& applied_state,
          Send send_message)
      : loop(event_loop), files(file_system), state(applied_state), send(std::move(send_message)) {}

  /// Measures an activity until the scope ends, where a meter is set.
  [[nodiscard]] MeterScope Measure(Activity activity) {
    if (this->options.meter == nullptr) return std::nullopt;
    return MeterScope(std::in_place, *this->options.meter, activity);
  }
  void FailStorage(const storage::StorageError& error);
  void BeginRecoveryIfDue(base::TimePoint now);
  void OnRecovered(const storage::StorageResult<base::Done>& result);
  bool Write(const consensus::Output& output);
  void BeginSync();
  void OnSynced(std::uint64_t sync_id, storage::StorageResult<base::Done> result);
  void ApplyCommitted(const std::vector<consensus::LogEntry>& entries);
  void Resolve(const consensus::ResolvedProposal& resolved);
  void Submit(Pending& item);
  void Finish(Pending item, ProposalResult result);
  void ExpirePending(base::TimePoint now);
  void MaybeCompact();
  void Flush();
  void ScheduleFlush();
  void Tick();
};

void LogService::Private::FailStorage(const storage::StorageError& error) {
  if (!this->storage_fault.empty()) return;
  this->storage_fault = error.message;
  log::Error(log::Category::kStorage, "disk failed, replica stops voting",
             {{"reason", error.message}});
  this->next_recovery_at = this->loop.Now() + kDiskRetryInterval;
  this->replica->OnStorageFailed(this->loop.Now());
}

/// Tries a failed disk again, on the disk thread. A voter that stayed without a disk for good would
/// leave the others without a majority as soon as a second disk fails.
void LogService::Private::BeginRecoveryIfDue(base::TimePoint now) {
  if (this->storage_fault.empty() || this->sync_in_progress || this->recovery_in_progress ||
      now < this->next_recovery_at) {
    return;
  }
  this->recovery_in_progress = true;
  auto result = std::make_shared<storage::StorageResult<base::Done>>();
  this->disk_thread->Run([log = this->wal.get(), result] { *result = log->Recover(); },
                         [this, result] { this->OnRecovered(*result); });
}

void LogService::Private::OnRecovered(const storage::StorageResult<base::Done>& result) {
  this->recovery_in_progress = false;
  const base::TimePoint now = this->loop.Now();
  if (!base::Ok(result)) {
    this->next_recovery_at = now + kDiskRetryInterval;
    if (const std::string& message = base::ErrorOf(result).message;
        message != this->storage_fault) {
      this->storage_fault = message;
      log::Warning(log::Category::kStorage, "disk not recovered", {{"reason", message}});
    }
    return;
  }
  this->storage_fault.clear();
  this->sync_id_to_begin = 0;
  log::Info(log::Category::kStorage, "disk recovered, replica votes again", {});
  this->replica->OnStorageRecovered(now);
  this->Flush();
}

/// Writes an output without syncing it; false after a disk fault.
bool LogService::Private::Write(const consensus::Output& output) {
  if (this->wal == nullptr) return true;
  if (!this->storage_fault.empty()) return false;
  const MeterScope measured = this->Measure(Activity::kDisk);
  const auto written = consensus::WriteOutput(*this->wal, output);
  if (base::Ok(written)) return true;
  this->FailStorage(base::ErrorOf(written));
  return false;
}

/// Begins a sync of all outputs written so far. Those written meanwhile share the next one.
void LogService::Private::BeginSync() {
  if (this->sync_in_progress || this->sync_id_to_begin == 0 || !this->storage_fault.empty()) return;
  this->sync_in_progress = true;
  const std::uint64_t sync_id = std::exchange(this->sync_id_to_begin, 0);
  auto result = std::make_shared<storage::StorageResult<base::Done>>();
  this->disk_thread->Run([sync = this->wal->BeginSync(), result] { *result = sync(); },
                         [this, sync_id, result] { this->OnSynced(sync_id, *result); });
}

void LogService::Private::OnSynced(std::uint64_t sync_id,
                                   storage::StorageResult<base::Done> result) {
  this->sync_in_progress = false;
  const auto finished = this->wal->FinishSync(std::move(result));
  if (base::Ok(finished)) {
    if (this->storage_fault.empty()) this->replica->OnSynced(this->loop.Now(), sync_id);
  } else {
    this->FailStorage(base::ErrorOf(finished));
  }
  this->Flush();
}

void LogService::Private::ApplyCommitted(const std::vector<consensus::LogEntry>& entries) {
  const MeterScope measured = this->Measure(Activity::kApply);
  for (const consensus::LogEntry& entry : entries) {
    MANGOROAD_INVARIANT(entry.index == this->applied + 1);
    this->applied = entry.index;
    this->applied_term = entry.term;
    if (entry.kind != storage::EntryKind::kCommand) continue;
    std::string answer = this->state.Apply(entry.index, entry.term, entry.data);
    if (this->on_applied) this->on_applied(entry.index, entry.data, answer);
    this->answers[entry.index] = std::move(answer);
  }
  while (this->answers.size() > kKeptAnswers) this->answers.erase(this->answers.begin());
}

void LogService::Private::Finish(Pending item, ProposalResult result) {
  this->posts.Post([done = std::move(item.done), result = std::move(result)] { done(result); });
}

void LogService::Private::Resolve(const consensus::ResolvedProposal& resolved) {
  const auto entry = std::ranges::find_if(this->pending, [&](const Pending& item) {
    return resolved.forward ? item.forward == resolved.forward : item.proposal == resolved.id;
  });
  if (entry == this->pending.end()) return;
  Pending item = std::move(*entry);
  this->pending.erase(entry);
  if (resolved.outcome == consensus::ProposalOutcome::kLost) {
    if (item.if_lost == IfLost::kProposeAgain && this->loop.Now() - item.started < kLeaderWait) {
      // The command is certainly not in the log, so it is safe to propose it again.
      item.proposal.reset();
      item.forward.reset();
      this->pending.push_back(std::move(item));
      return;
    }
    this->Finish(std::move(item), {ProposalFate::kNotAccepted, {}, "the leader changed"});
    return;
  }
  const auto answer = this->answers.find(resolved.id.index);
  if (resolved.outcome == consensus::ProposalOutcome::kUnknown || answer == this->answers.end()) {
    this->Finish(std::move(item),
                 {ProposalFate::kUnknown, {}, "a snapshot replaced the part of the log"});
    return;
  }
  this->Finish(std::move(item), {ProposalFate::kApplied, answer->second, {}});
}

/// Hands a waiting command to the leader when one is known.
void LogService::Private::Submit(Pending& item) {
  const base::TimePoint now = this->loop.Now();
  if (this->replica->IsLeader()) {
    const auto proposed = this->replica->Propose(now, item.command);
    if (base::Ok(proposed)) item.proposal = base::ValueOf(proposed);
  } else if (item.if_lost == IfLost::kProposeAgain) {
    const auto forwarded = this->replica->Forward(now, item.command);
    if (base::Ok(forwarded)) item.forward = base::ValueOf(forwarded);
  }
}

void LogService::Private::ExpirePending(base::TimePoint now) {
  std::vector<Pending> kept;
  for (Pending& item : this->pending) {
    const bool handed_over = item.proposal || item.forward;
    if (!handed_over && item.if_lost == IfLost::kReport) {
      this->Finish(std::move(item), {ProposalFate::kNotAccepted, {}, "not the leader"});
    } else if (!handed_over && now - item.started >= kLeaderWait) {
      this->Finish(std::move(item),
                   {ProposalFate::kNotAccepted, {}, "no majority of voters can be reached"});
    } else if (handed_over && item.timeout && now - item.started >= *item.timeout) {
      this->Finish(std::move(item),
                   {ProposalFate::kUnknown, {}, "the leader's answer didn't arrive"});
    } else {
      if (!handed_over) this->Submit(item);
      kept.push_back(std::move(item));
    }
  }
  this->pending = std::move(kept);
}

void LogService::Private::MaybeCompact() {
  if (this->applied - this->last_snapshot < this->options.snapshot_every) return;
  const MeterScope measured = this->Measure(Activity::kSnapshot);
  this->last_snapshot = this->applied;
  this->replica->CompactTo(this->applied, this->state.Snapshot());
}

void LogService::Private::Flush() {
  this->flush_posted = false;
  const MeterScope measured = this->Measure(Activity::kConsensus);
  // An output can cause another one, for example a commit after the sync of a single voter.
  for (int round = 0; round < 8; ++round) {
    const consensus::Output output = this->replica->TakeOutput();
    for (const consensus::Message& message : output.messages) {
      this->send(message.to, consensus::EncodeMessage(message));
    }
    if (output.restore_snapshot && output.snapshot_to_sync != nullptr) {
      MANGOROAD_INVARIANT(this->state.Restore(output.snapshot_to_sync->data));
      this->applied = output.snapshot_to_sync->index;
      this->applied_term = output.snapshot_to_sync->term;
      this->last_snapshot = this->applied;
      this->answers.clear();
      if (this->on_restored) this->on_restored();
    }
    this->ApplyCommitted(output.committed);
    const bool is_written = this->Write(output);
    std::ranges::for_each(output.resolved, [this](const auto& item) { this->Resolve(item); });
    this->MaybeCompact();
    if (output.sync_id == 0) break;
    if (!is_written) continue;
    if (this->wal == nullptr) {
      this->replica->OnSynced(this->loop.Now(), output.sync_id);
    } else {
      this->sync_id_to_begin = output.sync_id;
    }
  }
  this->BeginSync();
}

/// All proposals and messages of one round of the loop share one sync.
void LogService::Private::ScheduleFlush() {
  if (std::exchange(this->flush_posted, true)) return;
  this->posts.Post([this] { this->Flush(); }, net::Urgency::kUrgent);
}

void LogService::Private::Tick() {
  const base::TimePoint now = this->loop.Now();
  this->replica->Tick(now);
  this->ExpirePending(now);
  this->BeginRecoveryIfDue(now);
  this->Flush();
}

LogService::LogService(net::EventLoop& loop, storage::FileSystem& files, AppliedState& state,
                       Send send)
    : d(std::make_unique<Private>(loop, files, state, std::move(send))) {}

LogService::~LogService() = default;

base::Result<base::Done, EntryError> LogService::Open(LogOptions options) {
  this->d->options = std::move(options);
  consensus::RestoredState restored;
  const std::optional<std::string>& folder = this->d->options.folder;
  if (folder) {
    auto opened = storage::Wal::Open(this->d->files, *folder);
    if (!base::Ok(opened)) {
      return EntryError{EntryErrorKind::kBadData, base::ErrorOf(opened).message};
    }
    storage::OpenedWal& found = base::ValueOf(opened);
    if (found.cut_bytes > 0) {
      log::Warning(log::Category::kStorage, "torn tail cut", {{"bytes", found.cut_bytes}});
    }
    this->d->wal = std::move(found.wal);
    this->d->disk_thread = std::make_unique<net::BackgroundThread>(this->d->loop);
    restored = consensus::TakeRestoredState(found);
  }
  if (restored.snapshot) {
    if (!this->d->state.Restore(restored.snapshot->data)) {
      return EntryError{EntryErrorKind::kBadData,
                        "the snapshot in " + folder.value_or("") + " can't be read"};
    }
    this->d->applied = restored.snapshot->index;
    this->d->applied_term = restored.snapshot->term;
    this->d->last_snapshot = this->d->applied;
  }
  consensus::Config config;
  config.self = this->d->options.self;
  config.first_configuration = this->d->options.first_configuration;
  config.incarnation = this->d->options.incarnation;
  config.seed = this->d->options.seed;
  config.durable = this->d->options.folder.has_value();
  this->d->replica = std::make_unique<consensus::Replica>(std::move(config), std::move(restored),
                                                          this->d->loop.Now());
  this->d->tick_timer =
      this->d->loop.Every(kTickInterval, [this] { this->d->Tick(); }, net::Urgency::kUrgent);
  return base::Done{};
}

void LogService::OnMessage(std::string_view message) {
  auto decoded = consensus::DecodeMessage(message);
  if (!decoded) {
    log::Warning(log::Category::kConsensus, "malformed message refused",
                 {{"bytes", message.size()}});
    return;
  }
  const MeterScope measured = this->d->Measure(Activity::kConsensus);
  this->d->replica->Step(this->d->loop.Now(), std::move(*decoded));
  this->d->ScheduleFlush();
}

void LogService::Propose(std::string command, OnProposal done, IfLost if_lost,
                         std::optional<base::Duration> timeout) {
  Private::Pending item;
  item.command = std::move(command);
  item.done = std::move(done);
  item.if_lost = if_lost;
  item.timeout = timeout;
  item.started = this->d->loop.Now();
  this->d->Submit(item);
  this->d->pending.push_back(std::move(item));
  this->d->ScheduleFlush();
}

void LogService::SetOnApplied(OnApplied callback) { this->d->on_applied = std::move(callback); }

void LogService::SetOnRestored(std::function<void()> callback) {
  this->d->on_restored = std::move(callback);
}

bool LogService::MayLead() const {
  if (!this->d->replica->IsLeader()) return false;
  return this->d->replica->HasLeaderLease(this->d->loop.Now()) &&
         this->d->applied_term == this->d->replica->GetStatus().term;
}

consensus::Status LogService::Status() const { return this->d->replica->GetStatus(); }

consensus::Index LogService::Applied() const { return this->d->applied; }

bool LogService::Durable() const {
  return this->d->wal != nullptr && this->d->storage_fault.empty();
}

std::string LogService::StorageFault() const { return this->d->storage_fault; }

namespace {

base::Result<base::Done, std::string> ToResult(
    const base::Result<consensus::ProposalId, consensus::ProposeError>& result) {
  if (base::Ok(result)) return base::Done{};
  return base::ErrorOf(result).message;
}

}  // namespace

base::Result<base::Done, std::string> LogService::AddLearner(const consensus::ReplicaId& id) {
  this->d->ScheduleFlush();
  return ToResult(this->d->replica->AddLearner(this->d->loop.Now(), id));
}

base::Result<base::Done, std::string> LogService::Promote(const consensus::ReplicaId& id) {
  this->d->ScheduleFlush();
  return ToResult(this->d->replica->Promote(this->d->loop.Now(), id));
}

base::Result<base::Done, std::string> LogService::Remove(const consensus::ReplicaId& id) {
  this->d->ScheduleFlush();
  return ToResult(this->d->replica->Remove(this->d->loop.Now(), id));
}

void LogService::TransferLeadership() {
  if (!this->d->replica->IsLeader()) return;
  // Without another voter there is nobody to hand over to, and the stop goes on.
  const auto transferred = this->d->replica->TransferLeadership(this->d->loop.Now(), {});
  if (!base::Ok(transferred)) {
    log::Info(log::Category::kConsensus, "leadership not transferred",
              {{"reason", base::ErrorOf(transferred).message}});
  }
  this->d->ScheduleFlush();
}

}  // namespace mangoroad::entry
