#include "audit/digest.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <array>

#include "base/soft_assert.h"

namespace mangoroad::audit {

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  const int done =
      EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
  // Only a lack of memory can make the digest fail; a chain with a wrong hash must not go on.
  MANGOROAD_INVARIANT(done == 1);
  return fmt::format("{:02x}", fmt::join(digest.begin(), digest.begin() + size, ""));
}

}  // namespace mangoroad::audit
