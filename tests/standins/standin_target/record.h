// Record of what a stand-in ran, as JSON lines, for checks of the history of a run.
#pragma once

#include <cstdio>
#include <memory>
#include <string>

namespace mangoroad::standin {

/// Appends lines to a file. Each line is handed to the operating system before the call returns, so
/// that a killed process leaves a record of all it began.
class Record {
 public:
  /// A record without a file drops all lines.
  Record() = default;
  /// False when the file can't be opened; errno says why.
  bool Open(const std::string& path);
  void Write(const std::string& line);

 private:
  struct Closer {
    void operator()(std::FILE* stream) const { (void)std::fclose(stream); }
  };
  std::unique_ptr<std::FILE, Closer> file;
};

}  // namespace mangoroad::standin
