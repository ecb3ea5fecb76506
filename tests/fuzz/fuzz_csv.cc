// Guards against crashes of the CSV reader on any input, and against an accepted table that changes
// when it is written and read again.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "table/csv_reader.h"
#include "table/diff.h"

namespace table = mangoroad::table;

// The name is given by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto first = table::ReadCsv("input", text);
  if (!mangoroad::base::Ok(first)) {
    for (const auto& fault : mangoroad::base::ErrorOf(first)) {
      if (table::ToString(fault).empty()) std::abort();
    }
    return 0;
  }
  const auto& read = mangoroad::base::ValueOf(first);
  const auto second = table::ReadCsv("written", table::WriteCsv(read));
  if (!mangoroad::base::Ok(second) || mangoroad::base::ValueOf(second) != read) std::abort();
  if (!table::Diff(read, mangoroad::base::ValueOf(second)).empty()) std::abort();
  return 0;
}
