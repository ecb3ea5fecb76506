// Slopes of an entry VM on the live path: ownership, loans, routing, keys and the table.

#include <fmt/format.h>

#include <algorithm>
#include <memory>

#include "entry/json_reader.h"
#include "entry/target_directory.h"
#include "lending/holder.h"
#include "lending/lending_codec.h"
#include "lending/owner.h"
#include "registry/key_registry.h"
#include "routing/holder_slots.h"
#include "routing/router.h"
#include "slope.h"
#include "state/cluster_state.h"
#include "state/state_codec.h"
#include "table/csv_reader.h"

namespace mangoroad::bench {
namespace {

/// 15,000 targets in 9 failure domains.
constexpr double kTargetsPerDomain = 1'667;
constexpr double kChangesPerDay = 18'000;
constexpr double kRowsAtTarget = 330;  // three rows for each of 110 teams
/// Keyed requests of ten minutes at 100 a second in one failure domain.
constexpr double kClaims = 60'000;

const base::TimePoint kStart(std::chrono::seconds(1));

std::string TargetOf(int number) { return fmt::format("target-{:05}", number); }

lending::Announcement AnnouncementOf(int number, std::uint64_t nonce) {
  return {.target = TargetOf(number),
          .address = "127.0.0.1:9000",
          .fence = {1, 1},
          .nonce = nonce,
          .capacity = {8, 64}};
}

/// An owner of `count` targets and a holder that has borrowed all of their slots.
struct Fleet {
  lending::Owner owner{"vm.1", 7};
  lending::Holder holder{"vm.1"};
  std::vector<std::uint64_t> nonces;

  explicit Fleet(int count) : nonces(static_cast<std::size_t>(count)) {
    this->Announce(kStart);
    this->Announce(kStart);
    for (int i = 0; i < count; ++i) {
      const auto index = this->holder.SetOwner(TargetOf(i), "vm.1", {1, 1});
      this->holder.SetDemand(index, {8, 16});
    }
    this->Borrow(kStart);
  }

  void Announce(base::TimePoint now) {
    for (std::size_t i = 0; i < this->nonces.size(); ++i) {
      this->nonces[i] =
          this->owner.OnAnnouncement(now, AnnouncementOf(static_cast<int>(i), this->nonces[i]))
              .nonce;
    }
  }

  void Borrow(base::TimePoint now) {
    for (const lending::BorrowRequest& borrow : this->holder.Tick(now)) {
      const auto decoded = lending::DecodeBorrowRequest(lending::Encode(borrow));
      const auto lend = this->owner.OnBorrowRequest(now, base::ValueOf(decoded));
      this->holder.OnLendMessage(now,
                                 base::ValueOf(lending::DecodeLendMessage(lending::Encode(lend))));
    }
  }
};

double FleetBytes(double size) {
  const std::int64_t before = HeapBytes();
  const auto fleet = std::make_unique<Fleet>(static_cast<int>(size));
  return static_cast<double>(HeapBytes() - before) / 1e6;
}

/// Processor time to take one announcement of each target, in milliseconds.
double AnnounceTime(double size) {
  Fleet fleet(static_cast<int>(size));
  base::TimePoint now = kStart;
  return MicrosecondsOf([&] {
           now += std::chrono::milliseconds(500);
           fleet.Announce(now);
         }) /
         1e3;
}

/// Processor time to renew the loans on each target once, at holder and owner, in milliseconds.
double BorrowTime(double size) {
  Fleet fleet(static_cast<int>(size));
  base::TimePoint now = kStart;
  return MicrosecondsOf([&] {
           now += std::chrono::milliseconds(250);
           fleet.Announce(now);
           fleet.Borrow(now);
         }) / 1e3 -
         AnnounceTime(size);
}

/// Processor time to read the JSON of one announcement of each target, in milliseconds.
double AnnounceJsonTime(double size) {
  const std::string body =
      R"({"address":"127.0.0.1:9000","incarnation":1796364193760,"epoch":1,"nonce":12345678901234567,)"
      R"("failure_domain":"kochi","rack":"rack-1","processors":16,"memory_mib":61440,"accelerators":0,)"
      R"("slots":8,"connections":64,"kinds":[],"in_progress":{"kochi-1.117726562058332849":3},)"
      R"("open_connections":{"kochi-1.117726562058332849":5},"leaving":false})";
  return MicrosecondsOf([&] {
           for (int i = 0; i < static_cast<int>(size); ++i) {
             entry::JsonReader reader(body);
             for (const char* name : {"address", "failure_domain", "rack"}) {
               reader.Text(name, entry::Presence::kRequired);
             }
             for (const char* name : {"incarnation", "epoch", "nonce", "memory_mib", "accelerators",
                                      "slots", "connections"}) {
               reader.Unsigned(name, entry::Presence::kRequired);
             }
             reader.Number("processors", entry::Presence::kRequired, 0, 4096);
             reader.Texts("kinds", entry::Presence::kOptional);
             reader.IntegerMap("in_progress", entry::Presence::kOptional);
             reader.IntegerMap("open_connections", entry::Presence::kOptional);
             reader.Flag("leaving", entry::Presence::kOptional);
             if (!reader.Fault().empty()) fmt::print(stderr, "{}\n", reader.Fault());
           }
         }) /
         1e3;
}

entry::TargetInfo InfoOf(int number) {
  entry::TargetInfo info;
  info.id = TargetOf(number);
  info.address = "127.0.0.1:9000";
  info.failure_domain = "kochi";
  info.rack = "rack-1";
  info.resources = {16'000, 61'440, 0};
  info.capacity = {8, 64};
  info.fence = {1'796'364'193'760, 1};
  info.owner = "kochi-1";
  info.owner_identity = "kochi-1.117726562058332849";
  return info;
}

double DirectoryBytes(double size) {
  const std::int64_t before = HeapBytes();
  entry::TargetDirectory directory;
  for (int i = 0; i < static_cast<int>(size); ++i) directory.Update(InfoOf(i));
  return static_cast<double>(HeapBytes() - before) / 1e6;
}

double RecordBytes(double size) {
  std::vector<entry::TargetInfo> targets;
  targets.reserve(static_cast<std::size_t>(size));
  for (int i = 0; i < static_cast<int>(size); ++i) targets.push_back(InfoOf(i));
  return static_cast<double>(entry::EncodeTargets(targets).size()) / 1e3;
}

/// Memory of the router beyond that of owner and holder.
double RouterBytes(double size) {
  Fleet fleet(static_cast<int>(size));
  routing::HolderSlots slots(fleet.holder);
  const std::int64_t before = HeapBytes();
  routing::Router router({.domain = "kochi"}, slots);
  router.SetRows({{.name = "push", .retries = 1}});
  for (int i = 0; i < static_cast<int>(size); ++i) {
    if (const auto index = fleet.holder.Find(TargetOf(i))) router.SetTarget(kStart, *index, true);
  }
  return static_cast<double>(HeapBytes() - before) / 1e6;
}

/// Processor time of 10,000 requests through the router, in milliseconds.
double RequestTime(double size) {
  constexpr int kRequests = 10'000;
  Fleet fleet(static_cast<int>(size));
  routing::HolderSlots slots(fleet.holder);
  routing::Router router({.domain = "kochi"}, slots);
  router.SetRows({{.name = "push", .retries = 1}});
  for (int i = 0; i < static_cast<int>(size); ++i) {
    if (const auto index = fleet.holder.Find(TargetOf(i))) router.SetTarget(kStart, *index, true);
  }
  std::uint64_t next = 1;
  return MicrosecondsOf([&] {
           for (int i = 0; i < kRequests; ++i) {
             router.Submit(kStart,
                           {.id = next++, .row = 0, .deadline = kStart + std::chrono::seconds(2)});
             for (const auto& send : router.TakeActions().send) {
               router.OnAttemptEnd(kStart, {send.id, send.attempt, routing::AttemptResult::kRan});
             }
             router.TakeActions();
           }
         }) /
         1e3;
}

double ClaimBytes(double size) {
  const std::int64_t before = HeapBytes();
  registry::KeyRegistry keys("vm.1", 1UL << 30U);
  keys.SetView(kStart, {.number = 1, .members = {"vm.1"}, .previous = {}});
  for (int i = 0; i < static_cast<int>(size); ++i) {
    const std::string key = fmt::format("push/bell-{}", i);
    keys.Claim(kStart, {.request = static_cast<std::uint64_t>(i + 1),
                        .key = key,
                        .digest = std::string(64, 'd'),
                        .place = {"kochi"},
                        .deadline = kStart + std::chrono::seconds(2)});
    keys.Finish(kStart, key, {.status = 200, .headers = {}, .body = std::string(128, 'a')});
    keys.TakeOutput();
  }
  return static_cast<double>(HeapBytes() - before) / 1e6;
}

table::Table TableOf(int count, std::uint32_t weight) {
  std::vector<table::Row> rows(static_cast<std::size_t>(count));
  for (std::size_t i = 0; i < rows.size(); ++i) {
    rows[i].row = fmt::format("row-{:04}", i);
    rows[i].team = fmt::format("team-{}", i % 110);
    rows[i].deadline_ms = 1000;
    rows[i].weight = i == 0 ? weight : 1;
  }
  return table::Table(std::move(rows));
}

state::ApplyTable ChangeOf(int rows, std::uint64_t version) {
  state::ApplyTable change;
  change.origin = {fmt::format("change-{}", version), "operator", 1'796'364'193'760, "weights"};
  change.base_version = version;
  change.csv = table::WriteCsv(TableOf(rows, static_cast<std::uint32_t>(version % 1000 + 1)));
  return change;
}

/// Processor time to apply 200 changes of a table, in milliseconds.
double ChangeTime(double size) {
  return MicrosecondsOf([size] {
           state::ClusterState state;
           for (std::uint64_t version = 0; version < 200; ++version) {
             state.Apply(version + 1, 1,
                         state::EncodeCommand(ChangeOf(static_cast<int>(size), version)));
           }
         }) /
         1e3;
}

/// Memory after `size` changes of a table with the rows of the target size.
double HistoryBytes(double size) {
  const std::int64_t before = HeapBytes();
  state::ClusterState state;
  for (std::uint64_t version = 0; version < static_cast<std::uint64_t>(size); ++version) {
    state.Apply(version + 1, 1,
                state::EncodeCommand(ChangeOf(static_cast<int>(kRowsAtTarget), version)));
  }
  return static_cast<double>(HeapBytes() - before) / 1e6;
}

}  // namespace

std::vector<SlopeSpec> LiveSlopes() {
  const std::vector<double> sizes{200, 500, 1'000, 2'000};
  return {
      {"owner and holder", "memory of ownership and loans", "MB", "targets of the domain", sizes,
       kTargetsPerDomain, "one record a target and holder", FleetBytes},
      {"owner", "processor time for one announcement of each target", "ms", "targets of the domain",
       sizes, kTargetsPerDomain, "nonce, no agreement", AnnounceTime},
      {"owner", "processor time to read the JSON of one announcement of each target", "ms",
       "targets of the domain", sizes, kTargetsPerDomain, "nlohmann json", AnnounceJsonTime},
      {"owner and holder", "processor time for one renewal of all loans", "ms",
       "targets of the domain", sizes, kTargetsPerDomain, "one message for all targets of an owner",
       BorrowTime},
      {"entry VM", "memory of target records", "MB", "targets of the domain", sizes,
       kTargetsPerDomain, "records of the own failure domain only", DirectoryBytes},
      {"owner", "size of the records that go to the leader and the domain", "kB",
       "targets of the domain", sizes, kTargetsPerDomain, "msgpack, all records each time",
       RecordBytes},
      {"entry VM", "memory of the router", "MB", "targets of the domain", sizes, kTargetsPerDomain,
       "index by free slots", RouterBytes},
      {"entry VM", "processor time of 10,000 routed requests", "ms", "targets of the domain", sizes,
       kTargetsPerDomain, "constant-time choice", RequestTime},
      {"member of a key registry",
       "memory of claims with answers of 128 bytes",
       "MB",
       "claims",
       {1'000, 5'000, 10'000, 20'000},
       kClaims,
       "kept for ten minutes, bounded",
       ClaimBytes},
      {"replica",
       "processor time of 200 table changes",
       "ms",
       "rows",
       {50, 150, 300},
       kRowsAtTarget,
       "whole table in one command",
       ChangeTime},
      {"replica",
       "memory of table history, answers and audit trail",
       "MB",
       "changes",
       {200, 500, 1'000},
       kChangesPerDay,
       "1,000 versions, 20,000 answers and 4,096 audit records at most",
       HistoryBytes},
  };
}

}  // namespace mangoroad::bench
