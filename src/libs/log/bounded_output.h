// Writes log lines to a file descriptor in large pieces, never blocks and never grows without
// bound.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mangoroad::log::internal {

/// Lines wait in memory until Write() hands them over. When the reader doesn't keep up, the newest
/// lines are dropped and counted; a line with the number follows once there is room again.
class BoundedOutput {
 public:
  /// `max_bytes` of lines may wait. The descriptor is set to non-blocking.
  BoundedOutput(int descriptor, std::size_t max_bytes);

  void Append(std::string_view line);
  /// Hands over as much as the descriptor takes now.
  void Write();
  [[nodiscard]] std::size_t WaitingBytes() const { return this->waiting.size(); }
  [[nodiscard]] std::uint64_t Dropped() const { return this->dropped; }

 private:
  int descriptor;
  std::size_t max_bytes;
  std::string waiting;
  std::uint64_t dropped = 0;
  std::uint64_t reported = 0;
};

}  // namespace mangoroad::log::internal
