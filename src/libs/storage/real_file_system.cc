#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <utility>

#include "storage/file_system.h"

namespace mangoroad::storage {
namespace {

using base::Done;

StorageErrorKind KindOfErrno(int code) {
  switch (code) {
    case ENOENT:
      return StorageErrorKind::kNotFound;
    case ENOSPC:
    case EDQUOT:
      return StorageErrorKind::kNoSpace;
    default:
      return StorageErrorKind::kIo;
  }
}

StorageError ErrorOfErrno(std::string_view action, const std::string& path, int code) {
  return {KindOfErrno(code), fmt::format("{} {}: {}", action, path,
                                         std::error_code(code, std::generic_category()).message())};
}

/// Closes a file descriptor at the end of its scope.
class Descriptor {
 public:
  explicit Descriptor(int number) : value(number) {}
  ~Descriptor() {
    if (this->value >= 0) ::close(this->value);
  }
  Descriptor(Descriptor&& other) noexcept : value(std::exchange(other.value, -1)) {}
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  Descriptor& operator=(Descriptor&&) = delete;

  int Get() const { return this->value; }

 private:
  int value;
};

class RealFile : public File {
 public:
  RealFile(std::string file_path, Descriptor opened, std::uint64_t present_size)
      : path(std::move(file_path)), descriptor(std::move(opened)), size(present_size) {}

  StorageResult<Done> Append(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written = ::write(this->descriptor.Get(), bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) continue;
      if (written < 0) return ErrorOfErrno("write", this->path, errno);
      this->size += static_cast<std::uint64_t>(written);
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return Done{};
  }

  StorageResult<Done> Sync() override {
    if (::fdatasync(this->descriptor.Get()) != 0) return ErrorOfErrno("sync", this->path, errno);
    return Done{};
  }

  StorageResult<Done> Truncate(std::uint64_t new_size) override {
    if (::ftruncate(this->descriptor.Get(), static_cast<off_t>(new_size)) != 0) {
      return ErrorOfErrno("truncate", this->path, errno);
    }
    this->size = new_size;
    return Done{};
  }

  std::uint64_t Size() const override { return this->size; }

 private:
  std::string path;
  Descriptor descriptor;
  std::uint64_t size;
};

class RealFileSystem : public FileSystem {
 public:
  StorageResult<Done> CreateFolder(const std::string& path) override {
    std::error_code error;
    std::filesystem::create_directories(path, error);
    if (error) return ErrorOfErrno("create folder", path, error.value());
    return Done{};
  }

  StorageResult<std::vector<std::string>> List(const std::string& folder) override {
    std::error_code error;
    std::filesystem::directory_iterator entries(folder, error);
    if (error) return ErrorOfErrno("list", folder, error.value());
    std::vector<std::string> names;
    for (const auto end = std::filesystem::directory_iterator(); entries != end;) {
      std::error_code type_error;
      if (entries->is_regular_file(type_error)) {
        names.push_back(entries->path().filename().string());
      }
      entries.increment(error);
      if (error) return ErrorOfErrno("list", folder, error.value());
    }
    std::ranges::sort(names);
    return names;
  }

  StorageResult<std::string> Read(const std::string& path) override {
    const Descriptor descriptor(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (descriptor.Get() < 0) return ErrorOfErrno("open", path, errno);
    struct stat status{};
    if (::fstat(descriptor.Get(), &status) != 0) return ErrorOfErrno("stat", path, errno);
    std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
    std::size_t filled = 0;
    while (filled < bytes.size()) {
      const ssize_t got = ::read(descriptor.Get(), bytes.data() + filled, bytes.size() - filled);
      if (got < 0 && errno == EINTR) continue;
      if (got < 0) return ErrorOfErrno("read", path, errno);
      if (got == 0) break;
      filled += static_cast<std::size_t>(got);
    }
    bytes.resize(filled);
    return bytes;
  }

  StorageResult<std::unique_ptr<File>> Open(const std::string& path) override {
    Descriptor descriptor(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640));
    if (descriptor.Get() < 0) return ErrorOfErrno("open", path, errno);
    struct stat status{};
    if (::fstat(descriptor.Get(), &status) != 0) return ErrorOfErrno("stat", path, errno);
    const auto size = static_cast<std::uint64_t>(status.st_size);
    return std::unique_ptr<File>(std::make_unique<RealFile>(path, std::move(descriptor), size));
  }

  StorageResult<Done> Rename(const std::string& from, const std::string& to) override {
    if (::rename(from.c_str(), to.c_str()) != 0) return ErrorOfErrno("rename", from, errno);
    return Done{};
  }

  StorageResult<Done> Remove(const std::string& path) override {
    if (::unlink(path.c_str()) != 0) return ErrorOfErrno("remove", path, errno);
    return Done{};
  }

  StorageResult<Done> SyncFolder(const std::string& folder) override {
    const Descriptor descriptor(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (descriptor.Get() < 0) return ErrorOfErrno("open folder", folder, errno);
    if (::fsync(descriptor.Get()) != 0) return ErrorOfErrno("sync folder", folder, errno);
    return Done{};
  }
};

}  // namespace

std::unique_ptr<FileSystem> MakeRealFileSystem() { return std::make_unique<RealFileSystem>(); }

}  // namespace mangoroad::storage
