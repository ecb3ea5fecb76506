#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "controller/identity.h"
#include "storage/fake_disk.h"

namespace mangoroad::controller {
namespace {

const std::vector<std::string> kVoters{"10.1.0.1:7000", "10.2.0.1:7000", "10.3.0.1:7000"};

Identity Load(storage::FakeDisk& disk, bool is_first_start, std::uint64_t random_bits) {
  const auto loaded = LoadIdentity(disk, "/data", kVoters[0], is_first_start, kVoters, random_bits);
  REQUIRE(base::Ok(loaded));
  return base::ValueOf(loaded);
}

// Guards against replicas without a configuration after all were stopped at once, because the
// settings may name other VMs by then. The fault occurred on each simulated day that ended with a
// stop of all replicas.
TEST_CASE("the first voters are known after a restart") {
  storage::FakeDisk disk;
  CHECK(Load(disk, true, 1).id == kVoters[0]);
  const Identity again = Load(disk, false, 2);
  CHECK(again.id == kVoters[0]);
  CHECK(again.first_voters == kVoters);
}

// Guards against a replica that votes twice in a term because its first vote was lost with its
// disk.
TEST_CASE("a replica that lost its disk gets a new identity that is no voter") {
  storage::FakeDisk disk;
  const Identity identity = Load(disk, false, 0xabc);
  CHECK(identity.id == kVoters[0] + "/0000000000000abc");
  CHECK(identity.first_voters.empty());
  CHECK(AddressOf(identity.id) == kVoters[0]);
  CHECK(IpOf(identity.id) == "10.1.0.1");
  CHECK(Load(disk, false, 0xdef).id == identity.id);
}

}  // namespace
}  // namespace mangoroad::controller
