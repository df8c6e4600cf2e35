#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/wire/Message.hpp"
#include "masticstep/wire/WireError.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticstep::wire {

// Header layout, little-endian: 4-byte body length, 2-byte version (major in the high byte),
// 2-byte type, 8-byte XXH64 checksum.
constexpr std::size_t kHeaderSize = 16;
constexpr std::size_t kMaximumFrameSize = 256U * 1024U;
constexpr std::uint8_t kMajorVersion = 1;
constexpr std::uint8_t kMinorVersion = 0;

struct FrameHeader
{
  std::uint32_t bodySize = 0;
  std::uint8_t major = kMajorVersion;
  std::uint8_t minor = kMinorVersion;
  std::uint16_t type = 0;
  std::uint64_t checksum = 0;

  bool operator==(const FrameHeader&) const = default;
};

// Returns the encoded frame, or TooLarge if it exceeds kMaximumFrameSize.
Result<std::string, WireError> EncodeFrame(const Message& aMessage);

// Builds a frame of any type and version from a body. Sets the body length and the checksum.
std::string EncodeRawFrame(FrameHeader aHeader, std::string_view aBody);

// Decodes the byte stream of one link into messages. Each frame is verified completely before
// any of its fields is read: size and major version as soon as the header has arrived, then the
// checksum, then the FlatBuffers structure. Frames of an unknown type from a newer minor version
// are skipped.
class FrameDecoder
{
public:
  void Append(std::string_view aBytes);
  // Returns the next message, nullopt if more bytes are needed, or an error after which the link
  // must be closed.
  Result<std::optional<Message>, WireError> Next();

private:
  std::string mBuffer;
  std::size_t mConsumed = 0;
};

} // namespace masticstep::wire
