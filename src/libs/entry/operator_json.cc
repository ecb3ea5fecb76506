#include "entry/operator_json.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace mangoroad::entry {
namespace {

using nlohmann::json;

/// Replies with an error that has further fields.
void ReplyErrorWith(net::HttpExchange& exchange, ErrorKind kind, const std::string& message,
                    json fields) {
  fields["error"] = base::NameOf(kErrorKindNames, kind);
  fields["message"] = message;
  fields["outcome"] = base::NameOf(kOutcomeNames, Outcome::kNotRun);
  ReplyJson(exchange, StatusOf(kind), Dump(fields));
}

}  // namespace

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::int64_t> QueryNumber(const net::HttpExchange& exchange, std::string_view name,
                                        std::int64_t fallback, std::int64_t low,
                                        std::int64_t high) {
  const auto text = net::QueryValue(exchange.query, name);
  if (!text) return fallback;
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
  const bool whole = error == std::errc() && end == text->data() + text->size();
  if (!whole || value < low || value > high) return std::nullopt;
  return value;
}

json DiffJson(const std::vector<table::RowChange>& changes) {
  json rows = json::array();
  for (const table::RowChange& change : changes) {
    json fields = json::array();
    for (const table::FieldChange& field : change.fields) {
      fields.push_back(
          {{"column", field.column}, {"before", field.before}, {"after", field.after}});
    }
    rows.push_back({{"row", change.row},
                    {"change", base::NameOf(table::kChangeKindNames, change.kind)},
                    {"fields", std::move(fields)}});
  }
  return rows;
}

json VersionJson(const state::TableVersion& version) {
  return {{"version", version.version},
          {"rows", version.rows},
          {"change_id", version.origin.change_id},
          {"author", version.origin.author},
          {"reason", version.origin.reason},
          {"time_ms", version.origin.time_ms}};
}

void ReplyNotApplied(net::HttpExchange& exchange, const ProposalResult& result) {
  ReplyError(exchange, ErrorKind::kNoQuorum, "not accepted: " + result.message,
             result.fate == ProposalFate::kUnknown ? Outcome::kUnknown : Outcome::kNotRun);
}

void ReplyTableAnswer(net::HttpExchange& exchange, const std::string& change_id,
                      const state::TableAnswer& answer) {
  switch (answer.kind) {
    case state::AnswerKind::kAccepted:
    case state::AnswerKind::kUnchanged:
      ReplyJson(exchange, 200,
                Dump({{"result", base::NameOf(state::kAnswerKindNames, answer.kind)},
                      {"version", answer.version},
                      {"change_id", change_id},
                      {"resent", answer.resent},
                      {"diff", DiffJson(answer.diff)},
                      {"diff_complete", answer.diff_complete}}));
      return;
    case state::AnswerKind::kConflict:
      ReplyErrorWith(exchange, ErrorKind::kConflict, answer.message,
                     {{"base_version", answer.base_version},
                      {"current_version", answer.version},
                      {"diff", DiffJson(answer.diff)},
                      {"diff_complete", answer.diff_complete}});
      return;
    case state::AnswerKind::kFaults: {
      json faults = json::array();
      for (const table::Fault& fault : answer.faults) {
        faults.push_back(
            {{"line", fault.line}, {"column", fault.column}, {"message", fault.message}});
      }
      ReplyErrorWith(exchange, ErrorKind::kFaults, answer.message,
                     {{"faults", std::move(faults)}, {"faults_total", answer.faults_total}});
      return;
    }
    case state::AnswerKind::kUnsafe: {
      json problems = json::array();
      for (const table::UnsafeChange& problem : answer.problems) {
        problems.push_back(
            {{"row", problem.row}, {"column", problem.column}, {"message", problem.message}});
      }
      ReplyErrorWith(exchange, ErrorKind::kUnsafeChange, answer.message,
                     {{"problems", std::move(problems)}});
      return;
    }
    case state::AnswerKind::kChangeIdReused:
      ReplyError(exchange, ErrorKind::kChangeIdReused, answer.message);
      return;
    case state::AnswerKind::kRefused:
      ReplyError(exchange, ErrorKind::kRefused, answer.message);
      return;
    case state::AnswerKind::kMalformed:
      ReplyError(exchange, ErrorKind::kBadRequest, answer.message);
      return;
  }
}

void ReplyChangeAnswer(net::HttpExchange& exchange, const state::ChangeAnswer& answer) {
  switch (answer.kind) {
    case state::AnswerKind::kAccepted:
    case state::AnswerKind::kUnchanged:
      ReplyJson(exchange, 200,
                Dump({{"result", base::NameOf(state::kAnswerKindNames, answer.kind)},
                      {"effect", answer.message},
                      {"index", answer.index}}));
      return;
    case state::AnswerKind::kConflict:
      ReplyError(exchange, ErrorKind::kConflict, answer.message);
      return;
    case state::AnswerKind::kMalformed:
      ReplyError(exchange, ErrorKind::kBadRequest, answer.message);
      return;
    default:
      ReplyError(exchange, ErrorKind::kRefused, answer.message);
  }
}

}  // namespace mangoroad::entry
