// Replaces a small file as a whole, so that a torn one is never read.
#pragma once

#include <string>
#include <string_view>

#include "storage/file_system.h"

namespace mangoroad::storage {

/// Ends the names of files that are being written; one that is found is the rest of an attempt.
inline constexpr std::string_view kTemporarySuffix = ".tmp";

/// Writes `bytes` to a temporary file, syncs it, renames it to `name` and syncs the folder. After
/// an error the temporary file is removed and `name` is unchanged.
StorageResult<base::Done> ReplaceFile(FileSystem& files, const std::string& folder,
                                      const std::string& name, const std::string& bytes);

}  // namespace mangoroad::storage
