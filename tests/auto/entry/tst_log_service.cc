#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "entry/log_service.h"
#include "net/event_loop.h"
#include "storage/file_system.h"
#include "support/temporary_folder.h"

namespace mangoroad::entry {
namespace {

using std::chrono::milliseconds;
using storage::StorageResult;

/// A file whose syncs take a given time.
class SlowFile : public storage::File {
 public:
  SlowFile(std::unique_ptr<storage::File> real_file, const std::atomic<int>& duration_ms,
           std::atomic<bool>& fails)
      : file(std::move(real_file)), sync_ms(duration_ms), sync_fails(fails) {}

  StorageResult<base::Done> Append(std::string_view bytes) override {
    return this->file->Append(bytes);
  }
  StorageResult<base::Done> Sync() override {
    std::this_thread::sleep_for(milliseconds(this->sync_ms));
    if (this->sync_fails) {
      return storage::StorageError{storage::StorageErrorKind::kIo, "sync: input/output error"};
    }
    return this->file->Sync();
  }
  StorageResult<base::Done> Truncate(std::uint64_t size) override {
    return this->file->Truncate(size);
  }
  std::uint64_t Size() const override { return this->file->Size(); }

 private:
  std::unique_ptr<storage::File> file;
  const std::atomic<int>& sync_ms;
  std::atomic<bool>& sync_fails;
};

/// The files of the operating system on a disk whose syncs are slow or fail.
class SlowDisk : public storage::FileSystem {
 public:
  StorageResult<base::Done> CreateFolder(const std::string& path) override {
    return this->real->CreateFolder(path);
  }
  StorageResult<std::vector<std::string>> List(const std::string& folder) override {
    return this->real->List(folder);
  }
  StorageResult<std::string> Read(const std::string& path) override {
    return this->real->Read(path);
  }
  StorageResult<std::unique_ptr<storage::File>> Open(const std::string& path) override {
    auto opened = this->real->Open(path);
    if (!base::Ok(opened)) return base::ErrorOf(opened);
    return std::unique_ptr<storage::File>(std::make_unique<SlowFile>(
        std::move(base::ValueOf(opened)), this->sync_ms, this->sync_fails));
  }
  StorageResult<base::Done> Rename(const std::string& from, const std::string& to) override {
    return this->real->Rename(from, to);
  }
  StorageResult<base::Done> Remove(const std::string& path) override {
    return this->real->Remove(path);
  }
  StorageResult<base::Done> SyncFolder(const std::string& folder) override {
    return this->real->SyncFolder(folder);
  }

  std::atomic<int> sync_ms = 0;
  std::atomic<bool> sync_fails = false;

 private:
  std::unique_ptr<storage::FileSystem> real = storage::MakeRealFileSystem();
};

class EchoState : public AppliedState {
 public:
  std::string Apply(consensus::Index, consensus::Term, std::string_view command) override {
    return std::string(command);
  }
  std::string Snapshot() const override { return "state"; }
  bool Restore(std::string_view /*snapshot*/) override { return true; }
};

/// A log with a single voter, which elects itself.
class SingleVoter {
 public:
  SingleVoter() {
    LogOptions options;
    options.self = "a";
    options.first_configuration = consensus::WithVoter({}, "a");
    options.folder = this->folder.Path() + "/log";
    options.incarnation = 1;
    const auto opened = this->log.Open(std::move(options));
    REQUIRE(base::Ok(opened));
    this->RunUntil([this] { return this->log.MayLead(); });
  }

  /// Runs the loop until `is_done`, 5 s at most.
  template <typename Condition>
  void RunUntil(const Condition& is_done) {
    const base::TimePoint limit = this->loop.Now() + std::chrono::seconds(5);
    const net::Timer check = this->loop.Every(milliseconds(2), [&] {
      if (is_done() || this->loop.Now() > limit) this->loop.Stop();
    });
    this->loop.Run();
    REQUIRE(is_done());
  }

  support::TemporaryFolder folder;
  net::EventLoop loop;
  SlowDisk disk;
  EchoState state;
  LogService log{this->loop, this->disk, this->state,
                 [](const consensus::ReplicaId&, const std::string&) {}};
};

// Guards against a loop that stands still during each sync, so that heartbeats, leases and requests
// wait for the disk.
TEST_CASE("the loop goes on while the disk syncs") {
  SingleVoter voter;
  voter.disk.sync_ms = 400;
  const base::TimePoint proposed_at = voter.loop.Now();
  base::TimePoint last_run_at = proposed_at;
  base::Duration largest_gap{};
  const auto measure_gap = [&] {
    largest_gap = std::max(largest_gap, voter.loop.Now() - last_run_at);
    last_run_at = voter.loop.Now();
  };
  const net::Timer timer = voter.loop.Every(milliseconds(5), measure_gap);
  bool is_applied = false;
  voter.log.Propose("command", [&](const ProposalResult& result) {
    CHECK(result.fate == ProposalFate::kApplied);
    CHECK(result.answer == "command");
    // Guards against an acknowledgement of what isn't durable.
    CHECK(voter.loop.Now() - proposed_at >= milliseconds(400));
    measure_gap();
    is_applied = true;
  });
  voter.RunUntil([&] { return is_applied; });
  CHECK(largest_gap < milliseconds(200));
}

// Guards against proposals that are acknowledged by a sync that began before they were written.
TEST_CASE("a proposal made during a sync waits for the next one") {
  SingleVoter voter;
  voter.disk.sync_ms = 100;
  int applied = 0;
  base::TimePoint second_proposed_at;
  voter.log.Propose("first", [&](const ProposalResult&) { applied += 1; });
  const net::Timer second = voter.loop.After(milliseconds(50), [&] {
    second_proposed_at = voter.loop.Now();
    voter.log.Propose("second", [&](const ProposalResult& result) {
      CHECK(result.fate == ProposalFate::kApplied);
      CHECK(voter.loop.Now() - second_proposed_at >= milliseconds(100));
      applied += 1;
    });
  });
  voter.RunUntil([&] { return applied == 2; });
}

// Guards against a replica that leads on after its disk has failed.
TEST_CASE("a failed sync ends leadership") {
  SingleVoter voter;
  voter.disk.sync_fails = true;
  bool is_applied = false;
  voter.log.Propose("command", [&](const ProposalResult& result) {
    is_applied = result.fate == ProposalFate::kApplied;
  });
  voter.RunUntil([&] { return !voter.log.Durable(); });
  CHECK_FALSE(voter.log.MayLead());
  CHECK_FALSE(is_applied);
  CHECK(voter.log.StorageFault() == "sync: input/output error");
}

// Guards against a leader that takes a proposal of unknown fate for lost (review/2): it planned the
// same starts again, and both proposals were committed once a majority had synced them.
TEST_CASE("a proposal without a timeout is reported once its fate is certain") {
  SingleVoter voter;
  voter.disk.sync_ms = 300;
  std::vector<ProposalFate> fates;
  const auto note = [&](const ProposalResult& result) { fates.push_back(result.fate); };
  voter.log.Propose("impatient", note, IfLost::kReport, milliseconds(50));
  voter.log.Propose("patient", note, IfLost::kReport, std::nullopt);
  voter.RunUntil([&] { return fates.size() == 2; });
  CHECK(fates == std::vector{ProposalFate::kUnknown, ProposalFate::kApplied});
}

// Guards against a voter that stays without a vote for good after its disk has failed once
// (review/1): after the second such fault the core accepted nothing any more.
TEST_CASE("a replica whose disk failed counts again once the disk works") {
  SingleVoter voter;
  const auto fate_of = [&](const std::string& command) {
    std::optional<ProposalFate> fate;
    voter.log.Propose(command, [&](const ProposalResult& result) { fate = result.fate; });
    voter.RunUntil([&] { return fate.has_value(); });
    return *fate;
  };
  for (int fault = 0; fault < 2; ++fault) {
    REQUIRE(fate_of("before") == ProposalFate::kApplied);
    voter.disk.sync_fails = true;
    voter.log.Propose("during", [](const ProposalResult&) {});
    voter.RunUntil([&] { return !voter.log.Durable(); });
    voter.disk.sync_fails = false;
    voter.RunUntil([&] { return voter.log.MayLead(); });
    CHECK(voter.log.Durable());
    CHECK(voter.log.StorageFault().empty());
  }
  REQUIRE(fate_of("after") == ProposalFate::kApplied);
}

// Guards against work on the disk that outlives the log.
TEST_CASE("a log can be closed during a sync") {
  auto voter = std::make_unique<SingleVoter>();
  voter->disk.sync_ms = 100;
  voter->log.Propose("command", [](const ProposalResult&) { FAIL("reported after the end"); });
  const net::Timer stop = voter->loop.After(milliseconds(30), [&] { voter->loop.Stop(); });
  voter->loop.Run();
}

}  // namespace
}  // namespace mangoroad::entry
