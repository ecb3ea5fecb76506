// Helpers that apply typed changes to a ClusterState.
#pragma once

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "state/cluster_state.h"
#include "state/state_codec.h"
#include "table/csv_reader.h"

namespace mangoroad::state {

/// CSV of rows with a name and a weight; the other fields are constant.
inline std::string MakeCsv(const std::vector<std::pair<std::string, std::uint32_t>>& rows) {
  std::vector<table::Row> list;
  for (const auto& [name, weight] : rows) {
    table::Row row;
    row.row = name;
    row.team = "team";
    row.deadline_ms = 100;
    row.weight = weight;
    list.push_back(row);
  }
  return table::WriteCsv(list);
}

inline ApplyTable MakeChange(const std::string& id, std::uint64_t base_version,
                             const std::string& csv) {
  return {{id, "asha", 1000, "test"}, base_version, csv, {}};
}

inline ChangeView MakeView(const std::string& id, ViewAction action, const std::string& member,
                           std::uint64_t base_view, const std::string& domain = "kochi") {
  return {{id, "asha", 5000, ""}, action, domain, member, base_view};
}

inline ChangeTarget MakeTarget(const std::string& id, TargetAction action,
                               std::uint64_t incarnation = 0) {
  return {{id, "asha", 5000, "broken"}, action, "vm-1", incarnation};
}

template <typename Answer>
Answer ApplyAs(ClusterState& state, const std::string& command) {
  const ApplyResult result = state.Apply(state.AppliedIndex() + 1, 1, command);
  auto answer = Decode<Answer>(result.answer);
  REQUIRE(base::Ok(answer));
  return base::ValueOf(answer);
}

inline TableAnswer Apply(ClusterState& state, const ApplyTable& change) {
  return ApplyAs<TableAnswer>(state, EncodeCommand(change));
}
inline ChangeAnswer Apply(ClusterState& state, const ChangeView& change) {
  return ApplyAs<ChangeAnswer>(state, EncodeCommand(change));
}
inline ChangeAnswer Apply(ClusterState& state, const ChangeTarget& change) {
  return ApplyAs<ChangeAnswer>(state, EncodeCommand(change));
}

/// Replaces the state by one restored from its snapshot.
inline void Restart(std::unique_ptr<ClusterState>& state) {
  const std::string snapshot = state->Snapshot();
  state = std::make_unique<ClusterState>();
  REQUIRE(base::Ok(state->Restore(snapshot)));
}

}  // namespace mangoroad::state
