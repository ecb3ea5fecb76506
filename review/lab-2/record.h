// The record of a case, and helpers for waiting.
#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>

namespace lab2 {

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

inline void SleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Thread-safe. Each line has the milliseconds since the start of the program.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}

  [[nodiscard]] std::int64_t Now() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 this->begin)
        .count();
  }
  void Write(const std::string& text) {
    const std::lock_guard lock(this->mutex);
    this->file << this->Now() << " ms  " << text << std::endl;
  }
  /// Also goes to standard output.
  void Result(const std::string& text) {
    this->Write(text);
    std::puts(text.c_str());
  }
  /// Waits until a moment of this record.
  void WaitUntil(std::int64_t ms) const { SleepMs(ms - this->Now()); }

 private:
  const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
  std::mutex mutex;
  std::ofstream file;
};

}  // namespace lab2
