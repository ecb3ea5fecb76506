#include "storage/record_file.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace mangoroad::storage::internal {
namespace {

constexpr std::string_view kMagic = "MANGOREC";
/// Ends each record. It isn't zero, so a whole record never looks like one whose end was lost.
constexpr char kEndMark = 0x5A;

template <typename Integer>
void PutInteger(std::string& bytes, Integer value) {
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    bytes.push_back(static_cast<char>((value >> (8U * i)) & 0xFFU));
  }
}

template <typename Integer>
Integer GetInteger(std::string_view bytes, std::size_t offset) {
  Integer value = 0;
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    value |= static_cast<Integer>(static_cast<unsigned char>(bytes[offset + i])) << (8U * i);
  }
  return value;
}

std::uint32_t ShortChecksum(std::string_view bytes, std::uint64_t seed) {
  return static_cast<std::uint32_t>(Checksum(bytes, seed));
}

bool AllZero(std::string_view bytes) {
  return std::ranges::all_of(bytes, [](char byte) { return byte == '\0'; });
}

StorageError Damaged(const std::string& path, std::size_t offset, std::string_view what) {
  return {StorageErrorKind::kDamaged, fmt::format("{} at offset {}: {}", path, offset, what)};
}

enum class RecordState { kWhole, kTorn, kBadHeader, kBadPayload };

/// A power loss keeps, loses or tears each unsynced write by itself, so that whole records may
/// follow a torn one. A lost part reads as zeros, up to the end of its record at least; the end
/// mark and the checksum tell it from damage.
RecordState CheckRecord(std::string_view rest, std::uint64_t sequence) {
  if (rest.size() < kRecordHeaderBytes || AllZero(rest)) return RecordState::kTorn;
  if (GetU32(rest, 4) != ShortChecksum(rest.substr(0, 4), sequence)) {
    return AllZero(rest.substr(7, kRecordHeaderBytes - 7)) ? RecordState::kTorn
                                                           : RecordState::kBadHeader;
  }
  const std::size_t end = kRecordHeaderBytes + std::size_t{GetU32(rest, 0)};
  if (rest.size() <= end || rest[end] == '\0') return RecordState::kTorn;
  const std::string_view payload = rest.substr(kRecordHeaderBytes, end - kRecordHeaderBytes);
  const bool is_whole = GetU64(rest, 8) == Checksum(payload, sequence) && rest[end] == kEndMark;
  return is_whole ? RecordState::kWhole : RecordState::kBadPayload;
}

}  // namespace

void PutU32(std::string& bytes, std::uint32_t value) { PutInteger(bytes, value); }
void PutU64(std::string& bytes, std::uint64_t value) { PutInteger(bytes, value); }
std::uint32_t GetU32(std::string_view bytes, std::size_t offset) {
  return GetInteger<std::uint32_t>(bytes, offset);
}
std::uint64_t GetU64(std::string_view bytes, std::size_t offset) {
  return GetInteger<std::uint64_t>(bytes, offset);
}

std::uint64_t Checksum(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string EncodeFileHeader(std::uint64_t sequence) {
  std::string bytes(kMagic);
  PutU32(bytes, kRecordFormatVersion);
  PutU64(bytes, sequence);
  PutU32(bytes, ShortChecksum(bytes, 0));
  return bytes;
}

void EncodeRecord(std::string& bytes, std::uint64_t sequence, std::string_view payload) {
  const std::size_t start = bytes.size();
  PutU32(bytes, static_cast<std::uint32_t>(payload.size()));
  PutU32(bytes, ShortChecksum(std::string_view(bytes).substr(start, 4), sequence));
  PutU64(bytes, Checksum(payload, sequence));
  bytes += payload;
  bytes.push_back(kEndMark);
}

StorageResult<ScannedFile> ScanRecords(const std::string& path, std::string_view bytes,
                                       std::uint64_t sequence, const RecordVisitor& visitor) {
  const std::string header = EncodeFileHeader(sequence);
  const std::string_view found = bytes.substr(0, kFileHeaderBytes);
  if (found != header) {
    if (found.size() < kFileHeaderBytes || AllZero(bytes.substr(kFileHeaderBytes - 1))) {
      return ScannedFile{0, true};
    }
    const bool intact = GetU32(found, 20) == ShortChecksum(found.substr(0, 20), 0);
    if (intact && found.starts_with(kMagic) && GetU32(found, 8) != kRecordFormatVersion) {
      return StorageError{StorageErrorKind::kFormat,
                          fmt::format("{}: format version {}, known is {}", path, GetU32(found, 8),
                                      kRecordFormatVersion)};
    }
    return Damaged(path, 0, "wrong file header");
  }
  std::size_t offset = kFileHeaderBytes;
  while (offset < bytes.size()) {
    const std::string_view rest = bytes.substr(offset);
    const RecordState state = CheckRecord(rest, sequence);
    if (state == RecordState::kTorn) return ScannedFile{offset, true};
    if (state == RecordState::kBadHeader) return Damaged(path, offset, "wrong record header");
    if (state == RecordState::kBadPayload) return Damaged(path, offset, "wrong record checksum");
    const std::size_t length = GetU32(rest, 0);
    if (!visitor(rest.substr(kRecordHeaderBytes, length))) {
      return Damaged(path, offset, "record can't be decoded");
    }
    offset += kRecordHeaderBytes + length + 1;
  }
  return ScannedFile{offset, false};
}

}  // namespace mangoroad::storage::internal
