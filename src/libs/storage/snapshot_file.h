// Snapshot files of the write-ahead log: one checksummed record each.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "storage/file_system.h"
#include "storage/log_types.h"

namespace mangoroad::storage::internal {

StorageResult<base::Done> WriteSnapshot(FileSystem& files, const std::string& folder,
                                        const Snapshot& snapshot);

/// Newest snapshot of the folder with `names`, or nothing when there is none.
StorageResult<std::optional<Snapshot>> ReadNewestSnapshot(FileSystem& files,
                                                          const std::string& folder,
                                                          const std::vector<std::string>& names);

/// Removes all snapshots older than `index`.
StorageResult<base::Done> RemoveSnapshotsBefore(FileSystem& files, const std::string& folder,
                                                Index index);

}  // namespace mangoroad::storage::internal
