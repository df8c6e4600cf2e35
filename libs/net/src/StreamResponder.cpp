#include "StreamResponder.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::net {

namespace {

// The slow-reader bound applies to each piece, so that a caller on a slow link may take a long
// answer as long as it makes progress.
constexpr std::size_t kPieceSize = 65536;

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

Task<Result<void, NetError>> StreamResponder::Send(HttpResponse aResponse)
{
  mHasStarted = true;
  mCloses = mOptions.closes();
  const HttpResponseHead head{ aResponse.status, std::move(aResponse.headers) };
  std::string text = ResponseHeadText(head, BodyFraming::Length, aResponse.body.size(), mCloses);
  if (!mOptions.isHeadRequest) {
    text += aResponse.body;
  }
  const Result<void, NetError> done = co_await Write(text);
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
  if (mFraming == BodyFraming::Chunked) {
    AppendChunk(mPending, aBytes);
  } else {
    mPending += aBytes;
  }
  const Result<void, NetError> done = co_await Write(mPending);
  mPending.clear();
  co_return done;
}

Task<Result<void, NetError>> StreamResponder::EndStream()
{
  if (mFraming == BodyFraming::Chunked) {
    mPending += "0\r\n\r\n";
  }
  const Result<void, NetError> done = co_await Write(mPending);
  mPending.clear();
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
