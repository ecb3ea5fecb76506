// Files and folders as the storage layer uses them, so that tests can put a fake disk underneath.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "storage/storage_error.h"

namespace mangoroad::storage {

/// A file open for appending. Bytes are durable once Sync has returned without an error.
class File {
 public:
  virtual ~File() = default;

  /// Appends all bytes; on an error any number of them may have been written.
  virtual StorageResult<base::Done> Append(std::string_view bytes) = 0;
  virtual StorageResult<base::Done> Sync() = 0;
  /// Cuts the file to `size` bytes.
  virtual StorageResult<base::Done> Truncate(std::uint64_t size) = 0;
  /// Size in bytes, including what isn't synced.
  virtual std::uint64_t Size() const = 0;
};

/// Paths use '/' and are taken as given. A created, renamed or removed name is durable once its
/// folder was synced.
class FileSystem {
 public:
  virtual ~FileSystem() = default;

  /// Creates a folder with its parents; no error when it exists.
  virtual StorageResult<base::Done> CreateFolder(const std::string& path) = 0;
  /// Names of the files in a folder, sorted.
  virtual StorageResult<std::vector<std::string>> List(const std::string& folder) = 0;
  virtual StorageResult<std::string> Read(const std::string& path) = 0;
  /// Opens a file for appending; it is created when missing.
  virtual StorageResult<std::unique_ptr<File>> Open(const std::string& path) = 0;
  /// Replaces `to` atomically.
  virtual StorageResult<base::Done> Rename(const std::string& from, const std::string& to) = 0;
  virtual StorageResult<base::Done> Remove(const std::string& path) = 0;
  virtual StorageResult<base::Done> SyncFolder(const std::string& folder) = 0;
};

/// Files of the operating system, with fsync.
std::unique_ptr<FileSystem> MakeRealFileSystem();

}  // namespace mangoroad::storage
