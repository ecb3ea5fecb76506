// SHA-256 (FIPS 180-4) through OpenSSL.
#pragma once

#include <string>
#include <string_view>

namespace mangoroad::audit {

/// Digest of `bytes` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

}  // namespace mangoroad::audit
