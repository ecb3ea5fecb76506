#include "storage/snapshot_file.h"

#include <fmt/format.h>

#include <algorithm>
#include <ranges>

#include "storage/record_file.h"
#include "storage/replace_file.h"
#include "storage/wal_codec.h"

namespace mangoroad::storage::internal {
namespace {

using base::Done;

constexpr std::string_view kPrefix = "snapshot-";
constexpr std::string_view kSuffix = ".snap";

std::string SnapshotName(Index index) {
  return fmt::format("{}{:016x}{}", kPrefix, index, kSuffix);
}

bool IsSnapshotName(const std::string& name) {
  return name.starts_with(kPrefix) && name.ends_with(kSuffix);
}

}  // namespace

StorageResult<Done> WriteSnapshot(FileSystem& files, const std::string& folder,
                                  const Snapshot& snapshot) {
  std::string bytes = EncodeFileHeader(snapshot.index);
  EncodeRecord(bytes, snapshot.index, EncodeSnapshot(snapshot));
  return ReplaceFile(files, folder, SnapshotName(snapshot.index), bytes);
}

StorageResult<std::optional<Snapshot>> ReadNewestSnapshot(FileSystem& files,
                                                          const std::string& folder,
                                                          const std::vector<std::string>& names) {
  // Names have a fixed width, so the last in order is the newest.
  const auto newest = std::ranges::find_if(names | std::views::reverse, IsSnapshotName);
  if (newest == std::ranges::rend(names)) return std::optional<Snapshot>();
  const std::string path = fmt::format("{}/{}", folder, *newest);
  const auto bytes = files.Read(path);
  if (!base::Ok(bytes)) return base::ErrorOf(bytes);
  std::uint64_t index = 0;
  for (const char digit : newest->substr(kPrefix.size(), 16)) {
    index = index * 16 + static_cast<std::uint64_t>(digit <= '9' ? digit - '0' : digit - 'a' + 10);
  }
  std::optional<Snapshot> snapshot;
  const auto scanned =
      ScanRecords(path, base::ValueOf(bytes), index, [&](std::string_view payload) {
        snapshot = DecodeSnapshot(payload);
        return snapshot.has_value() && snapshot->index == index;
      });
  if (!base::Ok(scanned)) return base::ErrorOf(scanned);
  // A snapshot was synced before it got its name, so a torn one is damage, too.
  if (base::ValueOf(scanned).torn || !snapshot) {
    return StorageError{StorageErrorKind::kDamaged,
                        fmt::format("{} at offset {}: snapshot is incomplete", path,
                                    base::ValueOf(scanned).valid_bytes)};
  }
  return snapshot;
}

StorageResult<Done> RemoveSnapshotsBefore(FileSystem& files, const std::string& folder,
                                          Index index) {
  const auto names = files.List(folder);
  if (!base::Ok(names)) return base::ErrorOf(names);
  for (const std::string& name : base::ValueOf(names)) {
    if (IsSnapshotName(name) && name < SnapshotName(index)) {
      MANGOROAD_RETURN_IF_FAILED(files.Remove(fmt::format("{}/{}", folder, name)));
    }
  }
  return Done{};
}

}  // namespace mangoroad::storage::internal
