#include "masticstep/base/Hash.hpp"

#include <openssl/evp.h>
#include <xxhash.h>

#include <array>

namespace masticstep {

std::uint64_t Hash64(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

std::string Sha256Hex(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int n = 0;
  EVP_Digest(aBytes.data(), aBytes.size(), digest.data(), &n, EVP_sha256(), nullptr);
  std::string text;
  text.reserve(2U * n);
  for (unsigned int i = 0; i < n; ++i) {
    text += kDigits[digest[i] >> 4U];
    text += kDigits[digest[i] & 15U];
  }
  return text;
}

} // namespace masticstep
