#include "log/bounded_output.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace mangoroad::log::internal {
namespace {

/// Lines are handed over once this much waits, so that a busy process makes few system calls.
constexpr std::size_t kWriteBytes = 32U << 10U;

}  // namespace

BoundedOutput::BoundedOutput(int output_descriptor, std::size_t most_bytes)
    : descriptor(output_descriptor), max_bytes(most_bytes) {
  const int flags = fcntl(this->descriptor, F_GETFL);
  // Where the descriptor can't be changed, writing may block; lines are still bounded.
  if (flags >= 0) (void)fcntl(this->descriptor, F_SETFL, flags | O_NONBLOCK);
}

void BoundedOutput::Append(std::string_view line) {
  if (this->waiting.size() + line.size() > this->max_bytes) {
    this->dropped += 1;
    return;
  }
  if (this->dropped > this->reported) {
    this->waiting += fmt::format(R"({{"event":"log lines dropped","count":{}}})"
                                 "\n",
                                 this->dropped - this->reported);
    this->reported = this->dropped;
  }
  this->waiting += line;
  if (this->waiting.size() >= kWriteBytes) this->Write();
}

void BoundedOutput::Write() {
  std::size_t written = 0;
  while (written < this->waiting.size()) {
    const ssize_t size =
        ::write(this->descriptor, this->waiting.data() + written, this->waiting.size() - written);
    if (size <= 0) break;
    written += static_cast<std::size_t>(size);
  }
  this->waiting.erase(0, written);
}

}  // namespace mangoroad::log::internal
