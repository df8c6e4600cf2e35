#include "StreamResponder.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace masticstep::net {

namespace {

// The slow-reader bound applies to each piece, so that a caller on a slow link may take a long
// answer as long as it makes progress.
constexpr std::size_t kPieceSize = 65536;
// Bytes up to this size are copied behind the head or the chunk header, to be sent with it. Larger
// ones are written from where they are, since many callers may be slow at the same time.
constexpr std::size_t kCopiedBytes = 4096;
constexpr std::string_view kNothing;
constexpr std::string_view kChunkEnd = "\r\n";

// A probe ends at each of these sizes of the bytes that begin the status line of every answer.
constexpr std::string_view kStatusLineStart = "HTTP/1.1 ";
constexpr std::array<std::size_t, 3> kProbeEnds{ 5, 8, kStatusLineStart.size() };
// The size of a chunk may have leading zeros. One for each chunk and probe keeps it short.
constexpr std::string_view kLeadingZero = "0";
constexpr std::size_t kMaximumLeadingZeros = 3;

} // namespace

StreamResponder::StreamResponder(ByteStream& aStream, Options aOptions)
  : mStream(aStream)
  , mOptions(std::move(aOptions))
{
}

Task<Result<void, NetError>> StreamResponder::Write(std::string_view aBytes)
{
  if (!mHasWritten) {
    mHasWritten = true;
    aBytes.remove_prefix(mStatusLineProbe);
  }
  mChunkProbe = 0;
  mIsWriting = true;
  while (!aBytes.empty()) {
    const std::string_view piece = aBytes.substr(0, kPieceSize);
    const Result<void, NetError> done =
      co_await mStream.WriteAll(piece, mOptions.slowReaderTimeout);
    if (!done) {
      mIsWriting = false;
      SetGone();
      co_return done;
    }
    aBytes.remove_prefix(piece.size());
  }
  mIsWriting = false;
  co_return Result<void, NetError>{};
}

Task<Result<void, NetError>> StreamResponder::WritePending(std::string_view aBytes,
                                                           std::string_view aEnd)
{
  if (aBytes.size() <= kCopiedBytes) {
    mPending += aBytes;
    aBytes = {};
    mPending += aEnd;
    aEnd = {};
  }
  Result<void, NetError> done = co_await Write(mPending);
  mPending.clear();
  if (mPending.capacity() > 2 * kCopiedBytes) {
    mPending.shrink_to_fit();
  }
  if (done) {
    done = co_await Write(aBytes);
  }
  if (done) {
    done = co_await Write(aEnd);
  }
  co_return done;
}

Task<Result<void, NetError>> StreamResponder::Send(HttpResponse aResponse)
{
  mHasStarted = true;
  mCloses = mMustClose || mOptions.closes();
  const HttpResponseHead head{ aResponse.status, std::move(aResponse.headers) };
  mPending = ResponseHeadText(head, BodyFraming::Length, aResponse.body.size(), mCloses);
  const std::string_view body = mOptions.isHeadRequest ? kNothing : aResponse.body;
  const Result<void, NetError> done = co_await WritePending(body, kNothing);
  mHasEnded = done.has_value();
  co_return done;
}

void StreamResponder::StartStream(HttpResponseHead aHead)
{
  mHasStarted = true;
  mCloses = mMustClose || mOptions.closes() || mOptions.isVersion10;
  mFraming = mOptions.isVersion10 ? BodyFraming::UntilClose : BodyFraming::Chunked;
  mPending = ResponseHeadText(aHead, mFraming, 0, mCloses);
}

Task<Result<void, NetError>> StreamResponder::WriteChunk(std::string_view aBytes)
{
  if (aBytes.empty()) {
    co_return Result<void, NetError>{};
  }
  if (mFraming != BodyFraming::Chunked) {
    co_return co_await WritePending(aBytes, kNothing);
  }
  AppendChunkHeader(mPending, aBytes.size());
  co_return co_await WritePending(aBytes, kChunkEnd);
}

Task<Result<void, NetError>> StreamResponder::EndStream()
{
  if (mFraming == BodyFraming::Chunked) {
    mPending += "0\r\n\r\n";
  }
  const Result<void, NetError> done = co_await WritePending(kNothing, kNothing);
  mHasEnded = done.has_value();
  co_return done;
}

std::string_view StreamResponder::NextProbe() const
{
  if (!mHasWritten) {
    const std::size_t* const end =
      std::upper_bound(kProbeEnds.begin(), kProbeEnds.end(), mStatusLineProbe);
    return end == kProbeEnds.end()
             ? std::string_view()
             : kStatusLineStart.substr(mStatusLineProbe, *end - mStatusLineProbe);
  }
  const bool mayAddZero = mFraming == BodyFraming::Chunked && mChunkProbe < kMaximumLeadingZeros;
  return mayAddZero ? kLeadingZero : std::string_view();
}

void StreamResponder::Probe()
{
  // A write that goes on is a probe itself.
  if (mIsGone || mHasEnded || mIsWriting) {
    return;
  }
  const std::string_view bytes = NextProbe();
  const Result<std::size_t, NetError> n =
    bytes.empty() ? Result<std::size_t, NetError>(0) : mStream.WriteNow(bytes);
  if (!n || mStream.IsBroken()) {
    SetGone();
    return;
  }
  (mHasWritten ? mChunkProbe : mStatusLineProbe) += *n;
}

void StreamResponder::SetGone()
{
  mIsGone = true;
  if (mOnGone) {
    std::exchange(mOnGone, nullptr)();
  }
}

} // namespace masticstep::net
