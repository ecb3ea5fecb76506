#include "storage/fake_disk.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace mangoroad::storage {

using base::Done;

namespace {

/// Contents of a file, independent of its names.
struct Inode {
  std::string bytes;
  std::size_t synced = 0;
  /// Where each write since the last sync begins.
  std::vector<std::size_t> unsynced_writes;
  /// After a failed sync the kernel counts the unsynced pages as written: later syncs succeed
  /// without making them durable.
  bool has_lost_pages = false;

  void MarkSynced() {
    if (this->has_lost_pages) return;
    this->synced = this->bytes.size();
    this->unsynced_writes.clear();
  }
};
using InodePointer = std::shared_ptr<Inode>;
using Names = std::map<std::string, InodePointer>;

/// Keeps a random prefix of the unsynced bytes, sometimes followed by zeros up to the old size.
void KeepPrefix(Inode& inode, base::Random& random) {
  const std::size_t size = inode.bytes.size();
  const auto unsynced = static_cast<std::uint32_t>(size - inode.synced);
  inode.bytes.resize(inode.synced + random.Below(unsynced + 1));
  if (random.Chance(0.25)) inode.bytes.resize(size, '\0');
}

/// Keeps, loses or tears each unsynced write by itself; what is lost before a kept one reads as
/// zeros.
void KeepSomeWrites(Inode& inode, base::Random& random) {
  std::size_t kept_size = inode.synced;
  for (std::size_t i = 0; i < inode.unsynced_writes.size(); ++i) {
    const std::size_t begin = inode.unsynced_writes[i];
    const std::size_t end =
        i + 1 < inode.unsynced_writes.size() ? inode.unsynced_writes[i + 1] : inode.bytes.size();
    std::size_t kept = end - begin;
    if (random.Chance(0.3)) {
      kept = 0;
    } else if (random.Chance(0.3)) {
      kept = random.Below(static_cast<std::uint32_t>(end - begin));
    }
    std::fill(inode.bytes.begin() + static_cast<std::ptrdiff_t>(begin + kept),
              inode.bytes.begin() + static_cast<std::ptrdiff_t>(end), '\0');
    if (kept > 0) kept_size = random.Chance(0.5) ? end : begin + kept;
  }
  inode.bytes.resize(kept_size);
}

/// A change of one name that isn't synced yet; an empty inode removes the name.
struct NameChange {
  std::string path;
  InodePointer inode;
};

std::string FolderOf(const std::string& path) { return path.substr(0, path.rfind('/')); }

void ApplyChange(Names& names, const NameChange& change) {
  if (change.inode) {
    names[change.path] = change.inode;
  } else {
    names.erase(change.path);
  }
}

StorageError NotFound(const std::string& path) {
  return {StorageErrorKind::kNotFound, fmt::format("{}: no such file", path)};
}

}  // namespace

struct FakeDisk::Private {
  Names names;
  Names synced_names;
  /// Renames are recorded as one group, since a rename is atomic.
  std::vector<std::vector<NameChange>> pending;
  std::uint64_t capacity = std::numeric_limits<std::uint64_t>::max();
  std::optional<std::uint32_t> syncs_until_failure;
  std::uint64_t syncs = 0;
  /// Null once the disk is gone, which its files may outlive.
  const FakeDisk* owner = nullptr;

  std::uint64_t Used() const {
    std::uint64_t used = 0;
    for (const auto& [path, inode] : this->names) used += inode->bytes.size();
    return used;
  }

  void Change(std::vector<NameChange> changes) {
    for (const NameChange& change : changes) ApplyChange(this->names, change);
    this->pending.push_back(std::move(changes));
    this->NoteChange();
  }
  void NoteChange() const {
    if (this->owner != nullptr && this->owner->on_change) this->owner->on_change();
  }

  StorageResult<Done> CountSync(const std::string& what) {
    ++this->syncs;
    if (!this->syncs_until_failure) return Done{};
    if (*this->syncs_until_failure > 0) {
      --*this->syncs_until_failure;
      return Done{};
    }
    this->syncs_until_failure.reset();
    return StorageError{StorageErrorKind::kIo, fmt::format("sync {}: injected failure", what)};
  }
};

class FakeFile : public File {
 public:
  FakeFile(std::shared_ptr<FakeDisk::Private> owner, std::string name, InodePointer contents)
      : disk(std::move(owner)), path(std::move(name)), inode(std::move(contents)) {}

  StorageResult<Done> Append(std::string_view bytes) override {
    this->inode->unsynced_writes.push_back(this->inode->bytes.size());
    if (this->disk->capacity == std::numeric_limits<std::uint64_t>::max()) {
      this->inode->bytes += bytes;
      this->disk->NoteChange();
      return Done{};
    }
    const std::uint64_t used = this->disk->Used();
    const std::uint64_t room = this->disk->capacity > used ? this->disk->capacity - used : 0;
    this->inode->bytes +=
        bytes.substr(0, static_cast<std::size_t>(std::min<std::uint64_t>(room, bytes.size())));
    if (room >= bytes.size()) return Done{};
    return StorageError{StorageErrorKind::kNoSpace, fmt::format("write {}: disk full", this->path)};
  }

  StorageResult<Done> Sync() override {
    if (auto counted = this->disk->CountSync(this->path); !base::Ok(counted)) {
      this->inode->has_lost_pages = this->inode->synced < this->inode->bytes.size();
      return counted;
    }
    this->inode->MarkSynced();
    this->disk->NoteChange();
    return Done{};
  }

  StorageResult<Done> Truncate(std::uint64_t size) override {
    this->inode->bytes.resize(static_cast<std::size_t>(size));
    this->inode->synced = std::min(this->inode->synced, this->inode->bytes.size());
    std::erase_if(this->inode->unsynced_writes,
                  [size](std::size_t begin) { return begin >= size; });
    this->disk->NoteChange();
    return Done{};
  }

  std::uint64_t Size() const override { return this->inode->bytes.size(); }

 private:
  std::shared_ptr<FakeDisk::Private> disk;
  std::string path;
  InodePointer inode;
};

FakeDisk::FakeDisk() : d(std::make_shared<Private>()) { this->d->owner = this; }
FakeDisk::~FakeDisk() { this->d->owner = nullptr; }

StorageResult<Done> FakeDisk::CreateFolder(const std::string& /*path*/) { return Done{}; }

StorageResult<std::vector<std::string>> FakeDisk::List(const std::string& folder) {
  std::vector<std::string> found;
  for (const auto& [path, inode] : this->d->names) {
    if (FolderOf(path) == folder) found.push_back(path.substr(folder.size() + 1));
  }
  return found;
}

StorageResult<std::string> FakeDisk::Read(const std::string& path) {
  const auto file = this->d->names.find(path);
  if (file == this->d->names.end()) return NotFound(path);
  return file->second->bytes;
}

StorageResult<std::unique_ptr<File>> FakeDisk::Open(const std::string& path) {
  if (!this->d->names.contains(path)) this->d->Change({{path, std::make_shared<Inode>()}});
  return std::unique_ptr<File>(std::make_unique<FakeFile>(this->d, path, this->d->names[path]));
}

StorageResult<Done> FakeDisk::Rename(const std::string& from, const std::string& to) {
  const auto file = this->d->names.find(from);
  if (file == this->d->names.end()) return NotFound(from);
  this->d->Change({{to, file->second}, {from, nullptr}});
  return Done{};
}

StorageResult<Done> FakeDisk::Remove(const std::string& path) {
  if (!this->d->names.contains(path)) return NotFound(path);
  this->d->Change({{path, nullptr}});
  return Done{};
}

StorageResult<Done> FakeDisk::SyncFolder(const std::string& folder) {
  MANGOROAD_RETURN_IF_FAILED(this->d->CountSync(folder));
  std::erase_if(this->d->pending, [&](const auto& changes) {
    if (FolderOf(changes.front().path) != folder) return false;
    for (const NameChange& change : changes) ApplyChange(this->d->synced_names, change);
    return true;
  });
  this->d->NoteChange();
  return Done{};
}

void FakeDisk::Crash(base::Random& random) {
  this->KeepNames(random.Bits());
  for (const auto& [path, inode] : this->d->synced_names) {
    if (random.Chance(0.5)) {
      KeepPrefix(*inode, random);
    } else {
      KeepSomeWrites(*inode, random);
    }
  }
  this->LoseUnsyncedNames();
}

void FakeDisk::LoseUnsynced() {
  for (const auto& [path, inode] : this->d->synced_names) inode->bytes.resize(inode->synced);
  this->LoseUnsyncedNames();
}

void FakeDisk::LoseUnsyncedBut(std::uint64_t kept_names) {
  this->KeepNames(kept_names);
  this->LoseUnsynced();
}

std::size_t FakeDisk::UnsyncedNames() const { return this->d->pending.size(); }

void FakeDisk::KeepNames(std::uint64_t kept) {
  constexpr std::size_t kBits = 64;
  for (std::size_t i = 0; i < this->d->pending.size(); ++i) {
    if (((kept >> (i % kBits)) & 1U) == 0) continue;
    for (const NameChange& change : this->d->pending[i]) ApplyChange(this->d->synced_names, change);
  }
}

std::unique_ptr<FakeDisk> FakeDisk::Clone() const {
  auto clone = std::make_unique<FakeDisk>();
  *clone->d = *this->d;
  clone->d->owner = clone.get();
  // Names share an inode on both disks after a rename.
  std::map<InodePointer, InodePointer> copies;
  const auto copy = [&](InodePointer& inode) {
    if (!inode) return;
    InodePointer& known = copies[inode];
    if (!known) known = std::make_shared<Inode>(*inode);
    inode = known;
  };
  for (auto& [path, inode] : clone->d->names) copy(inode);
  for (auto& [path, inode] : clone->d->synced_names) copy(inode);
  for (auto& changes : clone->d->pending) {
    for (NameChange& change : changes) copy(change.inode);
  }
  return clone;
}

void FakeDisk::LoseUnsyncedNames() {
  this->d->names = this->d->synced_names;
  this->d->pending.clear();
  this->d->syncs_until_failure.reset();
  for (const auto& [path, inode] : this->d->names) {
    inode->has_lost_pages = false;
    inode->MarkSynced();
  }
}

void FakeDisk::SetCapacity(std::uint64_t bytes) { this->d->capacity = bytes; }

void FakeDisk::FailSyncAfter(std::uint32_t count) { this->d->syncs_until_failure = count; }

void FakeDisk::ClearFaults() {
  this->d->capacity = std::numeric_limits<std::uint64_t>::max();
  this->d->syncs_until_failure.reset();
}

bool FakeDisk::FlipBit(const std::string& path, std::uint64_t offset, unsigned bit) {
  const auto file = this->d->names.find(path);
  if (file == this->d->names.end() || offset >= file->second->bytes.size()) return false;
  char& byte = file->second->bytes[static_cast<std::size_t>(offset)];
  byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << bit));
  return true;
}

bool FakeDisk::CutFile(const std::string& path, std::uint64_t size) {
  const auto file = this->d->names.find(path);
  if (file == this->d->names.end() || size > file->second->bytes.size()) return false;
  file->second->bytes.resize(static_cast<std::size_t>(size));
  file->second->synced = std::min(file->second->synced, file->second->bytes.size());
  return true;
}

std::uint64_t FakeDisk::UsedBytes() const { return this->d->Used(); }

std::uint64_t FakeDisk::SyncCount() const { return this->d->syncs; }

}  // namespace mangoroad::storage
