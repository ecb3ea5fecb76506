// Envelope of the messages between entry VMs, and reading and writing of msgpack arrays.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/result.h"
#include "wire/frame.h"

namespace mangoroad::wire {

/// A message with its kind, e.g. `raft` or `gossip`; the module of that kind reads the payload.
struct Envelope {
  std::string kind;
  std::string payload;

  bool operator==(const Envelope&) const = default;
};

std::string Encode(const Envelope& envelope);
base::Result<Envelope, WireError> DecodeEnvelope(std::string_view bytes);

/// Writes msgpack values one after the other. Each array is followed by its elements.
class Writer {
 public:
  Writer();
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  Writer& Array(std::size_t size);
  Writer& Unsigned(std::uint64_t value);
  Writer& Signed(std::int64_t value);
  Writer& Real(double value);
  Writer& Bool(bool value);
  Writer& Text(std::string_view value);
  Writer& Bytes(std::string_view value);
  std::string Take();

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

/// Reads exactly one msgpack value, in the order in which Writer wrote it. A value of another type
/// or a missing one makes IsValid() false from then on; such reads return zero or empty values.
class Reader {
 public:
  explicit Reader(std::string_view bytes);
  ~Reader();
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;

  /// Enters an array and returns its size, at most `max_size`; a longer one is invalid. The reads
  /// after it return its elements, after the last one those behind the array.
  std::size_t Array(std::size_t max_size);
  std::uint64_t Unsigned();
  std::int64_t Signed();
  double Real();
  bool Bool();
  std::string Text();
  std::string Bytes();
  [[nodiscard]] bool IsValid() const;
  /// Valid, and everything has been read.
  [[nodiscard]] bool IsComplete() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::wire
