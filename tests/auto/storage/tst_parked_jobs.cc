#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "base/random.h"
#include "storage/fake_disk.h"
#include "storage/parked_jobs.h"

namespace mangoroad::storage {
namespace {

std::unique_ptr<ParkedJobs> Open(FakeDisk& disk) {
  auto opened = ParkedJobs::Open(disk, "parked");
  if (!base::Ok(opened)) FAIL(base::ErrorOf(opened).message);
  return std::move(base::ValueOf(opened));
}

// Guards against an accepted job that a power loss forgets, and a removed one that comes back.
TEST_CASE("parked jobs survive a crash") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    base::Random random(seed);
    FakeDisk disk;
    std::map<std::string, std::string> expected;
    for (int round = 0; round < 3; ++round) {
      const auto jobs = Open(disk);
      REQUIRE(jobs->List() == expected);
      for (int step = 0; step < 20; ++step) {
        const std::string key = fmt::format("job {}", random.Below(10));
        if (random.Chance(0.6)) {
          expected[key] = fmt::format("record {}", random.Bits());
          REQUIRE(base::Ok(jobs->Add(key, expected[key])));
        } else {
          expected.erase(key);
          REQUIRE(base::Ok(jobs->Remove(key)));
        }
      }
      disk.Crash(random);
    }
  }
}

// Guards against a file that grows without bound, and a rewrite that loses records.
TEST_CASE("removed records are dropped from the file") {
  FakeDisk disk;
  const auto jobs = Open(disk);
  REQUIRE(base::Ok(jobs->Add("kept", "record")));
  for (int i = 0; i < 200; ++i) {
    REQUIRE(base::Ok(jobs->Add(fmt::format("job {}", i), std::string(10000, 'x'))));
    REQUIRE(base::Ok(jobs->Remove(fmt::format("job {}", i))));
  }
  CHECK(disk.UsedBytes() < 400000);
  CHECK(Open(disk)->List().at("kept") == "record");
}

// Guards against a job reported as parked that isn't stored, and a store that a full disk damages.
TEST_CASE("a full disk and a failed sync refuse a job and keep the others") {
  FakeDisk disk;
  auto jobs = Open(disk);
  REQUIRE(base::Ok(jobs->Add("first", "record")));
  disk.SetCapacity(disk.UsedBytes() + 10);
  const auto refused = jobs->Add("second", "record");
  CHECK(base::ErrorOf(refused).kind == StorageErrorKind::kNoSpace);
  CHECK(jobs->List().size() == 1);
  disk.SetCapacity(1U << 20U);
  REQUIRE(base::Ok(jobs->Add("third", "record")));
  disk.FailSyncAfter(0);
  CHECK_FALSE(base::Ok(jobs->Add("fourth", "record")));
  CHECK(base::ErrorOf(jobs->Add("fifth", "record")).kind == StorageErrorKind::kFailed);
  jobs.reset();
  disk.LoseUnsynced();
  CHECK(Open(disk)->List().size() == 2);
}

// Guards against damage that silently drops parked jobs.
TEST_CASE("damage in the store is reported with file and offset") {
  FakeDisk disk;
  auto jobs = Open(disk);
  REQUIRE(base::Ok(jobs->Add("first", "record")));
  REQUIRE(base::Ok(jobs->Add("second", "record")));
  jobs.reset();
  REQUIRE(disk.FlipBit("parked/parked-jobs.log", 45, 2));
  const auto opened = ParkedJobs::Open(disk, "parked");
  REQUIRE_FALSE(base::Ok(opened));
  CHECK(base::ErrorOf(opened).kind == StorageErrorKind::kDamaged);
  CHECK(base::ErrorOf(opened).message ==
        "parked/parked-jobs.log at offset 24: wrong record checksum");
}

}  // namespace
}  // namespace mangoroad::storage
