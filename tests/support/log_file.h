// Log lines of a test.
#pragma once

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

#include "base/result.h"
#include "log/log.h"

namespace mangoroad::support {

/// Writes the log into a file while it exists, one at a time.
class LogFile {
 public:
  explicit LogFile(log::Options options) {
    std::remove(this->path.c_str());
    options.file = this->path;
    REQUIRE(base::Ok(log::Configure(options)));
  }
  ~LogFile() {
    (void)log::Configure({});
    std::remove(this->path.c_str());
  }
  LogFile(const LogFile&) = delete;
  LogFile& operator=(const LogFile&) = delete;

  [[nodiscard]] std::string Text() const {
    log::Flush();
    std::ifstream stream(this->path);
    return {std::istreambuf_iterator<char>(stream), {}};
  }

 private:
  /// Of this process, since tests run side by side in one folder.
  std::string path = "test_output." + std::to_string(::getpid()) + ".log";
};

}  // namespace mangoroad::support
