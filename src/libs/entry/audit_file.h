// Writes the audit trail to a file of JSON lines that outlives the records kept in memory.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "audit/audit_trail.h"
#include "storage/file_system.h"

namespace mangoroad::entry {

/// One file under the data folder; records are appended in order and synced.
class AuditFile {
 public:
  AuditFile(storage::FileSystem& file_system, std::string file_path);

  /// Reads the number of the last record. An incomplete last line, left by a crash, is cut.
  storage::StorageResult<base::Done> Open();
  /// Appends records that the file doesn't have, at most a bounded number in one call.
  storage::StorageResult<base::Done> Follow(const audit::AuditTrail& trail);

  [[nodiscard]] std::uint64_t LastNumber() const { return this->last_number; }

 private:
  storage::FileSystem& files;
  std::string path;
  std::unique_ptr<storage::File> file;
  std::uint64_t last_number = 0;
};

}  // namespace mangoroad::entry
