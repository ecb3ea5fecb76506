#include "mangoctl/session.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "table/table.h"

namespace mangoroad::mangoctl {
namespace {

using Json = nlohmann::json;

constexpr int kFirstErrorStatus = 300;
constexpr int kServiceUnavailable = 503;

/// Reads the operator token: the first line of the key file.
std::optional<std::string> ReadToken(Session& session) {
  if (session.key_file.empty()) return "";
  std::ifstream file(session.key_file);
  std::string token;
  if (!std::getline(file, token) || token.empty()) {
    session.Fail(ExitCode::kError, "key-file",
                 fmt::format("can't read an operator token from '{}'", session.key_file));
    return std::nullopt;
  }
  return token;
}

ExitCode CodeOf(int status, const std::string& error) {
  if (error == "conflict") return ExitCode::kConflict;
  if (status == kServiceUnavailable) return ExitCode::kNoQuorum;
  return ExitCode::kError;
}

}  // namespace

Session::Session(Console& run_console)
    : console(run_console), out(run_console.out, run_console.is_terminal) {}

std::optional<EntryClient> Session::MakeClient() {
  const auto token = ReadToken(*this);
  if (!token) return std::nullopt;
  const auto timeout = this->answer_timeout.value_or(std::chrono::milliseconds(this->timeout_ms));
  return EntryClient({this->entries, timeout, *token}, [this](const std::string& message) {
    if (!this->json) this->console.err << "mangoctl: " << message << '\n';
  });
}

std::optional<Json> Session::Get(const std::string& path) {
  const auto client = this->MakeClient();
  return client ? this->Understand(client->Get(path), Json()) : std::nullopt;
}

std::optional<Json> Session::Post(const std::string& path, const Json& body) {
  const auto client = this->MakeClient();
  const std::string text = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return client ? this->Understand(client->Post(path, text), body) : std::nullopt;
}

std::optional<Json> Session::PostChange(const std::string& path, Json body) {
  if (this->change_id.empty()) this->change_id = MakeChangeId();
  body["change_id"] = this->change_id;
  body["author"] = this->author;
  body["reason"] = this->reason;
  return this->Post(path, body);
}

void Session::FailUnanswered(const Reply& reply, const Json& request) {
  if (reply.has_bad_address && !reply.may_have_run) {
    this->Fail(ExitCode::kError, "address", reply.message);
    return;
  }
  std::string message = "no entry VM answered: " + reply.message;
  if (reply.may_have_run && request.contains("change_id")) {
    message += fmt::format(
        "; the change may have been accepted: run the same command again with "
        "--change-id {}",
        Cell(request, "change_id"));
  }
  this->Fail(ExitCode::kUnreachable, "unreachable", message);
}

std::optional<Json> Session::Understand(const Reply& reply, const Json& request) {
  this->error_body.clear();
  if (reply.status == 0) {
    this->FailUnanswered(reply, request);
    return std::nullopt;
  }
  Json answer = Json::parse(reply.body, nullptr, false);
  if (!answer.is_object()) {
    const ExitCode failure = CodeOf(reply.status, "");
    this->Fail(
        failure, "bad-answer",
        fmt::format("{}: answer with status {} is not a JSON object", reply.address, reply.status));
    return std::nullopt;
  }
  if (reply.status < kFirstErrorStatus) return answer;
  const std::string error = Cell(answer, "error");
  this->error_body = reply.body;
  this->code = CodeOf(reply.status, error);
  if (this->json) {
    this->console.out << answer.dump(2) << '\n';
    return std::nullopt;
  }
  this->console.err << fmt::format("mangoctl: {}: {}: {}", reply.address, error,
                                   Cell(answer, "message"))
                    << '\n';
  if (reply.may_have_run && request.contains("change_id")) {
    this->console.err << fmt::format(
        "mangoctl: the change may have been accepted: run the same command again with --change-id "
        "{}\n",
        Cell(request, "change_id"));
  }
  return std::nullopt;
}

void Session::Show(const Json& object, const std::function<void()>& print) {
  if (this->json) {
    this->console.out << object.dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
  } else {
    print();
  }
}

void Session::Fail(ExitCode exit_code, const std::string& kind, const std::string& message) {
  this->code = exit_code;
  if (this->json) {
    const Json object{{"error", kind}, {"message", message}};
    this->console.out << object.dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
  } else {
    this->console.err << "mangoctl: " << message << '\n';
  }
}

void Session::Progress(const std::string& text) {
  if (!this->console.is_terminal || this->json) return;
  this->console.err << "\r\x1b[K" << text << std::flush;
  this->has_progress = true;
}

void Session::EndProgress() {
  if (std::exchange(this->has_progress, false)) this->console.err << "\r\x1b[K" << std::flush;
}

std::string MakeChangeId() {
  // Ids of different operators must differ, so the seed comes from the system.
  std::random_device device;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", device(), device(), device(), device());
}

std::optional<std::string> ReadInput(Session& session, const std::string& path) {
  std::ifstream file;
  if (path != "-") file.open(path, std::ios::binary);
  std::istream& in = path == "-" ? session.console.in : file;
  std::string text(table::kMaxCsvBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (in.bad() || (path != "-" && !file.is_open())) {
    session.Fail(ExitCode::kError, "file", fmt::format("can't read '{}'", path));
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(in.gcount()));
  return text;
}

}  // namespace mangoroad::mangoctl
