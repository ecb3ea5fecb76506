#include "settings/options.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <set>

namespace mangoroad::settings::internal {
namespace {

using Texts = std::vector<std::string>;

constexpr std::size_t kMaxNameLength = 63;
constexpr std::uint64_t kMaxBodyBytes = 1U << 20U;

template <typename Number>
std::string ReadBounded(std::string_view text, Number low, Number high, Number& target) {
  Number number{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool is_number = error == std::errc() && end == text.data() + text.size();
  if (!is_number || number < low || number > high) {
    return fmt::format("'{}' is not a whole number from {} to {}", text, low, high);
  }
  target = number;
  return {};
}

std::string ReadSeconds(const std::string& text, std::int64_t low, std::int64_t high,
                        base::Duration& target) {
  std::int64_t seconds = 0;
  std::string fault = ReadBounded<std::int64_t>(text, low, high, seconds);
  if (fault.empty()) target = std::chrono::seconds(seconds);
  return fault;
}

std::string SecondsText(base::Duration duration) {
  return fmt::format("{}", std::chrono::duration_cast<std::chrono::seconds>(duration).count());
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength && std::ranges::all_of(text, [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
  });
}

std::string ReadName(std::string_view text, std::string& target) {
  // Stored even when refused, so that checks of other settings don't report it as missing.
  target = text;
  if (!IsName(text)) {
    return fmt::format("'{}' is not a name of 1 to {} letters a-z, digits, '-' and '_'", text,
                       kMaxNameLength);
  }
  return {};
}

std::string ReadEndpoint(std::string_view text, Endpoint& target) {
  auto endpoint = ParseEndpoint(text);
  if (!base::Ok(endpoint)) return base::ErrorOf(endpoint);
  target = std::move(base::ValueOf(endpoint));
  return {};
}

std::string ReadPeer(Settings& settings, const std::string& text) {
  const std::size_t equals = text.find('=');
  const std::size_t at = text.find('@', equals == std::string::npos ? 0 : equals);
  if (equals == std::string::npos || at == std::string::npos) {
    return fmt::format("'{}' is not NAME=DOMAIN@IP:PORT", text);
  }
  Peer peer;
  const std::string_view view = text;
  for (std::string fault : {ReadName(view.substr(0, equals), peer.name),
                            ReadName(view.substr(equals + 1, at - equals - 1), peer.failure_domain),
                            ReadEndpoint(view.substr(at + 1), peer.endpoint)}) {
    if (!fault.empty()) return fmt::format("'{}': {}", text, fault);
  }
  settings.peers.push_back(std::move(peer));
  return {};
}

std::string ReadLinkDelay(Settings& settings, const std::string& text) {
  const std::size_t equals = text.find('=');
  std::string domain;
  std::uint32_t milliseconds = 0;
  if (equals == std::string::npos) return fmt::format("'{}' is not DOMAIN=MS", text);
  const std::string_view view = text;
  if (std::string fault = ReadName(view.substr(0, equals), domain); !fault.empty()) return fault;
  std::string fault = ReadBounded<std::uint32_t>(view.substr(equals + 1), 0, 1000, milliseconds);
  if (fault.empty() &&
      !settings.link_delays.try_emplace(domain, std::chrono::milliseconds(milliseconds)).second) {
    return fmt::format("failure domain '{}' is given twice", domain);
  }
  return fault;
}

std::string ReadFormat(Settings& settings, const std::string& text) {
  const auto format = base::ValueOfName(log::kFormatNames, text);
  if (!format) return fmt::format("'{}' is neither text nor json", text);
  settings.log.format = *format;
  return {};
}

std::string ReadLevels(Settings& settings, const std::string& text) {
  const auto checked = log::CheckLevels(text);
  if (!base::Ok(checked)) return base::ErrorOf(checked).message;
  settings.log.levels = text;
  return {};
}

const std::array kOptions{
    Option{"name", "Identity", "NAME", "Name of this entry VM, unique in the cluster; required",
           false, [](Settings& s, const std::string& text) { return ReadName(text, s.name); },
           [](const Settings& s) { return Texts{s.name}; }},
    Option{"failure-domain", "Identity", "NAME", "Failure domain of this entry VM; required", false,
           [](Settings& s, const std::string& text) { return ReadName(text, s.failure_domain); },
           [](const Settings& s) { return Texts{s.failure_domain}; }},
    Option{"region", "Identity", "NAME", "Region of the failure domain", false,
           [](Settings& s, const std::string& text) { return ReadName(text, s.region); },
           [](const Settings& s) { return Texts{s.region}; }},
    Option{"http-listen", "Network", "IP:PORT",
           "Address for callers, targets and operators (HTTP/1.1)", false,
           [](Settings& s, const std::string& text) { return ReadEndpoint(text, s.http); },
           [](const Settings& s) { return Texts{s.http.Text()}; }},
    Option{"peer-listen", "Network", "IP:PORT", "Address for other entry VMs (TCP)", false,
           [](Settings& s, const std::string& text) { return ReadEndpoint(text, s.peer_listen); },
           [](const Settings& s) { return Texts{s.peer_listen.Text()}; }},
    Option{"peer", "Network", "NAME=DOMAIN@IP:PORT",
           "Another entry VM with its failure domain and peer address; repeated", true, ReadPeer,
           [](const Settings& s) {
             Texts texts;
             for (const Peer& peer : s.peers) {
               texts.push_back(
                   fmt::format("{}={}@{}", peer.name, peer.failure_domain, peer.endpoint.Text()));
             }
             return texts;
           }},
    Option{"key-file", "Network", "FILE",
           "Keys of the links between entry VMs; required with --peer", false,
           [](Settings& s, const std::string& text) {
             s.key_file = text;
             return std::string();
           },
           [](const Settings& s) { return Texts{s.key_file}; }},
    Option{"operator-token-file", "Network", "FILE",
           "File whose first line operators send as Mangoroad-Operator-Token with each change; "
           "changes need no token without it",
           false,
           [](Settings& s, const std::string& text) {
             s.operator_token_file = text;
             return std::string();
           },
           [](const Settings& s) { return Texts{s.operator_token_file}; }},
    Option{"link-delay", "Network", "DOMAIN=MS",
           "Delay (0 to 1000 ms) added to what is sent to peers in a failure domain, to emulate "
           "distance on one VM; repeated",
           true, ReadLinkDelay,
           [](const Settings& s) {
             Texts texts;
             for (const auto& [domain, delay] : s.link_delays) {
               texts.push_back(fmt::format("{}={}", domain, delay.count() / 1000));
             }
             return texts;
           }},
    Option{"voter", "State", "NAME",
           "One of the 1, 3 or 5 entry VMs that are the first voters of the replicated log; "
           "repeated, the same on all entry VMs; required",
           true,
           [](Settings& s, const std::string& text) {
             return ReadName(text, s.voters.emplace_back());
           },
           [](const Settings& s) { return s.voters; }},
    Option{"data-dir", "State", "FOLDER",
           "Folder of all files, or 'none' on an entry VM without a disk", false,
           [](Settings& s, const std::string& text) {
             if (text != "none") s.data_dir = text;
             return text.empty() ? std::string("the folder is empty; 'none' stands for no disk")
                                 : std::string();
           },
           [](const Settings& s) { return Texts{s.data_dir.value_or("none")}; }},
    Option{"log-level", "Log", "[CATEGORY=]LEVEL,...",
           "Level (trace, debug, info, warning, error, off) of all categories, or of one", false,
           ReadLevels,
           [](const Settings& s) {
             return Texts{s.log.levels.empty() ? std::string("info") : s.log.levels};
           }},
    Option{"log-format", "Log", "text|json", "One event a line as text or as JSON", false,
           ReadFormat,
           [](const Settings& s) {
             return Texts{std::string(base::NameOf(log::kFormatNames, s.log.format))};
           }},
    Option{"log-file", "Log", "FILE", "File to append events to; standard error when not given",
           false,
           [](Settings& s, const std::string& text) {
             s.log.file = text;
             return std::string();
           },
           [](const Settings& s) { return Texts{s.log.file}; }},
    Option{"max-body-bytes", "Limits", "BYTES", "Largest body of a request, up to 1048576", false,
           [](Settings& s, const std::string& text) {
             return ReadBounded<std::size_t>(text, 1, kMaxBodyBytes, s.limits.body_bytes);
           },
           [](const Settings& s) { return Texts{fmt::format("{}", s.limits.body_bytes)}; }},
    Option{"request-time", "Limits", "SECONDS",
           "Time in which a request must have been received whole, 1 to 300", false,
           [](Settings& s, const std::string& text) {
             return ReadSeconds(text, 1, 300, s.limits.request_time);
           },
           [](const Settings& s) { return Texts{SecondsText(s.limits.request_time)}; }},
    Option{"max-connections", "Limits", "COUNT",
           "Open connections of callers and targets, 1 to 1000000", false,
           [](Settings& s, const std::string& text) {
             return ReadBounded<std::size_t>(text, 1, 1'000'000, s.limits.connections);
           },
           [](const Settings& s) { return Texts{fmt::format("{}", s.limits.connections)}; }},
    Option{"drain-time", "Limits", "SECONDS",
           "Time that requests in progress get to finish on SIGTERM, 0 to 3600", false,
           [](Settings& s, const std::string& text) {
             return ReadSeconds(text, 0, 3600, s.drain_time);
           },
           [](const Settings& s) { return Texts{SecondsText(s.drain_time)}; }},
};

void CheckPeers(const Settings& settings, std::set<std::string>& names, Texts& faults) {
  std::set<std::string> endpoints{settings.peer_listen.Text()};
  for (const Peer& peer : settings.peers) {
    if (!names.insert(peer.name).second) {
      faults.push_back(fmt::format("--peer: the name '{}' is used twice", peer.name));
    }
    if (!endpoints.insert(peer.endpoint.Text()).second) {
      faults.push_back(fmt::format("--peer: the address {} is used twice", peer.endpoint.Text()));
    }
  }
  if (!settings.peers.empty() && settings.key_file.empty()) {
    faults.emplace_back("--key-file: required with --peer");
  }
  if (settings.http == settings.peer_listen) {
    faults.push_back(
        fmt::format("--peer-listen: {} is also --http-listen", settings.peer_listen.Text()));
  }
}

void CheckVoters(const Settings& settings, const std::set<std::string>& names, Texts& faults) {
  const std::size_t count = settings.voters.size();
  if (count != 1 && count != 3 && count != 5) {
    faults.push_back(fmt::format("--voter: {} voters given; 1, 3 or 5 are required", count));
  }
  std::set<std::string> seen;
  for (const std::string& voter : settings.voters) {
    if (voter.empty()) continue;
    if (!seen.insert(voter).second) {
      faults.push_back(fmt::format("--voter: '{}' is given twice", voter));
    }
    if (!names.contains(voter)) {
      faults.push_back(fmt::format("--voter: '{}' is neither --name nor a --peer", voter));
    }
  }
  if (seen.contains(settings.name) && !settings.data_dir) {
    faults.push_back(fmt::format("--data-dir: required, since '{}' is a voter", settings.name));
  }
}

}  // namespace

std::span<const Option> AllOptions() { return kOptions; }

std::vector<std::string> CheckTogether(const Settings& settings) {
  Texts faults;
  if (settings.name.empty()) faults.emplace_back("--name: required");
  if (settings.failure_domain.empty()) faults.emplace_back("--failure-domain: required");
  std::set<std::string> names{settings.name};
  CheckPeers(settings, names, faults);
  CheckVoters(settings, names, faults);
  return faults;
}

}  // namespace mangoroad::settings::internal
