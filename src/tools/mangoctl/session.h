// What each command of mangoctl works with: options, streams and the entry VMs.
#pragma once

#include <chrono>
#include <functional>
#include <istream>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "mangoctl/entry_client.h"
#include "mangoctl/exit_code.h"
#include "mangoctl/output.h"

// The name is that of the library CLI11.
namespace CLI {  // NOLINT(readability-identifier-naming)
class App;
}  // namespace CLI

namespace mangoroad::mangoctl {

/// Streams and surroundings of one run; tests give their own.
struct Console {
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
  /// True for colours, progress and questions.
  bool is_terminal = false;
  /// Value of an environment variable, or nothing.
  std::function<std::optional<std::string>(const std::string&)> environment;
  /// Waits; tests may return at once.
  std::function<void(std::chrono::milliseconds)> sleep;
  /// Milliseconds on a monotonic clock.
  std::function<std::int64_t()> now_ms;
};

class Session {
 public:
  explicit Session(Console& run_console);

  /// Options of the command line, set by the parser.
  std::vector<std::string> entries;
  bool json = false;
  std::int64_t timeout_ms = 10'000;
  std::string key_file;
  std::string author;
  std::string reason;
  std::string change_id;

  Console& console;
  Output out;

  /// Answer as JSON; on an error, prints it and leaves nothing. `code` tells why.
  std::optional<nlohmann::json> Get(const std::string& path);
  std::optional<nlohmann::json> Post(const std::string& path, const nlohmann::json& body);
  /// Sends an operator's change with author, reason and one change id for all attempts.
  std::optional<nlohmann::json> PostChange(const std::string& path, nlohmann::json body);
  /// Waits for one entry VM at most this long, instead of --timeout.
  void SetAnswerTimeout(std::chrono::milliseconds timeout) { this->answer_timeout = timeout; }

  /// Prints the object in full with --json, otherwise calls `print`.
  void Show(const nlohmann::json& object, const std::function<void()>& print);
  /// Prints an error and sets the exit code.
  void Fail(ExitCode exit_code, const std::string& kind, const std::string& message);
  /// Shows on a terminal how a long wait goes on.
  void Progress(const std::string& text);
  void EndProgress();

  ExitCode code = ExitCode::kSuccess;
  /// The error answer of the last failed request, for more detail; null when there is none.
  std::string error_body;

 private:
  std::optional<EntryClient> MakeClient();
  std::optional<nlohmann::json> Understand(const Reply& reply, const nlohmann::json& request);
  void FailUnanswered(const Reply& reply, const nlohmann::json& request);

  std::optional<std::chrono::milliseconds> answer_timeout;
  bool has_progress = false;
};

/// A random id of 128 bits in hexadecimal.
std::string MakeChangeId();

/// Content of a file, or of standard input for "-"; nothing after an error was printed. At most 1
/// MiB and one byte are read, which is enough to refuse the file as too large.
std::optional<std::string> ReadInput(Session& session, const std::string& path);

/// Each adds its commands to the parser.
void AddTableCommands(CLI::App& app, Session& session);
void AddAuditCommands(CLI::App& app, Session& session);
void AddStatusCommands(CLI::App& app, Session& session);
void AddOperatorCommands(CLI::App& app, Session& session);
void AddJobCommands(CLI::App& app, Session& session);

}  // namespace mangoroad::mangoctl
