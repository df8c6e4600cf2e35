#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace masticstep {

// Returns the XXH64 hash of the bytes. The value is the same on every host and in every version.
std::uint64_t Hash64(std::string_view aBytes, std::uint64_t aSeed = 0);

// Returns the SHA-256 digest as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view aBytes);

} // namespace masticstep
