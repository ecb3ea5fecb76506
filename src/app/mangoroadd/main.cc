// The daemon of an entry VM: reads the settings and runs an entry node on the event loop.

#include <csignal>
#include <cstdio>
#include <string>

#include "entry/entry_node.h"
#include "log/log.h"
#include "net/event_loop.h"
#include "settings/settings.h"

namespace {

using mangoroad::base::ErrorOf;
using mangoroad::base::Ok;
using mangoroad::base::ValueOf;
using mangoroad::entry::EntryErrorKind;
using mangoroad::settings::ExitCode;

ExitCode ExitCodeOf(EntryErrorKind kind) {
  switch (kind) {
    case EntryErrorKind::kBadSettings:
      return ExitCode::kBadSettings;
    case EntryErrorKind::kBadData:
      return ExitCode::kBadData;
    case EntryErrorKind::kCannotListen:
      return ExitCode::kCannotListen;
  }
  return ExitCode::kFailure;
}

ExitCode Fail(ExitCode code, const std::string& message) {
  std::fprintf(stderr, "mangoroadd: %s\n", message.c_str());
  return code;
}

ExitCode Run(int argc, char** argv) {
  const auto parsed = mangoroad::settings::Parse(argc, argv);
  if (!Ok(parsed)) {
    const auto& stop = ErrorOf(parsed);
    std::fputs(stop.text.c_str(), stop.exit_code == ExitCode::kSuccess ? stdout : stderr);
    return stop.exit_code;
  }
  const auto& settings = ValueOf(parsed);
  if (const auto configured = mangoroad::log::Configure(settings.log); !Ok(configured)) {
    return Fail(ExitCode::kBadSettings, ErrorOf(configured).message);
  }
  mangoroad::net::EventLoop loop;
  mangoroad::entry::EntryNode node(loop, settings);
  if (const auto started = node.Start(); !Ok(started)) {
    return Fail(ExitCodeOf(ErrorOf(started).kind), ErrorOf(started).message);
  }
  const auto stop = [&] { node.Drain([&] { loop.Stop(); }); };
  const auto on_terminate = loop.OnSignal(SIGTERM, stop);
  const auto on_interrupt = loop.OnSignal(SIGINT, stop);
  loop.Run();
  mangoroad::log::Flush();
  return ExitCode::kSuccess;
}

}  // namespace

int main(int argc, char** argv) { return static_cast<int>(Run(argc, argv)); }
