#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "mangoctl/run_mangoctl.h"

namespace {

std::optional<std::string> Environment(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

int main(int argc, char** argv) {
  mangoroad::mangoctl::Console console{std::cin,
                                       std::cout,
                                       std::cerr,
                                       isatty(STDOUT_FILENO) == 1 && isatty(STDERR_FILENO) == 1,
                                       Environment,
                                       [](std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); },
                                       NowMs};
  return mangoroad::mangoctl::RunMangoctl({argv + 1, argv + argc}, console);
}
