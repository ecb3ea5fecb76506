// Write-ahead log of one replica: segment files with entries and hard state, and snapshots.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "storage/file_system.h"
#include "storage/log_types.h"

namespace mangoroad::storage {

struct OpenedWal;

struct WalOptions {
  /// A segment that reached this size in bytes is followed by a new one at the next sync.
  std::uint64_t segment_bytes = 8U << 20U;
};

/// Nothing is durable before Sync has returned without an error. After a failed sync each further
/// write is refused with kFailed until Recover() has succeeded: the kernel may have dropped the
/// pages, so that a later sync of the same file that succeeds would prove nothing. After kNoSpace
/// the write is undone and the log stays usable.
class Wal {
 public:
  /// Reads the folder, which is created when missing. Cuts a torn tail of the last segment.
  /// Damage elsewhere gives kDamaged with file and offset, and no file is changed.
  /// `files` must outlive the log.
  static StorageResult<OpenedWal> Open(FileSystem& files, const std::string& folder,
                                       WalOptions options = {});

  ~Wal();
  Wal(const Wal&) = delete;
  Wal& operator=(const Wal&) = delete;

  /// Appends entries with ascending indexes. An entry replaces all stored ones from its index on.
  StorageResult<base::Done> Append(std::span<const LogEntry> entries);
  StorageResult<base::Done> SaveHardState(const HardState& state);
  /// Voids all entries after `last_kept`.
  StorageResult<base::Done> Truncate(Index last_kept);
  StorageResult<base::Done> Sync();
  /// The sync of all that was written so far as a call that may be made on another thread while the
  /// log is in use. Its result must be passed to FinishSync, before the next BeginSync.
  using SyncCall = std::function<StorageResult<base::Done>()>;
  [[nodiscard]] SyncCall BeginSync();
  StorageResult<base::Done> FinishSync(StorageResult<base::Done> result);
  /// Makes a snapshot durable, then removes older ones and the segments that it covers.
  StorageResult<base::Done> SaveSnapshot(const Snapshot& snapshot);
  /// Makes the log usable after an error, once the disk takes writes again. What was written since
  /// the last successful sync may be gone and must be written again. Must not be called between
  /// BeginSync and FinishSync; may be called on another thread while the log isn't in use.
  StorageResult<base::Done> Recover();

  /// True after a failed sync.
  bool Failed() const;
  /// Number of segment files.
  std::size_t SegmentCount() const;

 private:
  struct Private;
  explicit Wal(std::unique_ptr<Private> parts);
  std::unique_ptr<Private> d;
};

/// A log as found on disk. `entries` follow the snapshot without a gap.
struct OpenedWal {
  std::unique_ptr<Wal> wal;
  HardState hard_state;
  std::optional<Snapshot> snapshot;
  std::vector<LogEntry> entries;
  /// Length in bytes of the torn tail that was cut.
  std::uint64_t cut_bytes = 0;
};

}  // namespace mangoroad::storage
