#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>
#include <memory>

#include "base/random.h"
#include "storage/fake_disk.h"
#include "storage/record_file.h"
#include "storage/wal.h"

namespace mangoroad::storage {
namespace {

LogEntry Entry(Index index, Term term) {
  return {index, term, EntryKind::kCommand, fmt::format("entry {} of term {}", index, term), {},
          0,     0};
}

std::vector<LogEntry> Entries(Index first, Index last, Term term) {
  std::vector<LogEntry> entries;
  for (Index index = first; index <= last; ++index) entries.push_back(Entry(index, term));
  return entries;
}

OpenedWal Open(FakeDisk& disk, std::uint64_t segment_bytes = 1U << 20U) {
  auto opened = Wal::Open(disk, "data", {.segment_bytes = segment_bytes});
  if (!base::Ok(opened)) FAIL(base::ErrorOf(opened).message);
  return std::move(base::ValueOf(opened));
}

void Store(Wal& wal, const std::vector<LogEntry>& entries) {
  REQUIRE(base::Ok(wal.Append(entries)));
  REQUIRE(base::Ok(wal.Sync()));
}

StorageError OpenError(FakeDisk& disk) {
  const auto opened = Wal::Open(disk, "data", {.segment_bytes = 512});
  REQUIRE_FALSE(base::Ok(opened));
  return base::ErrorOf(opened);
}

// Guards against entries, votes or truncations that a restart forgets or brings back.
TEST_CASE("a log gives back what was synced") {
  FakeDisk disk;
  {
    OpenedWal opened = Open(disk, 512);
    Store(*opened.wal, Entries(1, 20, 1));
    Store(*opened.wal, Entries(15, 18, 2));
    REQUIRE(base::Ok(opened.wal->SaveHardState({3, "b", 12})));
    REQUIRE(base::Ok(opened.wal->Truncate(17)));
    REQUIRE(base::Ok(opened.wal->Sync()));
    CHECK(opened.wal->SegmentCount() > 1);
  }
  disk.LoseUnsynced();
  const OpenedWal opened = Open(disk, 512);
  CHECK(opened.hard_state == HardState{3, "b", 12});
  std::vector<LogEntry> expected = Entries(1, 14, 1);
  std::ranges::copy(Entries(15, 17, 2), std::back_inserter(expected));
  CHECK(opened.entries == expected);
  CHECK(opened.cut_bytes == 0);
}

// Guards against a crash in the middle of a write that loses synced entries or stops the start.
TEST_CASE("a torn tail is cut, what was synced stays") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    base::Random random(seed);
    FakeDisk disk;
    const Index synced = 1 + random.Below(30);
    {
      OpenedWal opened = Open(disk, 300);
      Store(*opened.wal, Entries(1, synced, 1));
      REQUIRE(base::Ok(opened.wal->Append(Entries(synced + 1, synced + 5, 1))));
    }
    disk.Crash(random);
    OpenedWal opened = Open(disk, 300);
    REQUIRE(opened.entries.size() >= synced);
    REQUIRE(opened.entries == Entries(1, opened.entries.size(), 1));
    // The log must accept entries after the cut, and find them again.
    const Index next = opened.entries.size() + 1;
    Store(*opened.wal, Entries(next, next, 2));
    opened.wal.reset();
    disk.LoseUnsynced();
    REQUIRE(Open(disk, 300).entries.back() == Entry(next, 2));
  }
}

// Guards against a replica that never starts again after a power loss: the disk had kept an
// unsynced write and lost the one before it, and the gap was taken for damage.
TEST_CASE("unsynced writes that reached the disk in another order are cut, what was synced stays") {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    INFO("seed " << seed);
    base::Random random(seed);
    FakeDisk disk;
    const Index synced = 1 + random.Below(10);
    {
      OpenedWal opened = Open(disk);
      Store(*opened.wal, Entries(1, synced, 1));
      for (Index next = synced + 1; next <= synced + 6; ++next) {
        REQUIRE(base::Ok(opened.wal->Append(Entries(next, next, 1))));
        REQUIRE(base::Ok(opened.wal->SaveHardState({1, "a", next - 1})));
      }
    }
    disk.Crash(random);
    OpenedWal opened = Open(disk);
    REQUIRE(opened.entries.size() >= synced);
    REQUIRE(opened.entries == Entries(1, opened.entries.size(), 1));
    const Index next = opened.entries.size() + 1;
    Store(*opened.wal, Entries(next, next, 2));
    opened.wal.reset();
    disk.LoseUnsynced();
    REQUIRE(Open(disk).entries.back() == Entry(next, 2));
  }
}

// Guards against a flipped bit that is taken for a torn tail or read as data, and against an open
// that changes files although it fails.
TEST_CASE("a flipped bit anywhere in synced data is reported with file and offset") {
  FakeDisk disk;
  {
    OpenedWal opened = Open(disk, 512);
    Store(*opened.wal, Entries(1, 12, 1));
    REQUIRE(base::Ok(opened.wal->SaveSnapshot({2, 1, "configuration", "state"})));
    Store(*opened.wal, Entries(13, 14, 1));
  }
  disk.LoseUnsynced();
  const auto names = disk.List("data");
  REQUIRE(base::ValueOf(names).size() >= 3);
  std::uint64_t flips = 0;
  for (const std::string& name : base::ValueOf(names)) {
    const std::string path = fmt::format("data/{}", name);
    for (std::uint64_t offset = 0; disk.FlipBit(path, offset, offset % 8); ++offset) {
      const std::uint64_t used = disk.UsedBytes();
      const StorageError error = OpenError(disk);
      const bool known =
          error.kind == StorageErrorKind::kDamaged || error.kind == StorageErrorKind::kFormat;
      REQUIRE(known);
      REQUIRE(error.message.find(path) != std::string::npos);
      REQUIRE(disk.UsedBytes() == used);
      disk.FlipBit(path, offset, offset % 8);
      ++flips;
    }
  }
  CHECK(flips > 700);
  CHECK(Open(disk, 512).entries.size() == 12);
}

// Guards against a lost file in the middle, or an incomplete one before the last, going unnoticed.
TEST_CASE("missing and incomplete segments are damage") {
  FakeDisk disk;
  {
    OpenedWal opened = Open(disk, 256);
    for (Index index = 1; index <= 30; ++index) Store(*opened.wal, Entries(index, index, 1));
    REQUIRE(opened.wal->SegmentCount() > 3);
  }
  SECTION("missing") {
    REQUIRE(base::Ok(disk.Remove("data/wal-0000000000000002.log")));
    CHECK(OpenError(disk).message.find("wal-0000000000000003.log") != std::string::npos);
  }
  SECTION("first missing") {
    REQUIRE(base::Ok(disk.Remove("data/wal-0000000000000001.log")));
    CHECK(OpenError(disk).message.find("entries before the first") != std::string::npos);
  }
  SECTION("incomplete") {
    REQUIRE(disk.CutFile("data/wal-0000000000000002.log", 100));
    CHECK(OpenError(disk).message.find("data/wal-0000000000000002.log at offset") !=
          std::string::npos);
  }
}

// Guards against a newer program's files being misread by an older one.
TEST_CASE("an unknown format version is refused") {
  FakeDisk disk;
  std::string header = internal::EncodeFileHeader(1).substr(0, 8);
  internal::PutU32(header, 9);
  internal::PutU64(header, 1);
  internal::PutU32(header, static_cast<std::uint32_t>(internal::Checksum(header, 0)));
  const auto file = disk.Open("data/wal-0000000000000001.log");
  REQUIRE(base::Ok(base::ValueOf(file)->Append(header)));
  const StorageError error = OpenError(disk);
  CHECK(error.kind == StorageErrorKind::kFormat);
  CHECK(error.message.find("format version 9") != std::string::npos);
}

// Guards against a full disk that damages the log or ends its use for good.
TEST_CASE("a full disk refuses writes and stays usable") {
  FakeDisk disk;
  OpenedWal opened = Open(disk);
  Store(*opened.wal, Entries(1, 5, 1));
  for (std::uint64_t room = 0; room < 60; ++room) {
    disk.SetCapacity(disk.UsedBytes() + room);
    const auto appended = opened.wal->Append(Entries(6, 8, 1));
    REQUIRE_FALSE(base::Ok(appended));
    REQUIRE(base::ErrorOf(appended).kind == StorageErrorKind::kNoSpace);
    const auto saved = opened.wal->SaveSnapshot({3, 1, "", std::string(100, 's')});
    REQUIRE(base::ErrorOf(saved).kind == StorageErrorKind::kNoSpace);
  }
  CHECK_FALSE(opened.wal->Failed());
  disk.SetCapacity(1U << 20U);
  Store(*opened.wal, Entries(6, 8, 1));
  opened.wal.reset();
  disk.LoseUnsynced();
  CHECK(Open(disk).entries == Entries(1, 8, 1));
}

// Guards against a second sync that reports success for pages the kernel has dropped.
TEST_CASE("a failed sync is final for the process") {
  FakeDisk disk;
  OpenedWal opened = Open(disk);
  Store(*opened.wal, Entries(1, 5, 1));
  REQUIRE(base::Ok(opened.wal->Append(Entries(6, 6, 1))));
  disk.FailSyncAfter(0);
  CHECK_FALSE(base::Ok(opened.wal->Sync()));
  CHECK(opened.wal->Failed());
  CHECK(base::ErrorOf(opened.wal->Sync()).kind == StorageErrorKind::kFailed);
  CHECK(base::ErrorOf(opened.wal->Append(Entries(7, 7, 1))).kind == StorageErrorKind::kFailed);
  opened.wal.reset();
  disk.LoseUnsynced();
  CHECK(Open(disk).entries == Entries(1, 5, 1));
}

// Guards against a log that counts what was written around a failed sync as durable, and against
// one that is unreadable after a crash that follows its recovery.
TEST_CASE("a recovered log holds what was synced and takes writes again") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    base::Random random(seed);
    FakeDisk disk;
    OpenedWal opened = Open(disk, 300);
    Index synced = 0;
    for (int fault = 0; fault < 3; ++fault) {
      const Index next = synced + 1 + random.Below(8);
      Store(*opened.wal, Entries(synced + 1, next, 1));
      synced = next;
      if (random.Chance(0.5)) {
        disk.FailSyncAfter(random.Below(3));
      } else {
        disk.SetCapacity(disk.UsedBytes() + random.Below(400));
      }
      // The fault may also hit the file or the name of a new segment.
      const auto appended = opened.wal->Append(Entries(synced + 1, synced + 5, 1));
      if (base::Ok(appended) && base::Ok(opened.wal->Sync())) synced += 5;
      disk.ClearFaults();
      REQUIRE(base::Ok(opened.wal->Recover()));
      CHECK_FALSE(opened.wal->Failed());
    }
    Store(*opened.wal, Entries(synced + 1, synced + 2, 2));
    REQUIRE(base::Ok(opened.wal->Append(Entries(synced + 3, synced + 4, 2))));
    opened.wal.reset();
    disk.Crash(random);
    opened = Open(disk, 300);
    std::vector<LogEntry> expected = Entries(1, synced, 1);
    std::ranges::copy(Entries(synced + 1, synced + 2, 2), std::back_inserter(expected));
    REQUIRE(opened.entries.size() >= expected.size());
    opened.entries.resize(expected.size());
    REQUIRE(opened.entries == expected);
  }
}

// Guards against entries that are written during a sync and are lost when the sync ends with a new
// segment, since later syncs only reach that one.
TEST_CASE("what is written during a sync is durable after the next one") {
  FakeDisk disk;
  OpenedWal opened = Open(disk, 256);
  Store(*opened.wal, Entries(1, 3, 1));
  REQUIRE(base::Ok(opened.wal->Append(Entries(4, 6, 1))));
  const Wal::SyncCall sync = opened.wal->BeginSync();
  const auto synced = sync();
  REQUIRE(base::Ok(opened.wal->Append(Entries(7, 7, 1))));
  const std::size_t segments = opened.wal->SegmentCount();
  REQUIRE(base::Ok(opened.wal->FinishSync(synced)));
  CHECK(opened.wal->SegmentCount() > segments);
  Store(*opened.wal, Entries(8, 8, 1));
  opened.wal.reset();
  disk.LoseUnsynced();
  CHECK(Open(disk, 256).entries == Entries(1, 8, 1));
}

// Guards against a log that is used on although a sync on another thread failed.
TEST_CASE("a failed sync on another thread is final for the process") {
  FakeDisk disk;
  OpenedWal opened = Open(disk);
  Store(*opened.wal, Entries(1, 5, 1));
  REQUIRE(base::Ok(opened.wal->Append(Entries(6, 6, 1))));
  disk.FailSyncAfter(0);
  CHECK_FALSE(base::Ok(opened.wal->FinishSync(opened.wal->BeginSync()())));
  CHECK(opened.wal->Failed());
  CHECK(base::ErrorOf(opened.wal->BeginSync()()).kind == StorageErrorKind::kFailed);
  CHECK(base::ErrorOf(opened.wal->Append(Entries(7, 7, 1))).kind == StorageErrorKind::kFailed);
}

// Guards against a crash at any sync while a snapshot is saved that loses the state, and against
// segments that are never removed.
TEST_CASE("a snapshot replaces the log that it covers, whatever sync a crash follows") {
  for (std::uint32_t syncs = 0; syncs < 8; ++syncs) {
    base::Random random(syncs + 1);
    FakeDisk disk;
    OpenedWal opened = Open(disk, 256);
    for (Index index = 1; index <= 30; ++index) Store(*opened.wal, Entries(index, index, 1));
    const std::size_t segments = opened.wal->SegmentCount();
    disk.FailSyncAfter(syncs);
    const bool saved = base::Ok(opened.wal->SaveSnapshot({25, 1, "members", "state"}));
    if (saved) CHECK(opened.wal->SegmentCount() < segments);
    opened.wal.reset();
    disk.Crash(random);
    const OpenedWal again = Open(disk, 256);
    const Index base = again.snapshot ? again.snapshot->index : 0;
    CHECK((base == 25 || (base == 0 && !saved)));
    CHECK(again.entries == Entries(base + 1, 30, 1));
    const auto names = disk.List("data");
    CHECK(std::ranges::none_of(base::ValueOf(names),
                               [](const auto& name) { return name.ends_with(".tmp"); }));
  }
}

// Guards against a power loss that brings back some of the segments that a snapshot covers, or
// undoes some other change of the folder, so that the replica never starts again (review/6).
TEST_CASE("a power loss at any operation leaves a log that opens, whatever names survive") {
  FakeDisk disk;
  OpenedWal opened = Open(disk, 400);
  // What a power loss must leave, and the latest that it may.
  Index synced = 0;
  Index written = 0;
  Index snapshot = 0;
  std::size_t losses = 0;
  std::size_t most_names = 0;
  const auto lose_power = [&](std::uint64_t kept_names) {
    INFO("kept names " << kept_names << ", synced up to " << synced << ", snapshot " << snapshot);
    const std::unique_ptr<FakeDisk> clone = disk.Clone();
    clone->LoseUnsyncedBut(kept_names);
    const OpenedWal again = Open(*clone, 400);
    const Index base = again.snapshot ? again.snapshot->index : 0;
    REQUIRE(base >= snapshot);
    const Index last = again.entries.empty() ? base : again.entries.back().index;
    REQUIRE(last >= synced);
    REQUIRE(last <= std::max(written, base));
    REQUIRE(again.entries == Entries(base + 1, last, 1));
    REQUIRE(again.hard_state.term >= synced / 10);
    losses += 1;
  };
  disk.on_change = [&] {
    const std::size_t names = std::min<std::size_t>(disk.UnsyncedNames(), 10);
    most_names = std::max(most_names, names);
    for (std::uint64_t kept = 0; kept < (std::uint64_t{1} << names); ++kept) lose_power(kept);
  };
  for (Index index = 1; index <= 240; ++index) {
    written = index;
    REQUIRE(base::Ok(opened.wal->Append(Entries(index, index, 1))));
    if (index % 10 == 0) {
      REQUIRE(base::Ok(opened.wal->SaveHardState({index / 10, "b", index})));
    }
    REQUIRE(base::Ok(opened.wal->Sync()));
    synced = index;
    if (index % 25 == 0) {
      REQUIRE(base::Ok(opened.wal->SaveSnapshot({index - 3, 1, "members", "state"})));
      snapshot = index - 3;
    }
  }
  // Otherwise no snapshot has removed several segments.
  CHECK(most_names >= 3);
  CHECK(losses > 1'000);
}

// Guards against acknowledged entries that are dropped silently: a gap that no snapshot covers is
// damage, also where the segments behind it have no entries.
TEST_CASE("a gap behind the snapshot is damage") {
  FakeDisk disk;
  {
    OpenedWal opened = Open(disk, 256);
    for (Index index = 1; index <= 30; ++index) Store(*opened.wal, Entries(index, index, 1));
    REQUIRE(base::Ok(opened.wal->SaveSnapshot({12, 1, "members", "state"})));
  }
  disk.LoseUnsynced();
  const auto names = disk.List("data");
  REQUIRE(base::Ok(names));
  std::vector<std::string> segments;
  std::ranges::copy_if(base::ValueOf(names), std::back_inserter(segments),
                       [](const auto& name) { return name.starts_with("wal-"); });
  REQUIRE(segments.size() > 4);
  SECTION("before entries") {
    REQUIRE(base::Ok(disk.Remove("data/" + segments[segments.size() - 3])));
    CHECK(OpenError(disk).message.find(segments[segments.size() - 2]) != std::string::npos);
  }
  SECTION("before a segment without entries") {
    disk.LoseUnsynced();
    // The last segment has just begun.
    OpenedWal opened = Open(disk, 256);
    Index next = 31;
    const std::size_t before = opened.wal->SegmentCount();
    while (opened.wal->SegmentCount() == before) {
      Store(*opened.wal, Entries(next, next, 1));
      next += 1;
    }
    opened.wal.reset();
    disk.LoseUnsynced();
    REQUIRE(base::Ok(disk.Remove("data/" + segments.back())));
    CHECK(OpenError(disk).message.find("the segment before it is missing") != std::string::npos);
  }
}

// Guards against entries of an abandoned branch that come back behind an installed snapshot.
TEST_CASE("an installed snapshot voids a log that disagrees with it") {
  FakeDisk disk;
  OpenedWal opened = Open(disk);
  Store(*opened.wal, Entries(1, 10, 1));
  REQUIRE(base::Ok(opened.wal->SaveSnapshot({5, 2, "", "state"})));
  opened.wal.reset();
  disk.LoseUnsynced();
  OpenedWal again = Open(disk);
  CHECK(again.entries.empty());
  Store(*again.wal, Entries(6, 7, 2));
  again.wal.reset();
  CHECK(Open(disk).entries == Entries(6, 7, 2));
}

}  // namespace
}  // namespace mangoroad::storage
