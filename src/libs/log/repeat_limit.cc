#include "log/repeat_limit.h"

#include <utility>

namespace mangoroad::log {

std::uint64_t RepeatLimit::Count(base::TimePoint now, const std::string& kind) {
  const auto known = this->kinds.find(kind);
  if (known == this->kinds.end()) {
    if (this->kinds.size() < this->max_kinds) this->kinds[kind] = {now + this->interval, 0};
    return 1;
  }
  Seen& seen = known->second;
  if (now < seen.next) {
    seen.left_out += 1;
    return 0;
  }
  seen.next = now + this->interval;
  return std::exchange(seen.left_out, 0) + 1;
}

}  // namespace mangoroad::log
