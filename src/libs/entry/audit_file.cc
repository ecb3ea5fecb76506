#include "entry/audit_file.h"

#include <string_view>
#include <utility>
#include <vector>

#include "audit/record.h"

namespace mangoroad::entry {
namespace {

/// Records written in one call, so that a replica that has to catch up doesn't block the loop.
constexpr std::size_t kRecordsPerCall = 200;

}  // namespace

AuditFile::AuditFile(storage::FileSystem& file_system, std::string file_path)
    : files(file_system), path(std::move(file_path)) {}

storage::StorageResult<base::Done> AuditFile::Open() {
  auto opened = this->files.Open(this->path);
  if (!base::Ok(opened)) return base::ErrorOf(opened);
  this->file = std::move(base::ValueOf(opened));
  const auto content = this->files.Read(this->path);
  if (!base::Ok(content)) return base::ErrorOf(content);
  std::string_view text = base::ValueOf(content);
  const std::size_t end = text.rfind('\n');
  const std::size_t complete = end == std::string_view::npos ? 0 : end + 1;
  if (complete < text.size()) MANGOROAD_RETURN_IF_FAILED(this->file->Truncate(complete));
  text = text.substr(0, complete);
  if (text.empty()) return base::Done{};
  text.remove_suffix(1);
  const std::size_t line = text.rfind('\n');
  const auto record =
      audit::FromJsonLine(line == std::string_view::npos ? text : text.substr(line + 1));
  if (!record) {
    return storage::StorageError{storage::StorageErrorKind::kDamaged,
                                 "the last line of " + this->path + " isn't an audit record"};
  }
  this->last_number = record->number;
  return base::Done{};
}

storage::StorageResult<base::Done> AuditFile::Follow(const audit::AuditTrail& trail) {
  if (this->file == nullptr || trail.LastNumber() <= this->last_number) return base::Done{};
  const std::vector<audit::Record> records = trail.After(this->last_number, kRecordsPerCall);
  if (records.empty()) return base::Done{};
  std::string lines;
  for (const audit::Record& record : records) lines += audit::ToJsonLine(record) + "\n";
  const std::uint64_t size = this->file->Size();
  const auto append = [&]() -> storage::StorageResult<base::Done> {
    MANGOROAD_RETURN_IF_FAILED(this->file->Append(lines));
    return this->file->Sync();
  };
  auto written = append();
  if (!base::Ok(written)) {
    // What was written in part is cut, so that the next try doesn't follow half a line.
    if (const auto cut = this->file->Truncate(size); !base::Ok(cut)) this->file.reset();
    return written;
  }
  this->last_number = records.back().number;
  return base::Done{};
}

}  // namespace mangoroad::entry
