#include "record.h"

#include "base/soft_assert.h"

namespace mangoroad::standin {

bool Record::Open(const std::string& path) {
  this->file.reset(std::fopen(path.c_str(), "ae"));
  return this->file != nullptr;
}

void Record::Write(const std::string& line) {
  if (!this->file) return;
  const bool is_written = std::fputs(line.c_str(), this->file.get()) >= 0 &&
                          std::fputc('\n', this->file.get()) != EOF &&
                          std::fflush(this->file.get()) == 0;
  // A gap in the record would make a history check pass wrongly.
  MANGOROAD_INVARIANT(is_written);
}

}  // namespace mangoroad::standin
