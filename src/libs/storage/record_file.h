// Framing of checksummed records in an append-only file. Used by the write-ahead log and by the
// store of parked jobs.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "storage/storage_error.h"

namespace mangoroad::storage::internal {

/// Size in bytes of the header of a file and of a record.
inline constexpr std::size_t kFileHeaderBytes = 24;
inline constexpr std::size_t kRecordHeaderBytes = 16;
/// Format version of record files.
inline constexpr std::uint32_t kRecordFormatVersion = 1;

/// Header of a record file with its number in a sequence of files.
std::string EncodeFileHeader(std::uint64_t sequence);

/// Appends one framed record to `bytes`. The sequence number of the file is part of the checksums,
/// so that a record can't be taken for one of another file.
void EncodeRecord(std::string& bytes, std::uint64_t sequence, std::string_view payload);

struct ScannedFile {
  /// Bytes up to the end of the last whole record.
  std::uint64_t valid_bytes = 0;
  /// What follows is the remains of a write that a crash interrupted.
  bool torn = false;
};

/// Returns false when the payload can't be decoded.
using RecordVisitor = std::function<bool(std::string_view payload)>;

/// Passes each whole record of `bytes` to the visitor, up to the first one that isn't whole. That
/// one counts as torn when the file ends inside it or when it ends in zeros. It wasn't synced, so
/// nothing after it was, whatever is found there. Each other fault is damage, reported with `path`
/// and offset.
StorageResult<ScannedFile> ScanRecords(const std::string& path, std::string_view bytes,
                                       std::uint64_t sequence, const RecordVisitor& visitor);

/// Checksum of stored bytes (XXH3, 64 bits).
std::uint64_t Checksum(std::string_view bytes, std::uint64_t seed);

/// Little-endian integers in files.
void PutU32(std::string& bytes, std::uint32_t value);
void PutU64(std::string& bytes, std::uint64_t value);
std::uint32_t GetU32(std::string_view bytes, std::size_t offset);
std::uint64_t GetU64(std::string_view bytes, std::size_t offset);

}  // namespace mangoroad::storage::internal
