#include "wire/frame.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/params.h>
#include <openssl/rand.h>

#include <algorithm>
#include <memory>

#include "base/soft_assert.h"

namespace mangoroad::wire {
namespace {

constexpr std::size_t kLengthBytes = 4;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

// The most significant byte comes first.
template <std::size_t kSize>
std::array<unsigned char, kSize> BigEndian(std::uint64_t value) {
  std::array<unsigned char, kSize> bytes{};
  for (std::size_t i = 0; i < kSize; ++i) {
    bytes[kSize - 1 - i] = static_cast<unsigned char>(value >> (8 * i));
  }
  return bytes;
}

struct MacFreer {
  void operator()(EVP_MAC* mac) const { EVP_MAC_free(mac); }
  void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
};

EVP_MAC* HmacAlgorithm() {
  static const std::unique_ptr<EVP_MAC, MacFreer> algorithm(
      EVP_MAC_fetch(nullptr, "HMAC", nullptr));
  return algorithm.get();
}

}  // namespace

std::string WriteFrame(std::string_view body, const Mac& mac) {
  MANGOROAD_INVARIANT(body.size() <= kMaxBodyBytes);
  const auto length = BigEndian<kLengthBytes>(body.size());
  std::string bytes;
  bytes.reserve(kLengthBytes + body.size() + kMacBytes);
  bytes.append(length.begin(), length.end());
  bytes.append(body);
  bytes.append(mac.begin(), mac.end());
  return bytes;
}

base::Result<std::optional<Frame>, WireError> FrameReader::Next() {
  const std::string_view rest = std::string_view(this->buffer).substr(this->consumed);
  std::size_t length = 0;
  if (rest.size() >= kLengthBytes) {
    for (const unsigned char c : rest.substr(0, kLengthBytes)) length = length << 8U | c;
    if (length > kMaxBodyBytes) {
      return WireError{WireErrorKind::kTooLarge,
                       fmt::format("frame of {} bytes exceeds {}", length, kMaxBodyBytes)};
    }
  }
  if (rest.size() < kLengthBytes || rest.size() < kLengthBytes + length + kMacBytes) {
    // Bytes are moved only when no whole frame is left, so reading many frames stays linear.
    this->buffer.erase(0, this->consumed);
    this->consumed = 0;
    return std::optional<Frame>();
  }
  Frame frame;
  frame.body = rest.substr(kLengthBytes, length);
  std::ranges::copy(rest.substr(kLengthBytes + length, kMacBytes), frame.mac.begin());
  this->consumed += kLengthBytes + length + kMacBytes;
  return std::optional<Frame>(std::move(frame));
}

Mac ComputeMac(std::string_view key, const MacContext& context, std::string_view body) {
  static const char* const kDigest = "SHA256";
  std::array<OSSL_PARAM, 2> parameters{
      OSSL_PARAM_construct_utf8_string("digest", const_cast<char*>(kDigest), 0),
      OSSL_PARAM_construct_end()};
  const auto direction = static_cast<unsigned char>(context.direction);
  const auto sequence = BigEndian<8>(context.sequence);
  const std::unique_ptr<EVP_MAC_CTX, MacFreer> hmac(EVP_MAC_CTX_new(HmacAlgorithm()));
  Mac mac{};
  std::size_t written = 0;
  const bool is_done =
      hmac != nullptr && EVP_MAC_init(hmac.get(), Bytes(key), key.size(), parameters.data()) == 1 &&
      EVP_MAC_update(hmac.get(), &direction, 1) == 1 &&
      EVP_MAC_update(hmac.get(), context.initiator_nonce.data(), kNonceBytes) == 1 &&
      EVP_MAC_update(hmac.get(), context.acceptor_nonce.data(), kNonceBytes) == 1 &&
      EVP_MAC_update(hmac.get(), sequence.data(), sequence.size()) == 1 &&
      EVP_MAC_update(hmac.get(), Bytes(body), body.size()) == 1 &&
      EVP_MAC_final(hmac.get(), mac.data(), &written, mac.size()) == 1;
  // Without a MAC, frames of strangers would be accepted.
  MANGOROAD_INVARIANT(is_done && written == kMacBytes);
  return mac;
}

bool IsSameMac(const Mac& a, const Mac& b) {
  return CRYPTO_memcmp(a.data(), b.data(), kMacBytes) == 0;
}

Nonce RandomNonce() {
  Nonce nonce{};
  const bool is_random = RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) == 1;
  MANGOROAD_INVARIANT(is_random);
  return nonce;
}

}  // namespace mangoroad::wire
