// audit list|search|export|verify
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>

#include "audit/chain.h"
#include "mangoctl/session.h"

namespace mangoroad::mangoctl {
namespace {

using Json = nlohmann::json;

constexpr int kExportPage = 500;

struct AuditOptions {
  std::uint64_t from = 0;
  std::uint64_t limit = 50;
  std::string author;
  std::string row;
  std::optional<std::int64_t> since_ms;
  std::optional<std::int64_t> until_ms;
  std::string file;
  std::string head;
  bool force = false;
};

std::string QueryOf(const AuditOptions& options) {
  std::string query = fmt::format("/v1/audit?limit={}", options.limit);
  if (options.from != 0) query += fmt::format("&from={}", options.from);
  if (!options.author.empty()) query += "&author=" + EncodeUriPart(options.author);
  if (!options.row.empty()) query += "&row=" + EncodeUriPart(options.row);
  if (options.since_ms) query += fmt::format("&since_ms={}", *options.since_ms);
  if (options.until_ms) query += fmt::format("&until_ms={}", *options.until_ms);
  return query;
}

void List(Session& session, const AuditOptions& options) {
  const auto answer = session.Get(QueryOf(options));
  if (!answer) return;
  session.Show(*answer, [&] {
    session.out.Columns(Lines(Field(*answer, "records"), {"number", "time_ms", "author", "action",
                                                          "subject", "result", "effect"}));
    const Json& next = Field(*answer, "next");
    if (!next.is_null()) session.out.Line(fmt::format("more: --from {}", next.dump()));
  });
}

/// The audit record of an answer in the canonical form of a JSON-lines file. The order of fields is
/// that of the JSON reference, whatever the order in the answer.
std::string CanonicalLine(const Json& record) {
  static constexpr std::array<const char*, 14> kFields{
      "number", "index",  "time_ms", "author", "action", "subject",       "rows",
      "result", "reason", "before",  "after",  "effect", "previous_hash", "hash"};
  nlohmann::ordered_json line;
  for (const char* name : kFields) line[name] = Field(record, name);
  return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

/// Fetches all records and writes them; false after an error was printed.
bool ExportTo(Session& session, const AuditOptions& options, std::ostream& file,
              audit::ChainVerifier& verifier) {
  std::string from = options.from == 0 ? "" : fmt::format("&from={}", options.from);
  while (true) {
    const auto answer = session.Get(fmt::format("/v1/audit?limit={}{}", kExportPage, from));
    if (!answer) return false;
    for (const Json& record : Field(*answer, "records")) {
      const std::string line = CanonicalLine(record);
      if (const auto fault = verifier.AddLine(line)) {
        session.Fail(ExitCode::kError, "broken-chain", fault->message);
        return false;
      }
      file << line << '\n';
    }
    const Json& next = Field(*answer, "next");
    if (next.is_null()) return true;
    from = "&from=" + next.dump();
    session.Progress(fmt::format("{} records", verifier.Summary().records));
  }
}

/// Writes a file beside the final one and renames it, so that a failed export leaves no partial
/// file.
void Export(Session& session, const AuditOptions& options) {
  audit::ChainVerifier verifier;
  if (options.file == "-") {
    ExportTo(session, options, session.console.out, verifier);
    return;
  }
  if (!options.force && std::filesystem::exists(options.file)) {
    session.Fail(ExitCode::kError, "file",
                 fmt::format("'{}' exists; use --force to replace it", options.file));
    return;
  }
  const std::string partial = options.file + ".part";
  std::ofstream file(partial, std::ios::binary | std::ios::trunc);
  const bool complete = file.is_open() && ExportTo(session, options, file, verifier);
  file.close();
  session.EndProgress();
  std::error_code error;
  if (complete && file.good()) std::filesystem::rename(partial, options.file, error);
  if (session.code == ExitCode::kSuccess && (!complete || !file.good() || error)) {
    session.Fail(ExitCode::kError, "file", fmt::format("can't write '{}'", options.file));
  }
  if (session.code != ExitCode::kSuccess) {
    std::filesystem::remove(partial, error);
    return;
  }
  const audit::ChainSummary& summary = verifier.Summary();
  session.Show({{"file", options.file}, {"records", summary.records}, {"head", summary.head}}, [&] {
    session.out.Line(
        fmt::format("{}: {} records, head {}", options.file, summary.records, summary.head));
  });
}

void Verify(Session& session, const AuditOptions& options) {
  std::ifstream file(options.file, std::ios::binary);
  if (!file.is_open()) {
    session.Fail(ExitCode::kError, "file", fmt::format("can't read '{}'", options.file));
    return;
  }
  audit::ChainVerifier verifier;
  for (std::string line; std::getline(file, line);) {
    if (const auto fault = verifier.AddLine(line)) {
      session.Fail(ExitCode::kError, "broken-chain",
                   fmt::format("{}:{}: {}", options.file, fault->line, fault->message));
      return;
    }
  }
  const audit::ChainSummary& summary = verifier.Summary();
  if (!options.head.empty() && options.head != summary.head) {
    session.Fail(
        ExitCode::kError, "wrong-head",
        fmt::format("{}: the last record, {}, has hash {}, but {} was expected; records are "
                    "missing at the end or were replaced",
                    options.file, summary.last_number, summary.head, options.head));
    return;
  }
  session.Show({{"records", summary.records},
                {"first_number", summary.first_number},
                {"last_number", summary.last_number},
                {"previous_hash", summary.previous_hash},
                {"head", summary.head}},
               [&] {
                 session.out.Line(
                     fmt::format("{}: records {} to {} are intact, head {}", options.file,
                                 summary.first_number, summary.last_number, summary.head),
                     Colour::kGreen);
               });
}

}  // namespace

void AddAuditCommands(CLI::App& app, Session& session) {
  auto options = std::make_shared<AuditOptions>();
  CLI::App* audit = app.add_subcommand("audit", "the audit trail");
  audit->require_subcommand(1);
  const auto add = [&](const char* name, const char* help, auto run) {
    CLI::App* command = audit->add_subcommand(name, help);
    command->callback([&session, options, run] { run(session, *options); });
    return command;
  };
  CLI::App* list = add("list", "list records", List);
  CLI::App* search = add("search", "find records", List);
  search->add_option("--author", options->author, "who made the change");
  search->add_option("--row", options->row, "row that was affected");
  search->add_option("--since-ms", options->since_ms, "first time, in milliseconds since 1970");
  search->add_option("--until-ms", options->until_ms, "last time, in milliseconds since 1970");
  for (CLI::App* command : {list, search}) {
    command->add_option("--limit", options->limit, "most records")->check(CLI::Range(1, 1000));
  }
  CLI::App* export_command = add("export", "write records to a JSON-lines file", Export);
  export_command->add_option("FILE", options->file, "file, or - for standard output")->required();
  export_command->add_flag("--force", options->force, "replace an existing file");
  for (CLI::App* command : {list, search, export_command}) {
    command->add_option("--from", options->from, "number of the first record");
  }
  CLI::App* verify = add("verify", "verify a JSON-lines file without an entry VM", Verify);
  verify->add_option("FILE", options->file, "file to verify")->required();
  verify->add_option("--head", options->head, "hash that the last record must have");
}

}  // namespace mangoroad::mangoctl
