#include <catch2/catch.hpp>
#include <string>

#include "controller/replica_manager.h"
#include "support/required.h"

namespace mangoroad::controller {
namespace {

using support::Required;

using std::chrono::seconds;

base::TimePoint At(std::int64_t s) { return base::TimePoint(seconds(s)); }

const std::string kA = "10.1.0.1:7";
const std::string kB = "10.2.0.1:7";
const std::string kC = "10.3.0.1:7";

consensus::Status Status() {
  consensus::Status status;
  status.role = consensus::Role::kLeader;
  status.configuration = {{kA, kB, kC}, {}};
  status.configuration_committed = true;
  status.commit_index = 10;
  status.peers = {{kB, 10, true, true}, {kC, 10, true, true}};
  return status;
}

// Guards against a replica that isn't restored after the loss of its disk: the next failure would
// then cost the quorum.
TEST_CASE("a replica that lost its disk takes its old place once it has caught up") {
  ReplicaManager manager({});
  consensus::Status status = Status();
  CHECK_FALSE(manager.NextChange(At(0), kA, status).has_value());
  const std::string new_identity = kC + "/1";
  manager.OnJoinRequest(new_identity);
  auto change = manager.NextChange(At(1), kA, status);
  REQUIRE(change.has_value());
  CHECK(Required(change).kind == ReplicaChangeKind::kAddLearner);
  status.configuration.learners = {new_identity};
  status.peers = {{kB, 10, true, true}, {kC, 4, false, true}, {new_identity, 3, true, true}};
  CHECK_FALSE(manager.NextChange(At(2), kA, status).has_value());
  status.peers[2].caught_up = true;
  change = manager.NextChange(At(2), kA, status);
  REQUIRE(change.has_value());
  CHECK(Required(change).kind == ReplicaChangeKind::kRemove);
  CHECK(Required(change).id == kC);
  status.configuration.voters = {kA, kB};
  change = manager.NextChange(At(3), kA, status);
  REQUIRE(change.has_value());
  CHECK(Required(change).kind == ReplicaChangeKind::kPromote);
  CHECK(Required(change).id == new_identity);
}

// Guards against removing a voter that is only frozen, or one without a replacement.
TEST_CASE("a silent voter is replaced late, and only by a replica that is ready") {
  ReplicaManager manager({});
  consensus::Status status = Status();
  manager.NextChange(At(0), kA, status);
  status.peers[1].active = false;
  CHECK_FALSE(manager.NextChange(At(60), kA, status).has_value());
  ReplicaManager other({});
  status.configuration.learners = {"10.4.0.1:7"};
  status.peers.push_back({"10.4.0.1:7", 10, true, true, true});
  status.peers[1].active = true;
  other.NextChange(At(0), kA, status);
  status.peers[1].active = false;
  CHECK_FALSE(other.NextChange(At(4), kA, status).has_value());
  const auto change = other.NextChange(At(7), kA, status);
  REQUIRE(change.has_value());
  CHECK(Required(change).kind == ReplicaChangeKind::kRemove);
  CHECK(Required(change).id == kC);
}

// Guards against two concurrent changes, which could result in two disjoint majorities.
TEST_CASE("no change starts before the one before has been committed") {
  ReplicaManager manager({});
  consensus::Status status = Status();
  status.configuration_committed = false;
  manager.OnJoinRequest("10.4.0.1:7");
  CHECK_FALSE(manager.NextChange(At(0), kA, status).has_value());
}

// Guards against a cluster with fewer voters than it could have.
TEST_CASE("voters are added up to the desired number") {
  ReplicaManager manager({.voters = 5});
  consensus::Status status = Status();
  status.configuration.learners = {"10.4.0.1:7", "10.5.0.1:7"};
  status.peers.push_back({"10.4.0.1:7", 10, true, true, true});
  status.peers.push_back({"10.5.0.1:7", 10, true, false});
  const auto change = manager.NextChange(At(0), kA, status);
  REQUIRE(change.has_value());
  CHECK(Required(change).kind == ReplicaChangeKind::kPromote);
  CHECK(Required(change).id == "10.4.0.1:7");
}

// Guards against a configuration that shrinks below its target: a cut-off failure domain with two
// voters cost both of them their vote while one learner was ready, and the next two lost disks cost
// the quorum (vp-kochi-fleet-grown, trouble-2, seed 73425337803).
TEST_CASE("a second silent voter is removed only after the first one's replacement votes") {
  ReplicaManager manager({.voters = 5});
  const std::string d = "10.4.0.1:7";
  const std::string e = "10.5.0.1:7";
  const std::string learner = "10.6.0.1:7";
  consensus::Status status = Status();
  status.configuration = {{kA, kB, kC, d, e}, {learner}};
  status.peers = {{kB, 10, true, true},
                  {kC, 10, true, true},
                  {d, 10, true, true},
                  {e, 10, true, true},
                  {learner, 9, true, true, true}};
  manager.NextChange(At(0), kA, status);
  status.peers[2].active = false;
  status.peers[3].active = false;
  auto change = manager.NextChange(At(7), kA, status);
  REQUIRE(change.has_value());
  CHECK(Required(change).kind == ReplicaChangeKind::kRemove);
  CHECK(Required(change).id == d);
  status.configuration.voters = {kA, kB, kC, e};
  std::erase_if(status.peers, [&](const auto& peer) { return peer.id == d; });
  change = manager.NextChange(At(7), kA, status);
  REQUIRE(change.has_value());
  CHECK(Required(change).kind == ReplicaChangeKind::kPromote);
  CHECK(Required(change).id == learner);
  status.configuration = {{kA, kB, kC, e, learner}, {}};
  CHECK_FALSE(manager.NextChange(At(8), kA, status).has_value());
}

}  // namespace
}  // namespace mangoroad::controller
