// Durable store of jobs that were accepted while the leader was unreachable.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "storage/file_system.h"

namespace mangoroad::storage {

/// Opaque records by key. Add and Remove return after a sync; on an error the listed records are
/// as before. After a failed sync each further write is refused with kFailed, and whether the last
/// change is stored shows only at the next start.
class ParkedJobs {
 public:
  /// Reads the folder, which is created when missing; cuts a torn tail. Damage elsewhere gives
  /// kDamaged with file and offset, and no file is changed. `files` must outlive the store.
  static StorageResult<std::unique_ptr<ParkedJobs>> Open(FileSystem& files,
                                                         const std::string& folder);
  ~ParkedJobs();
  ParkedJobs(const ParkedJobs&) = delete;
  ParkedJobs& operator=(const ParkedJobs&) = delete;

  /// Stores a record; one with the same key is replaced.
  StorageResult<base::Done> Add(const std::string& key, const std::string& record);
  /// No error when the key isn't stored.
  StorageResult<base::Done> Remove(const std::string& key);
  /// All records by key.
  const std::map<std::string, std::string>& List() const;

 private:
  struct Private;
  explicit ParkedJobs(std::unique_ptr<Private> parts);
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::storage
