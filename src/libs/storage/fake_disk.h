// A disk in memory that fails in the ways a real one does. For tests and benchmarks.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "storage/file_system.h"

namespace mangoroad::storage {

/// Keeps for each file how much of it is synced and for each folder which changes of names are
/// synced. Crash() keeps the synced state and a random part of the rest.
class FakeDisk : public FileSystem {
 public:
  FakeDisk();
  ~FakeDisk() override;
  FakeDisk(const FakeDisk&) = delete;
  FakeDisk& operator=(const FakeDisk&) = delete;

  StorageResult<base::Done> CreateFolder(const std::string& path) override;
  StorageResult<std::vector<std::string>> List(const std::string& folder) override;
  StorageResult<std::string> Read(const std::string& path) override;
  StorageResult<std::unique_ptr<File>> Open(const std::string& path) override;
  StorageResult<base::Done> Rename(const std::string& from, const std::string& to) override;
  StorageResult<base::Done> Remove(const std::string& path) override;
  StorageResult<base::Done> SyncFolder(const std::string& folder) override;

  /// Power loss: of each file's unsynced bytes either a prefix of random length survives, sometimes
  /// followed by zeros up to the old size, or each write survives, is lost or is torn by itself.
  /// Each unsynced change of a name survives or is lost by itself. Files open at this moment must
  /// not be used any more; an injected sync failure is forgotten.
  void Crash(base::Random& random);
  /// As Crash, but nothing unsynced survives.
  void LoseUnsynced();
  /// As LoseUnsynced, but of the unsynced changes of names, oldest first, those survive whose bit
  /// is set.
  void LoseUnsyncedBut(std::uint64_t kept_names);
  [[nodiscard]] std::size_t UnsyncedNames() const;
  /// A disk with the same contents, for a power loss of which the original knows nothing.
  [[nodiscard]] std::unique_ptr<FakeDisk> Clone() const;
  /// Called after each change of a file or a name, and after each sync.
  std::function<void()> on_change;

  /// Total size of all files in bytes above which writes fail with kNoSpace; a write that crosses
  /// it is cut there.
  void SetCapacity(std::uint64_t bytes);
  /// Lets the sync after `count` successful ones fail, for files and folders.
  void FailSyncAfter(std::uint32_t count);
  /// Takes back the two above.
  void ClearFaults();
  /// Inverts bit `bit` (0 to 7) of a byte. False when the file has no such byte.
  bool FlipBit(const std::string& path, std::uint64_t offset, unsigned bit);
  /// Cuts a file to `size` bytes, as a torn write would.
  bool CutFile(const std::string& path, std::uint64_t size);

  std::uint64_t UsedBytes() const;
  /// Number of file and folder syncs so far.
  std::uint64_t SyncCount() const;

 private:
  struct Private;
  friend class FakeFile;
  void LoseUnsyncedNames();
  void KeepNames(std::uint64_t kept);

  std::shared_ptr<Private> d;
};

}  // namespace mangoroad::storage
