#include "storage/wal.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "storage/record_file.h"
#include "storage/replace_file.h"
#include "storage/snapshot_file.h"
#include "storage/wal_codec.h"

namespace mangoroad::storage {

using base::Done;
using internal::TruncateRecord;
using internal::WalRecord;

namespace {

constexpr std::string_view kPrefix = "wal-";
constexpr std::string_view kSuffix = ".log";

struct Segment {
  std::uint64_t sequence = 0;
  std::string path;
  /// Highest index of an entry in the segment.
  Index last_index = 0;
};

std::string SegmentPath(const std::string& folder, std::uint64_t sequence) {
  return fmt::format("{}/{}{:016x}{}", folder, kPrefix, sequence, kSuffix);
}

std::vector<Segment> SegmentsOf(const std::string& folder, const std::vector<std::string>& names) {
  std::vector<Segment> segments;
  for (const std::string& name : names) {
    if (!name.starts_with(kPrefix) || !name.ends_with(kSuffix)) continue;
    const char* first = name.data() + kPrefix.size();
    const char* last = name.data() + name.size() - kSuffix.size();
    Segment segment;
    if (std::from_chars(first, last, segment.sequence, 16).ptr != last) continue;
    segment.path = fmt::format("{}/{}", folder, name);
    segments.push_back(segment);
  }
  return segments;
}

/// Rebuilds entries and hard state from the records in their order.
class Replay {
 public:
  /// `snapshot_index`: entries up to it aren't needed.
  explicit Replay(Index snapshot_index) : covered(snapshot_index) {}

  /// Segments before the next record are missing. A removal that wasn't synced may be undone by a
  /// power loss for each file by itself, so this is damage only if the snapshot doesn't cover them.
  void BeginAfterGap() {
    this->entries.clear();
    this->is_gap_open = true;
  }
  /// False while the records after a gap don't show that the snapshot covers it.
  [[nodiscard]] bool IsComplete() const { return !this->is_gap_open; }

  bool Apply(const WalRecord& record) {
    return std::visit([this](const auto& value) { return this->Apply(value); }, record);
  }

  /// Entries after the snapshot, or nothing when some are missing in between.
  std::optional<std::vector<LogEntry>> EntriesAfter(const std::optional<Snapshot>& snapshot) {
    const Index base = snapshot ? snapshot->index : 0;
    const auto at_base = std::ranges::find(this->entries, base, &LogEntry::index);
    // A log that disagrees with the snapshot was discarded when the snapshot was installed; a
    // crash came before the record of that.
    if (snapshot && at_base != this->entries.end() && at_base->term != snapshot->term) {
      this->disagrees = true;
      return std::vector<LogEntry>();
    }
    std::erase_if(this->entries, [&](const LogEntry& entry) { return entry.index <= base; });
    if (!this->entries.empty() && this->entries.front().index != base + 1) return std::nullopt;
    return std::move(this->entries);
  }

  HardState hard_state;
  Index last_index = 0;
  /// The entries contradict the snapshot.
  bool disagrees = false;

 private:
  /// Records from here on need the entries up to `last_needed`, and no others, from before.
  void CloseGap(Index last_needed) {
    if (last_needed <= this->covered) this->is_gap_open = false;
  }

  bool Apply(const LogEntry& entry) {
    this->Apply(TruncateRecord{entry.index - 1});
    // A gap may come only after a snapshot that covers all earlier entries.
    if (!this->entries.empty() && this->entries.back().index + 1 != entry.index) {
      this->entries.clear();
    }
    this->entries.push_back(entry);
    this->last_index = std::max(this->last_index, entry.index);
    return entry.index > 0;
  }
  bool Apply(const HardState& state) {
    this->hard_state = state;
    return true;
  }
  bool Apply(const TruncateRecord& record) {
    this->CloseGap(record.last_kept);
    while (!this->entries.empty() && this->entries.back().index > record.last_kept) {
      this->entries.pop_back();
    }
    return true;
  }

  Index covered = 0;
  bool is_gap_open = false;
  std::vector<LogEntry> entries;
};

}  // namespace

struct Wal::Private {
  Private(FileSystem& file_system, std::string folder_path, WalOptions wal_options)
      : files(file_system), folder(std::move(folder_path)), options(wal_options) {}

  FileSystem& files;
  std::string folder;
  WalOptions options;
  std::vector<Segment> segments;
  /// Shared with a sync on another thread, which may last longer than the segment is in use.
  std::shared_ptr<File> file;
  HardState hard_state;
  bool failed = false;
  /// Something was written since the last sync was begun.
  bool has_unsynced_writes = false;
  /// Length in bytes of the durable part of the last segment, and of the part that the sync in
  /// progress covers.
  std::uint64_t synced_bytes = 0;
  std::optional<std::uint64_t> bytes_in_sync;
  /// A new segment is due, but a sync of the last one is in progress.
  bool is_rotation_due = false;

  StorageResult<Done> CheckUsable() const {
    if (!this->failed) return Done{};
    return StorageError{StorageErrorKind::kFailed,
                        fmt::format("{}: an earlier sync failed", this->folder)};
  }

  /// Writes all bytes or none.
  StorageResult<Done> Write(const std::string& bytes) {
    MANGOROAD_RETURN_IF_FAILED(this->CheckUsable());
    const std::uint64_t size = this->file->Size();
    this->has_unsynced_writes = true;
    auto written = this->file->Append(bytes);
    // A part of a record that can't be cut off would turn later records into damage.
    if (!base::Ok(written) && !base::Ok(this->file->Truncate(size))) this->failed = true;
    return written;
  }

  StorageResult<Done> WriteRecord(const std::string& payload) {
    std::string bytes;
    internal::EncodeRecord(bytes, this->segments.back().sequence, payload);
    return this->Write(bytes);
  }

  /// Opens a new last segment that starts with the hard state, since older segments may be removed,
  /// and with the highest index that they contain, so that it is known whether a missing one was.
  StorageResult<Done> AddSegment(std::uint64_t sequence) {
    Segment segment{sequence, SegmentPath(this->folder, sequence), 0};
    Index highest = 0;
    for (const Segment& earlier : this->segments) highest = std::max(highest, earlier.last_index);
    auto opened = this->files.Open(segment.path);
    if (!base::Ok(opened)) return base::ErrorOf(opened);
    std::unique_ptr<File> next = std::move(base::ValueOf(opened));
    std::string bytes = internal::EncodeFileHeader(sequence);
    internal::EncodeRecord(bytes, sequence, internal::EncodeHardState(this->hard_state));
    internal::EncodeRecord(bytes, sequence, internal::EncodeTruncate({highest}));
    auto written = next->Append(bytes);
    if (!base::Ok(written)) {
      // A crash could bring the file back after the segment before it, which stays in use.
      const bool is_removed = base::Ok(this->files.Remove(segment.path)) &&
                              base::Ok(this->files.SyncFolder(this->folder));
      this->failed = !is_removed;
      return written;
    }
    const auto synced = next->Sync();
    auto named = base::Ok(synced) ? this->files.SyncFolder(this->folder) : synced;
    if (!base::Ok(named)) {
      this->failed = true;
      return named;
    }
    this->segments.push_back(std::move(segment));
    this->file = std::move(next);
    this->synced_bytes = bytes.size();
    return Done{};
  }

  StorageResult<Done> SyncFile() {
    MANGOROAD_RETURN_IF_FAILED(this->CheckUsable());
    this->has_unsynced_writes = false;
    const std::uint64_t size = this->file->Size();
    const auto synced = this->file->Sync();
    if (!base::Ok(synced)) {
      this->failed = true;
    } else if (!this->bytes_in_sync) {
      // The kernel reports an error once, so a sync in progress may be the one that learns of it.
      this->synced_bytes = size;
    }
    return synced;
  }

  /// A full disk leaves the old segment in use.
  StorageResult<Done> RotateIfLarge(std::uint64_t limit) {
    if (this->file->Size() < limit) return Done{};
    // After an error of the sync in progress, the last segment is the one to recover.
    if (this->bytes_in_sync) {
      this->is_rotation_due = true;
      return Done{};
    }
    // Later syncs only reach the new segment.
    if (this->has_unsynced_writes) MANGOROAD_RETURN_IF_FAILED(this->SyncFile());
    this->is_rotation_due = false;
    auto added = this->AddSegment(this->segments.back().sequence + 1);
    if (!base::Ok(added) && base::ErrorOf(added).kind == StorageErrorKind::kNoSpace) return Done{};
    return added;
  }

  StorageResult<Done> RemoveSegmentsCoveredBy(Index index) {
    bool has_removed = false;
    while (this->segments.size() > 1 && this->segments.front().last_index <= index) {
      MANGOROAD_RETURN_IF_FAILED(this->files.Remove(this->segments.front().path));
      this->segments.erase(this->segments.begin());
      has_removed = true;
    }
    return has_removed ? this->files.SyncFolder(this->folder) : Done{};
  }

  StorageResult<std::uint64_t> ReadSegments(Replay& replay);
  StorageResult<Done> PrepareLastSegment(std::uint64_t valid_bytes);
};

/// Returns the size of the whole records in the last segment; changes nothing.
StorageResult<std::uint64_t> Wal::Private::ReadSegments(Replay& replay) {
  std::uint64_t valid_bytes = 0;
  const Segment* after_gap = nullptr;
  for (Segment& segment : this->segments) {
    const bool last = &segment == &this->segments.back();
    if (&segment != &this->segments.front() && (&segment)[-1].sequence + 1 != segment.sequence) {
      replay.BeginAfterGap();
      after_gap = &segment;
    }
    const auto bytes = this->files.Read(segment.path);
    if (!base::Ok(bytes)) return base::ErrorOf(bytes);
    replay.last_index = 0;
    const auto scanned = internal::ScanRecords(
        segment.path, base::ValueOf(bytes), segment.sequence, [&](std::string_view payload) {
          const auto record = internal::DecodeWalRecord(payload);
          return record && replay.Apply(*record);
        });
    if (!base::Ok(scanned)) return base::ErrorOf(scanned);
    valid_bytes = base::ValueOf(scanned).valid_bytes;
    if (base::ValueOf(scanned).torn && !last) {
      return StorageError{
          StorageErrorKind::kDamaged,
          fmt::format("{} at offset {}: record is incomplete, but a later segment exists",
                      segment.path, valid_bytes)};
    }
    segment.last_index = replay.last_index;
  }
  if (!replay.IsComplete()) {
    return StorageError{
        StorageErrorKind::kDamaged,
        fmt::format("{} at offset 0: the segment before it is missing", after_gap->path)};
  }
  return valid_bytes;
}

/// Cuts a torn tail; a segment whose header is torn is written again.
StorageResult<Done> Wal::Private::PrepareLastSegment(std::uint64_t valid_bytes) {
  if (this->segments.empty()) return this->AddSegment(1);
  if (valid_bytes == 0) {
    const Segment torn = this->segments.back();
    this->segments.pop_back();
    MANGOROAD_RETURN_IF_FAILED(this->files.Remove(torn.path));
    MANGOROAD_RETURN_IF_FAILED(this->files.SyncFolder(this->folder));
    return this->AddSegment(torn.sequence);
  }
  auto opened = this->files.Open(this->segments.back().path);
  if (!base::Ok(opened)) return base::ErrorOf(opened);
  this->file = std::move(base::ValueOf(opened));
  if (this->file->Size() > valid_bytes) {
    MANGOROAD_RETURN_IF_FAILED(this->file->Truncate(valid_bytes));
  }
  // What is read now must not be lost by a later crash, even when no sync came before.
  return this->SyncFile();
}

Wal::Wal(std::unique_ptr<Private> parts) : d(std::move(parts)) {}
Wal::~Wal() = default;

StorageResult<OpenedWal> Wal::Open(FileSystem& files, const std::string& folder,
                                   WalOptions options) {
  MANGOROAD_RETURN_IF_FAILED(files.CreateFolder(folder));
  const auto names = files.List(folder);
  if (!base::Ok(names)) return base::ErrorOf(names);
  auto parts = std::make_unique<Private>(files, folder, options);
  parts->segments = SegmentsOf(folder, base::ValueOf(names));

  auto snapshot = internal::ReadNewestSnapshot(files, folder, base::ValueOf(names));
  if (!base::Ok(snapshot)) return base::ErrorOf(snapshot);
  const std::optional<Snapshot>& newest = base::ValueOf(snapshot);
  Replay replay(newest ? newest->index : 0);
  const auto valid_bytes = parts->ReadSegments(replay);
  if (!base::Ok(valid_bytes)) return base::ErrorOf(valid_bytes);
  auto entries = replay.EntriesAfter(newest);
  if (!entries) {
    return StorageError{StorageErrorKind::kDamaged,
                        fmt::format("{} at offset 0: entries before the first one are missing",
                                    parts->segments.front().path)};
  }
  parts->hard_state = replay.hard_state;

  for (const std::string& name : base::ValueOf(names)) {
    if (name.ends_with(kTemporarySuffix)) {
      MANGOROAD_RETURN_IF_FAILED(files.Remove(fmt::format("{}/{}", folder, name)));
    }
  }
  const std::uint64_t size_before = [&] {
    if (parts->segments.empty()) return std::uint64_t{0};
    const auto bytes = files.Read(parts->segments.back().path);
    return base::Ok(bytes) ? std::uint64_t{base::ValueOf(bytes).size()} : std::uint64_t{0};
  }();
  const std::uint64_t cut_bytes = size_before - base::ValueOf(valid_bytes);
  MANGOROAD_RETURN_IF_FAILED(parts->PrepareLastSegment(base::ValueOf(valid_bytes)));
  if (replay.disagrees) {
    MANGOROAD_RETURN_IF_FAILED(parts->WriteRecord(internal::EncodeTruncate({0})));
    MANGOROAD_RETURN_IF_FAILED(parts->SyncFile());
  }
  return OpenedWal{std::unique_ptr<Wal>(new Wal(std::move(parts))), replay.hard_state,
                   std::move(base::ValueOf(snapshot)), std::move(*entries), cut_bytes};
}

StorageResult<Done> Wal::Append(std::span<const LogEntry> entries) {
  std::string bytes;
  const std::uint64_t sequence = this->d->segments.back().sequence;
  for (const LogEntry& entry : entries) {
    internal::EncodeRecord(bytes, sequence, internal::EncodeEntry(entry));
  }
  MANGOROAD_RETURN_IF_FAILED(this->d->Write(bytes));
  Index& last_index = this->d->segments.back().last_index;
  for (const LogEntry& entry : entries) last_index = std::max(last_index, entry.index);
  return Done{};
}

StorageResult<Done> Wal::SaveHardState(const HardState& state) {
  MANGOROAD_RETURN_IF_FAILED(this->d->WriteRecord(internal::EncodeHardState(state)));
  this->d->hard_state = state;
  return Done{};
}

StorageResult<Done> Wal::Truncate(Index last_kept) {
  return this->d->WriteRecord(internal::EncodeTruncate({last_kept}));
}

StorageResult<Done> Wal::Sync() {
  MANGOROAD_RETURN_IF_FAILED(this->d->SyncFile());
  return this->d->RotateIfLarge(this->d->options.segment_bytes);
}

Wal::SyncCall Wal::BeginSync() {
  if (this->d->failed) return [error = this->d->CheckUsable()] { return error; };
  this->d->has_unsynced_writes = false;
  this->d->bytes_in_sync = this->d->file->Size();
  return [file = this->d->file] { return file->Sync(); };
}

StorageResult<Done> Wal::FinishSync(StorageResult<Done> result) {
  const auto covered = std::exchange(this->d->bytes_in_sync, std::nullopt);
  if (!base::Ok(result)) {
    this->d->failed = true;
    return result;
  }
  MANGOROAD_RETURN_IF_FAILED(this->d->CheckUsable());
  if (covered) this->d->synced_bytes = std::max(this->d->synced_bytes, *covered);
  return this->d->RotateIfLarge(this->d->is_rotation_due ? 0 : this->d->options.segment_bytes);
}

StorageResult<Done> Wal::SaveSnapshot(const Snapshot& snapshot) {
  MANGOROAD_RETURN_IF_FAILED(this->d->CheckUsable());
  auto written = internal::WriteSnapshot(this->d->files, this->d->folder, snapshot);
  if (!base::Ok(written)) {
    this->d->failed = base::ErrorOf(written).kind != StorageErrorKind::kNoSpace;
    return written;
  }
  MANGOROAD_RETURN_IF_FAILED(
      internal::RemoveSnapshotsBefore(this->d->files, this->d->folder, snapshot.index));
  // A new segment lets the present one be removed with the next snapshot.
  MANGOROAD_RETURN_IF_FAILED(this->d->SyncFile());
  MANGOROAD_RETURN_IF_FAILED(this->d->RotateIfLarge(this->d->options.segment_bytes / 2));
  return this->d->RemoveSegmentsCoveredBy(snapshot.index);
}

StorageResult<Done> Wal::Recover() {
  Private& wal = *this->d;
  const Segment& last = wal.segments.back();
  // Rest of an attempt to add a segment. It must not follow the last one, which stays in use.
  const std::string next = SegmentPath(wal.folder, last.sequence + 1);
  if (const auto removed = wal.files.Remove(next);
      !base::Ok(removed) && base::ErrorOf(removed).kind != StorageErrorKind::kNotFound) {
    return removed;
  }
  const auto bytes = wal.files.Read(last.path);
  if (!base::Ok(bytes)) return base::ErrorOf(bytes);
  if (base::ValueOf(bytes).size() < wal.synced_bytes) {
    return StorageError{StorageErrorKind::kDamaged,
                        fmt::format("{} at offset {}: synced bytes are missing", last.path,
                                    base::ValueOf(bytes).size())};
  }
  // A new file, since pages of the old one may count as written although the disk lacks them.
  MANGOROAD_RETURN_IF_FAILED(
      ReplaceFile(wal.files, wal.folder, last.path.substr(wal.folder.size() + 1),
                  base::ValueOf(bytes).substr(0, static_cast<std::size_t>(wal.synced_bytes))));
  auto opened = wal.files.Open(last.path);
  if (!base::Ok(opened)) return base::ErrorOf(opened);
  wal.file = std::move(base::ValueOf(opened));
  wal.has_unsynced_writes = false;
  wal.failed = false;
  return Done{};
}

bool Wal::Failed() const { return this->d->failed; }

std::size_t Wal::SegmentCount() const { return this->d->segments.size(); }

}  // namespace mangoroad::storage
