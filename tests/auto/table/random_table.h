// Generators of valid rows and tables for property tests.
#pragma once

#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "table/table.h"

namespace mangoroad::table {

inline rc::Gen<Row> RandomRow() {
  const auto name = rc::gen::element<std::string>("a", "b", "c-1", "D.x", "e_9", "zz", "0");
  const auto domain = rc::gen::element<std::string>("kochi", "thrissur", "kozhikode");
  return rc::gen::build<Row>(
      rc::gen::set(&Row::row, name),
      rc::gen::set(&Row::work_class,
                   rc::gen::element(WorkClass::kService, WorkClass::kBatch, WorkClass::kSession)),
      rc::gen::set(&Row::team, name),
      rc::gen::set(&Row::weight, rc::gen::inRange<std::uint32_t>(1, 1001)),
      rc::gen::set(&Row::place, rc::gen::unique<std::vector<std::string>>(2, domain)),
      rc::gen::set(&Row::limit_inflight, rc::gen::inRange<std::uint32_t>(0, 1'000'000)),
      rc::gen::set(&Row::deadline_ms, rc::gen::inRange<std::uint32_t>(1, 86'400'001)),
      rc::gen::set(&Row::retries, rc::gen::inRange<std::uint32_t>(0, 6)),
      rc::gen::set(&Row::idempotent, rc::gen::arbitrary<bool>()),
      rc::gen::set(&Row::urgent, rc::gen::arbitrary<bool>()),
      rc::gen::set(&Row::hold_s, rc::gen::inRange<std::uint32_t>(0, 7201)));
}

/// A table with unique names and equal quotas inside each team.
inline rc::Gen<Table> RandomTable() {
  return rc::gen::map(rc::gen::container<std::vector<Row>>(RandomRow()),
                      [](const std::vector<Row>& candidates) {
                        std::set<std::string> names;
                        std::vector<Row> rows;
                        for (Row row : candidates) {
                          row.quota_processors = static_cast<std::uint32_t>(row.team.size()) * 7;
                          if (names.insert(row.row).second) rows.push_back(row);
                        }
                        return Table(rows);
                      });
}

}  // namespace mangoroad::table
