// JSON of the operators' paths, and replies that follow from the answers of the replicated state.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "entry/answers.h"
#include "entry/log_service.h"
#include "net/http_server.h"
#include "state/change.h"
#include "state/table_history.h"
#include "table/diff.h"

namespace mangoroad::entry {

/// Text of a JSON value; bytes that aren't UTF-8 are replaced.
std::string Dump(const nlohmann::json& value);

/// A number in the query, or `fallback` without one; nothing when it is malformed or out of range.
std::optional<std::int64_t> QueryNumber(const net::HttpExchange& exchange, std::string_view name,
                                        std::int64_t fallback, std::int64_t low, std::int64_t high);

nlohmann::json DiffJson(const std::vector<table::RowChange>& changes);
nlohmann::json VersionJson(const state::TableVersion& version);

/// A proposal that wasn't applied: 503 with the outcome that is known.
void ReplyNotApplied(net::HttpExchange& exchange, const ProposalResult& result);
void ReplyTableAnswer(net::HttpExchange& exchange, const std::string& change_id,
                      const state::TableAnswer& answer);
void ReplyChangeAnswer(net::HttpExchange& exchange, const state::ChangeAnswer& answer);

}  // namespace mangoroad::entry
