// Settings of the daemon from flags and environment variables, checked together.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "log/log.h"

namespace mangoroad::settings {

/// Exit codes of the daemon.
enum class ExitCode : std::uint8_t {
  kSuccess = 0,
  /// A failure at run time that has no code of its own.
  kFailure = 1,
  kBadSettings = 2,
  /// An address can't be listened on.
  kCannotListen = 3,
  /// The data folder can't be read or written, or its files are damaged.
  kBadData = 4,
};

/// IPv4 or IPv6 address with a port.
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;

  /// `10.0.0.1:7070` or `[::1]:7070`.
  [[nodiscard]] std::string Text() const;
  bool operator==(const Endpoint&) const = default;
};

/// Reads `IPV4:PORT` or `[IPV6]:PORT`; the error says what is wrong with the text.
base::Result<Endpoint, std::string> ParseEndpoint(std::string_view text);

/// Another entry VM.
struct Peer {
  std::string name;
  std::string failure_domain;
  Endpoint endpoint;

  bool operator==(const Peer&) const = default;
};

struct Limits {
  /// Bytes of the body of one request.
  std::size_t body_bytes = 1U << 20U;
  /// Time in which a request must have been received whole.
  base::Duration request_time = std::chrono::seconds(10);
  /// Open connections of callers and targets.
  std::size_t connections = 10'000;
};

struct Settings {
  /// Name of this entry VM, unique in the cluster.
  std::string name;
  std::string failure_domain;
  std::string region = "default";
  Endpoint http{"127.0.0.1", 7070};
  Endpoint peer_listen{"127.0.0.1", 7071};
  std::vector<Peer> peers;
  /// Names of the first voters of the replicated log.
  std::vector<std::string> voters;
  /// Folder of all files; none when this VM has no disk.
  std::optional<std::string> data_dir;
  /// File with the keys of the links between entry VMs; empty when there are no peers.
  std::string key_file;
  /// File with the token that operators must send with a change; empty means that any may change.
  std::string operator_token_file;
  /// One-way delay added to what is sent to peers in a failure domain; emulates distance when the
  /// whole cluster runs on one VM.
  std::map<std::string, base::Duration> link_delays;
  log::Options log;
  Limits limits;
  /// Time that requests in progress get to finish when the daemon is stopped.
  base::Duration drain_time = std::chrono::seconds(30);
};

/// Parsing ended without settings to run with: help, the version, printed settings or faults.
struct Stop {
  ExitCode exit_code = ExitCode::kSuccess;
  /// What to print, to standard output when the code is kSuccess, otherwise to standard error. All
  /// faults are in it, one a line.
  std::string text;
};

/// Reads flags and, for flags that are not given, environment variables `MANGOROAD_<FLAG>`.
base::Result<Settings, Stop> Parse(int argc, const char* const* argv);

/// All settings as `flag = value` lines.
std::string Print(const Settings& settings);

}  // namespace mangoroad::settings
