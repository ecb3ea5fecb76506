#include "storage/parked_jobs.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "storage/msgpack_fields.h"
#include "storage/record_file.h"
#include "storage/replace_file.h"

namespace mangoroad::storage {

using base::Done;

namespace {

constexpr std::string_view kFileName = "parked-jobs.log";
/// The store has a single file, so its sequence number never changes.
constexpr std::uint64_t kSequence = 0;
/// The file is written anew when it is larger than this and mostly holds removed records.
constexpr std::uint64_t kRewriteBytes = 256U << 10U;

std::string EncodeChange(bool add, const std::string& key, const std::string& record) {
  msgpack::sbuffer buffer;
  internal::Packer packer(buffer);
  internal::PackFields(packer, std::tie(add, key, record));
  return {buffer.data(), buffer.size()};
}

bool ApplyChange(std::map<std::string, std::string>& records, std::string_view payload) {
  bool add = false;
  std::string key;
  std::string record;
  const bool whole = wire::UnpackBounded(payload, [&](const msgpack::object& object) {
    return internal::UnpackFields(object, std::tie(add, key, record));
  });
  if (!whole) return false;
  if (add) {
    records[key] = std::move(record);
  } else {
    records.erase(key);
  }
  return true;
}

}  // namespace

struct ParkedJobs::Private {
  Private(FileSystem& file_system, std::string folder_path)
      : files(file_system),
        folder(std::move(folder_path)),
        path(fmt::format("{}/{}", this->folder, kFileName)) {}

  FileSystem& files;
  std::string folder;
  std::string path;
  std::unique_ptr<File> file;
  std::map<std::string, std::string> records;
  std::uint64_t live_bytes = 0;
  bool failed = false;

  StorageResult<Done> Failure() const {
    return StorageError{StorageErrorKind::kFailed,
                        fmt::format("{}: an earlier write failed", this->path)};
  }

  StorageResult<Done> OpenFile() {
    auto opened = this->files.Open(this->path);
    if (!base::Ok(opened)) return base::ErrorOf(opened);
    this->file = std::move(base::ValueOf(opened));
    return Done{};
  }

  /// Replaces the file by one with only the present records.
  StorageResult<Done> Rewrite() {
    std::string bytes = internal::EncodeFileHeader(kSequence);
    for (const auto& [key, record] : this->records) {
      internal::EncodeRecord(bytes, kSequence, EncodeChange(true, key, record));
    }
    MANGOROAD_RETURN_IF_FAILED(
        ReplaceFile(this->files, this->folder, std::string(kFileName), bytes));
    this->live_bytes = bytes.size();
    return this->OpenFile();
  }

  StorageResult<Done> Write(const std::string& payload) {
    if (this->failed) return this->Failure();
    std::string bytes;
    internal::EncodeRecord(bytes, kSequence, payload);
    const std::uint64_t size = this->file->Size();
    auto written = this->file->Append(bytes);
    if (!base::Ok(written)) {
      this->failed = !base::Ok(this->file->Truncate(size));
      return written;
    }
    const auto synced = this->file->Sync();
    this->failed = !base::Ok(synced);
    return synced;
  }

  /// An unsuccessful rewrite leaves the old file in use, unless a sync failed.
  void RewriteIfSparse() {
    if (this->file->Size() < kRewriteBytes || this->file->Size() < 4 * this->live_bytes) return;
    const auto rewritten = this->Rewrite();
    if (!base::Ok(rewritten) && base::ErrorOf(rewritten).kind != StorageErrorKind::kNoSpace) {
      this->failed = true;
    }
  }
};

ParkedJobs::ParkedJobs(std::unique_ptr<Private> parts) : d(std::move(parts)) {}
ParkedJobs::~ParkedJobs() = default;

StorageResult<std::unique_ptr<ParkedJobs>> ParkedJobs::Open(FileSystem& files,
                                                            const std::string& folder) {
  MANGOROAD_RETURN_IF_FAILED(files.CreateFolder(folder));
  const auto names = files.List(folder);
  if (!base::Ok(names)) return base::ErrorOf(names);
  auto parts = std::make_unique<Private>(files, folder);
  const bool exists =
      std::ranges::find(base::ValueOf(names), kFileName) != base::ValueOf(names).end();
  if (exists) {
    const auto bytes = files.Read(parts->path);
    if (!base::Ok(bytes)) return base::ErrorOf(bytes);
    const auto scanned =
        internal::ScanRecords(parts->path, base::ValueOf(bytes), kSequence,
                              [&](auto payload) { return ApplyChange(parts->records, payload); });
    if (!base::Ok(scanned)) return base::ErrorOf(scanned);
  }
  // The rewrite drops a torn tail and the records removed since, atomically.
  MANGOROAD_RETURN_IF_FAILED(parts->Rewrite());
  return std::unique_ptr<ParkedJobs>(new ParkedJobs(std::move(parts)));
}

StorageResult<Done> ParkedJobs::Add(const std::string& key, const std::string& record) {
  MANGOROAD_RETURN_IF_FAILED(this->d->Write(EncodeChange(true, key, record)));
  this->d->records[key] = record;
  this->d->live_bytes += key.size() + record.size();
  return Done{};
}

StorageResult<Done> ParkedJobs::Remove(const std::string& key) {
  const auto found = this->d->records.find(key);
  if (found == this->d->records.end()) return Done{};
  MANGOROAD_RETURN_IF_FAILED(this->d->Write(EncodeChange(false, key, {})));
  this->d->live_bytes -=
      std::min<std::uint64_t>(this->d->live_bytes, key.size() + found->second.size());
  this->d->records.erase(found);
  this->d->RewriteIfSparse();
  return Done{};
}

const std::map<std::string, std::string>& ParkedJobs::List() const { return this->d->records; }

}  // namespace mangoroad::storage
