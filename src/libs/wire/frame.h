// Framing of the messages between entry VMs: a 4-byte big-endian length of the body, the body and a
// 32-byte HMAC-SHA-256.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"

namespace mangoroad::wire {

inline constexpr std::size_t kMaxBodyBytes = 4U << 20U;
inline constexpr std::size_t kMacBytes = 32;
inline constexpr std::size_t kNonceBytes = 16;

using Mac = std::array<unsigned char, kMacBytes>;
using Nonce = std::array<unsigned char, kNonceBytes>;

enum class WireErrorKind {
  kTooLarge,
  kBadMac,
  kUnknownKey,
  kBadVersion,
  kBadHandshake,
  kMalformed,
  kBadKeyFile,
};
using WireError = base::BasicError<WireErrorKind>;

struct Frame {
  std::string body;
  Mac mac{};
};

/// The frame's bytes. The body must not be longer than kMaxBodyBytes.
std::string WriteFrame(std::string_view body, const Mac& mac);

/// Splits a stream of bytes into frames. It holds at most one incomplete frame besides the bytes
/// appended since the last call of Next().
class FrameReader {
 public:
  void Append(std::string_view bytes) { this->buffer.append(bytes); }
  /// The next whole frame, nothing when more bytes are needed, or kTooLarge; after an error the
  /// stream can't be read further.
  base::Result<std::optional<Frame>, WireError> Next();

 private:
  std::string buffer;
  std::size_t consumed = 0;
};

/// Which side of a connection sent a frame; part of the MAC, so a reflected frame is refused.
enum class Direction : std::uint8_t { kFromInitiator = 1, kFromAcceptor = 2 };

/// Everything but the body that a frame's MAC covers.
struct MacContext {
  Direction direction = Direction::kFromInitiator;
  Nonce initiator_nonce{};
  /// Zero in the first frame of the initiator, which doesn't know it.
  Nonce acceptor_nonce{};
  std::uint64_t sequence = 0;
};

Mac ComputeMac(std::string_view key, const MacContext& context, std::string_view body);
/// Compares in constant time.
bool IsSameMac(const Mac& a, const Mac& b);

/// Random bytes from the operating system's generator.
Nonce RandomNonce();

}  // namespace mangoroad::wire
