#include <catch2/catch.hpp>
#include <string>

#include "audit/chain.h"
#include "entry/audit_file.h"
#include "storage/fake_disk.h"

namespace mangoroad::entry {
namespace {

constexpr const char* kPath = "/data/audit.jsonl";

audit::AuditTrail TrailOf(int count) {
  audit::AuditTrail trail;
  for (int i = 0; i < count; ++i) {
    audit::Event event;
    event.author = "operator";
    event.action = "table.apply";
    trail.Append(event);
  }
  return trail;
}

std::string ContentOf(storage::FileSystem& files) { return base::ValueOf(files.Read(kPath)); }

// Guards against records that are lost or written twice over a restart, and against half a line
// after a crash.
TEST_CASE("the file follows the trail over restarts and torn lines") {
  storage::FakeDisk disk;
  REQUIRE(base::Ok(disk.CreateFolder("/data")));
  const audit::AuditTrail trail = TrailOf(450);
  {
    AuditFile file(disk, kPath);
    REQUIRE(base::Ok(file.Open()));
    REQUIRE(base::Ok(file.Follow(trail)));
  }
  {
    auto raw = disk.Open(kPath);
    REQUIRE(base::Ok(base::ValueOf(raw)->Append(R"({"number":9999)")));
  }
  AuditFile file(disk, kPath);
  REQUIRE(base::Ok(file.Open()));
  CHECK(file.LastNumber() == 200);
  while (file.LastNumber() < trail.LastNumber()) REQUIRE(base::Ok(file.Follow(trail)));
  const auto verified = audit::VerifyJsonLines(ContentOf(disk));
  REQUIRE(base::Ok(verified));
  CHECK(base::ValueOf(verified).records == 450);
  CHECK(base::ValueOf(verified).head == trail.Head());
}

// Guards against a damaged file that is taken for an empty one and written over.
TEST_CASE("a last line that is no record is an error") {
  storage::FakeDisk disk;
  REQUIRE(base::Ok(disk.CreateFolder("/data")));
  {
    auto raw = disk.Open(kPath);
    REQUIRE(base::Ok(base::ValueOf(raw)->Append("not a record\n")));
  }
  AuditFile file(disk, kPath);
  const auto opened = file.Open();
  REQUIRE_FALSE(base::Ok(opened));
  CHECK(base::ErrorOf(opened).kind == storage::StorageErrorKind::kDamaged);
  CHECK(ContentOf(disk) == "not a record\n");
}

}  // namespace
}  // namespace mangoroad::entry
