// Fuzz target of the frame codec: first the input as a raw stream, then as a body of each frame
// type.

#include "masticstep/wire/FrameCodec.hpp"

#include <cstdlib>

namespace {

using namespace masticstep;
using namespace masticstep::wire;

// Reads a stream to its end; every message that was read must be writable and read back the same.
void ReadAll(std::string_view aStream)
{
  FrameDecoder decoder;
  decoder.Append(aStream);
  for (;;) {
    const Result<std::optional<Message>, WireError> message = decoder.Next();
    if (!message || !message->has_value()) {
      return;
    }
    const Result<std::string, WireError> frame = EncodeFrame(**message);
    if (!frame) {
      continue;
    }
    FrameDecoder again;
    again.Append(*frame);
    const Result<std::optional<Message>, WireError> copy = again.Next();
    if (!copy || !copy->has_value() || **copy != **message) {
      std::abort();
    }
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view input(reinterpret_cast<const char*>(aData), aSize);
  ReadAll(input);
  for (std::uint16_t type = 1; type <= 4; ++type) {
    ReadAll(EncodeRawFrame({ 0, kMajorVersion, kMinorVersion, type, 0 }, input));
  }
  return 0;
}
