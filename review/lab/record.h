// What was sent, answered and run, with milliseconds since the start of the case.
#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace lab {

class Record {
 public:
  explicit Record(const std::string& path) : file(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (this->file != nullptr) std::fclose(this->file);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  [[nodiscard]] std::int64_t Now() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 this->start)
        .count();
  }
  void Write(const std::string& line) {
    const std::scoped_lock lock(this->mutex);
    if (this->file == nullptr) return;
    std::fprintf(this->file, "%8lld ms  %s\n", static_cast<long long>(this->Now()), line.c_str());
    std::fflush(this->file);
  }
  /// Also printed.
  void Result(const std::string& line) {
    this->Write(line);
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
  }

 private:
  std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
  std::mutex mutex;
  std::FILE* file = nullptr;
};

}  // namespace lab
