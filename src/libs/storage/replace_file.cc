#include "storage/replace_file.h"

#include <fmt/format.h>

namespace mangoroad::storage {
namespace {

using base::Done;

StorageResult<Done> WriteWhole(FileSystem& files, const std::string& path,
                               const std::string& bytes) {
  auto opened = files.Open(path);
  if (!base::Ok(opened)) return base::ErrorOf(opened);
  File& file = *base::ValueOf(opened);
  // An earlier attempt may have left a part of the file.
  if (file.Size() > 0) MANGOROAD_RETURN_IF_FAILED(file.Truncate(0));
  MANGOROAD_RETURN_IF_FAILED(file.Append(bytes));
  return file.Sync();
}

}  // namespace

StorageResult<Done> ReplaceFile(FileSystem& files, const std::string& folder,
                                const std::string& name, const std::string& bytes) {
  const std::string path = fmt::format("{}/{}", folder, name);
  const std::string temporary = path + std::string(kTemporarySuffix);
  auto written = WriteWhole(files, temporary, bytes);
  if (!base::Ok(written)) {
    files.Remove(temporary);
    return written;
  }
  MANGOROAD_RETURN_IF_FAILED(files.Rename(temporary, path));
  return files.SyncFolder(folder);
}

}  // namespace mangoroad::storage
