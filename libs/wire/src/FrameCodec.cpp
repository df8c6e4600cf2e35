#include "masticstep/wire/FrameCodec.hpp"

#include "BodyReader.hpp"
#include "BodyWriter.hpp"
#include "masticstep/base/Hash.hpp"

#include <utility>

namespace masticstep::wire {

namespace {

void AppendLittleEndian(std::string& aOut, std::uint64_t aValue, int aBytes)
{
  for (int i = 0; i < aBytes; ++i) {
    aOut += static_cast<char>(aValue & 0xffU);
    aValue >>= 8U;
  }
}

std::uint64_t ReadLittleEndian(std::string_view aIn, std::size_t aOffset, int aBytes)
{
  std::uint64_t value = 0;
  for (int i = aBytes - 1; i >= 0; --i) {
    value = (value << 8U) | static_cast<unsigned char>(aIn[aOffset + static_cast<std::size_t>(i)]);
  }
  return value;
}

// The checksum is seeded with version and type, so that it also detects a corrupted header.
std::uint64_t ComputeChecksum(const FrameHeader& aHeader, std::string_view aBody)
{
  const std::uint64_t seed = (static_cast<std::uint64_t>(aHeader.major) << 24U) |
                             (static_cast<std::uint64_t>(aHeader.minor) << 16U) | aHeader.type;
  return Hash64(aBody, seed);
}

FrameHeader ReadHeader(std::string_view aBytes)
{
  FrameHeader header;
  header.bodySize = static_cast<std::uint32_t>(ReadLittleEndian(aBytes, 0, 4));
  header.minor = static_cast<std::uint8_t>(aBytes[4]);
  header.major = static_cast<std::uint8_t>(aBytes[5]);
  header.type = static_cast<std::uint16_t>(ReadLittleEndian(aBytes, 6, 2));
  header.checksum = ReadLittleEndian(aBytes, 8, 8);
  return header;
}

std::optional<WireError> CheckHeader(const FrameHeader& aHeader)
{
  if (aHeader.major != kMajorVersion) {
    return WireError{ WireErrorKind::MajorVersionMismatch,
                      "peer speaks protocol version " + std::to_string(aHeader.major) + "." +
                        std::to_string(aHeader.minor) + ", this daemon speaks " +
                        std::to_string(kMajorVersion) + "." + std::to_string(kMinorVersion) };
  }
  if (aHeader.bodySize > kMaximumFrameSize - kHeaderSize) {
    return WireError{ WireErrorKind::TooLarge, "frame body of " + std::to_string(aHeader.bodySize) +
                                                 " bytes exceeds the limit of " +
                                                 std::to_string(kMaximumFrameSize - kHeaderSize) };
  }
  return std::nullopt;
}

bool IsKnownType(std::uint16_t aType)
{
  return aType >= 1 && aType <= std::variant_size_v<Message>;
}

// Decodes one complete frame. Returns nullopt if the frame must be skipped.
Result<std::optional<Message>, WireError> ReadFrame(const FrameHeader& aHeader,
                                                    std::string_view aBody)
{
  if (ComputeChecksum(aHeader, aBody) != aHeader.checksum) {
    return Failure(WireError{ WireErrorKind::ChecksumMismatch, "frame checksum does not match" });
  }
  if (!IsKnownType(aHeader.type)) {
    if (aHeader.minor > kMinorVersion) {
      return std::optional<Message>{};
    }
    return Failure(WireError{ WireErrorKind::UnknownType,
                              "unknown frame type " + std::to_string(aHeader.type) });
  }
  // FlatBuffers requires an aligned buffer; a body within the stream buffer may be unaligned.
  const std::string aligned(aBody);
  std::optional<Message> message = ReadBody(static_cast<FrameType>(aHeader.type), aligned);
  if (!message) {
    return Failure(WireError{ WireErrorKind::MalformedBody,
                              "malformed body of frame type " + std::to_string(aHeader.type) });
  }
  return message;
}

} // namespace

std::string EncodeRawFrame(FrameHeader aHeader, std::string_view aBody)
{
  std::string frame;
  frame.reserve(kHeaderSize + aBody.size());
  AppendLittleEndian(frame, aBody.size(), 4);
  frame += static_cast<char>(aHeader.minor);
  frame += static_cast<char>(aHeader.major);
  AppendLittleEndian(frame, aHeader.type, 2);
  AppendLittleEndian(frame, ComputeChecksum(aHeader, aBody), 8);
  frame += aBody;
  return frame;
}

Result<std::string, WireError> EncodeFrame(const Message& aMessage)
{
  flatbuffers::FlatBufferBuilder builder(1024);
  WriteBody(builder, aMessage);
  if (builder.GetSize() > kMaximumFrameSize - kHeaderSize) {
    return Failure(WireError{ WireErrorKind::TooLarge, "message of " +
                                                         std::to_string(builder.GetSize()) +
                                                         " bytes does not fit into a frame" });
  }
  FrameHeader header;
  header.type = static_cast<std::uint16_t>(TypeOf(aMessage));
  const char* bytes = reinterpret_cast<const char*>(builder.GetBufferPointer());
  return EncodeRawFrame(header, { bytes, builder.GetSize() });
}

void FrameDecoder::Append(std::string_view aBytes)
{
  mBuffer.erase(0, mConsumed);
  mConsumed = 0;
  mBuffer += aBytes;
}

Result<std::optional<Message>, WireError> FrameDecoder::Next()
{
  for (;;) {
    const std::string_view rest = std::string_view(mBuffer).substr(mConsumed);
    if (rest.size() < kHeaderSize) {
      return std::optional<Message>{};
    }
    const FrameHeader header = ReadHeader(rest);
    if (std::optional<WireError> error = CheckHeader(header)) {
      return Failure(*std::move(error));
    }
    if (rest.size() < kHeaderSize + header.bodySize) {
      return std::optional<Message>{};
    }
    mConsumed += kHeaderSize + header.bodySize;
    Result<std::optional<Message>, WireError> message =
      ReadFrame(header, rest.substr(kHeaderSize, header.bodySize));
    if (!message || message->has_value()) {
      return message;
    }
  }
}

} // namespace masticstep::wire
