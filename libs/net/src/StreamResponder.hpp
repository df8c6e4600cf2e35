#pragma once

#include "HttpText.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/net/ByteStream.hpp"
#include "masticstep/net/HttpHandler.hpp"

#include <functional>
#include <memory>
#include <string>

namespace masticstep::net {

// Responder that writes to the stream of a connection.
class StreamResponder : public HttpResponder
{
public:
  struct Options
  {
    Duration slowReaderTimeout;
    bool isVersion10 = false;
    bool isHeadRequest = false;
    // Asked when the head is written, since a drain may begin while the request runs.
    std::function<bool()> closes;
  };

  StreamResponder(ByteStream& aStream, Options aOptions);

  Task<Result<void, NetError>> Send(HttpResponse aResponse) override;
  void StartStream(HttpResponseHead aHead) override;
  Task<Result<void, NetError>> WriteChunk(std::string_view aBytes) override;
  Task<Result<void, NetError>> EndStream() override;
  bool HasStarted() const override { return mHasStarted; }
  bool IsGone() const override { return mIsGone; }
  void OnGone(std::function<void()> aCallback) override { mOnGone = std::move(aCallback); }

  void SetGone();
  // Has the answer say that the connection closes, and the connection close after it.
  void RequireClose() { mMustClose = true; }
  // Returns whether any byte of the answer was written, beside those of Probe.
  bool HasWritten() const { return mHasWritten; }
  // Writes a few bytes with which every further answer goes on, since only a write tells a caller
  // that left from one that sends no more: the first sets off a reset, which a later one finds.
  void Probe();
  // Returns whether the whole answer was written.
  bool HasEnded() const { return mHasEnded; }
  // Returns whether only the end of the connection marks the end of the answer.
  bool EndsWithConnection() const { return mFraming == BodyFraming::UntilClose; }
  // Returns true if the answer is complete and another request may follow.
  bool MayContinue() const { return mHasEnded && !mCloses && !mIsGone; }

private:
  Task<Result<void, NetError>> Write(std::string_view aBytes);
  // Returns the bytes of the next probe, none if there is none to send.
  std::string_view NextProbe() const;
  // Writes what is pending and then the bytes and their end.
  Task<Result<void, NetError>> WritePending(std::string_view aBytes, std::string_view aEnd);

  ByteStream& mStream;
  Options mOptions;
  std::function<void()> mOnGone;
  std::string mPending; // head that waits for the first chunk; then scratch space for small chunks
  BodyFraming mFraming = BodyFraming::Length;
  std::size_t mStatusLineProbe = 0; // bytes of the status line that Probe wrote
  std::size_t mChunkProbe = 0;      // zeros before the size of the next chunk that Probe wrote
  bool mIsWriting = false;
  bool mHasWritten = false;
  bool mMustClose = false;
  bool mHasStarted = false;
  bool mHasEnded = false;
  bool mCloses = false;
  bool mIsGone = false;
};

} // namespace masticstep::net
