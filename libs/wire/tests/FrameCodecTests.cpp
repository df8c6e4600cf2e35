#include "masticstep/base/Random.hpp"
#include "masticstep/testing/Test.hpp"
#include "masticstep/wire/FrameCodec.hpp"

using namespace masticstep;
using namespace masticstep::wire;

namespace {

std::vector<Message> Samples()
{
  MembershipFrame membership{ 2, 7, 9, "t", { { "a", "127.0.0.1:1", "d", "r", 5, 1 } } };
  SpreadFrame spread;
  spread.kind = 1;
  spread.generation = 12;
  spread.compact = { { 1, 2, 3, 4, "ab" },
                     { 5, 6, 7, 8, "" },
                     { 9, 10, 11, 12, std::string(40000, 'z') } };
  spread.full = { { 1, "name", "owner", 3, 100000, std::string("\0v", 2) } };
  spread.versions = { { 1, 2, 3 } };
  spread.hashes = { 4, 5 };
  ContentFrame content{ 1, 3, "manifest", { "d1", "d2" }, "d1", 10, 20, "bytes" };
  return { Hello{ "a", "127.0.0.1:1", "d", "r", true },
           membership,
           spread,
           content,
           MembershipFrame{},
           SpreadFrame{},
           ContentFrame{} };
}

WireErrorKind DecodeErrorOf(const std::string& aBytes)
{
  FrameDecoder decoder;
  decoder.Append(aBytes);
  const Result<std::optional<Message>, WireError> message = decoder.Next();
  CHECK_FALSE(message.has_value());
  return message.error().kind;
}

} // namespace

// Guards against fields lost in the codec and against wrong decoding of frames that arrive in
// parts.
MASTICSTEP_TEST("messages are unchanged after encoding and decoding byte by byte", "[wire][codec]")
{
  for (const Message& sample : Samples()) {
    const std::string frame = *EncodeFrame(sample);
    FrameDecoder decoder;
    for (std::size_t i = 0; i < frame.size(); ++i) {
      CHECK_FALSE(decoder.Next()->has_value());
      decoder.Append({ &frame[i], 1 });
    }
    const Result<std::optional<Message>, WireError> read = decoder.Next();
    CHECK_TRUE(read->has_value());
    CHECK_TRUE(**read == sample);
  }
}

// Guards against links that fail during a rolling upgrade because a peer sends a new frame type.
MASTICSTEP_TEST("unknown types of a newer minor version are skipped", "[wire][codec][version]")
{
  const Message sample = Samples().front();
  FrameDecoder decoder;
  decoder.Append(EncodeRawFrame({ 0, kMajorVersion, kMinorVersion + 1, 999, 0 }, "new"));
  decoder.Append(*EncodeFrame(sample));
  CHECK_TRUE(**decoder.Next() == sample);
  CHECK_TRUE(WireErrorKind::UnknownType ==
             DecodeErrorOf(EncodeRawFrame({ 0, kMajorVersion, kMinorVersion, 999, 0 }, "new")));
}

// Guards against decoding frames of another major version, whose layout may differ.
MASTICSTEP_TEST("another major version is refused with both versions named",
                "[wire][codec][version]")
{
  FrameDecoder decoder;
  decoder.Append(EncodeRawFrame({ 0, 2, 3, 1, 0 }, ""));
  const Result<std::optional<Message>, WireError> message = decoder.Next();
  CHECK_TRUE(WireErrorKind::MajorVersionMismatch == message.error().kind);
  CHECK_EQUAL(std::string("peer speaks protocol version 2.3, this daemon speaks 1.0"),
              message.error().message);
}

// Guards against buffering as much as a peer announces, and against sending frames that no peer
// would accept.
MASTICSTEP_TEST("frames above 256 KiB are refused on both sides", "[wire][codec][bounds]")
{
  ContentFrame content;
  content.bytes.assign(kMaximumFrameSize, 'x');
  CHECK_TRUE(WireErrorKind::TooLarge == EncodeFrame(content).error().kind);
  std::string header = EncodeRawFrame({ 0, kMajorVersion, kMinorVersion, 1, 0 }, "");
  header[2] = 4; // body length 256 KiB; rejected before any of the body has arrived
  CHECK_TRUE(WireErrorKind::TooLarge == DecodeErrorOf(header));
  content.bytes.assign(200U * 1024U, 'x');
  CHECK_TRUE(EncodeFrame(content).has_value());
}

// Guards against accepting corrupted frames: every single-bit error must be detected.
MASTICSTEP_TEST("a single-bit error anywhere in a frame is detected", "[wire][codec][failure]")
{
  for (const Message& sample : Samples()) {
    const std::string frame = *EncodeFrame(sample);
    for (std::size_t bit = 0; bit < frame.size() * 8; ++bit) {
      std::string damaged = frame;
      damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
      FrameDecoder decoder;
      decoder.Append(damaged);
      const Result<std::optional<Message>, WireError> read = decoder.Next();
      CHECK_TRUE(!read.has_value() || !read->has_value());
    }
  }
}

// Guards against out-of-bounds reads in a body that has a correct checksum but a malicious
// structure. The fuzz target fuzz/wire.cpp tests the same without a limit on the number of
// inputs.
MASTICSTEP_TEST("random and damaged bodies with correct checksums are read safely", "[wire][fuzz]")
{
  Random random(20261204);
  const std::vector<Message> samples = Samples();
  std::size_t refused = 0;
  for (int i = 0; i < 20000; ++i) {
    const std::size_t index = random.Below(samples.size());
    std::string body = EncodeFrame(samples[index])->substr(kHeaderSize);
    for (std::uint64_t n = 1 + random.Below(4); n > 0; --n) {
      body[random.Below(body.size())] = static_cast<char>(random.Next());
    }
    body.resize(body.size() - random.Below(4));
    const std::uint16_t type = static_cast<std::uint16_t>(1 + random.Below(4));
    FrameDecoder decoder;
    decoder.Append(EncodeRawFrame({ 0, kMajorVersion, kMinorVersion, type, 0 }, body));
    const Result<std::optional<Message>, WireError> read = decoder.Next();
    refused += read.has_value() ? 0U : 1U;
    if (read.has_value() && read->has_value()) {
      CHECK_TRUE(EncodeFrame(**read).has_value());
    }
  }
  CHECK_TRUE(refused > 0);
}
