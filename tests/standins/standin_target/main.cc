#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <utility>

#include "log/log.h"
#include "options.h"
#include "target_server.h"

int main(int argc, char** argv) {
  namespace standin = mangoroad::standin;
  auto parsed = standin::ParseOptions(argc, argv);
  if (!mangoroad::base::Ok(parsed)) {
    const standin::OptionsStop& stop = mangoroad::base::ErrorOf(parsed);
    fmt::print(stop.exit_code == 0 ? stdout : stderr, "{}", stop.text);
    return stop.exit_code;
  }
  standin::Options& options = mangoroad::base::ValueOf(parsed);
  mangoroad::log::Options log_options;
  log_options.levels = options.log_levels;
  (void)mangoroad::log::Configure(log_options);
  (void)std::signal(SIGPIPE, SIG_IGN);
  standin::TargetServer server(std::move(options));
  return server.Run();
}
