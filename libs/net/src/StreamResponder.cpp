#include "StreamResponder.hpp"

#include <algorithm>
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

} // namespace

StreamResponder::StreamResponder(ByteStream& aStream, Options aOptions)
  : mStream(aStream)
  , mOptions(std::move(aOptions))
{
}

Task<Result<void, NetError>> StreamResponder::Write(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const std::string_view piece = aBytes.substr(0, kPieceSize);
    const Result<void, NetError> done =
      co_await mStream.WriteAll(piece, mOptions.slowReaderTimeout);
    if (!done) {
      SetGone();
      co_return done;
    }
    aBytes.remove_prefix(piece.size());
  }
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
  mCloses = mOptions.closes();
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
  mCloses = mOptions.closes() || mOptions.isVersion10;
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

void StreamResponder::SetGone()
{
  mIsGone = true;
  if (mOnGone) {
    std::exchange(mOnGone, nullptr)();
  }
}

} // namespace masticstep::net
