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
  // Returns true if the answer is complete and another request may follow.
  bool MayContinue() const { return mHasEnded && !mCloses && !mIsGone; }

private:
  Task<Result<void, NetError>> Write(std::string_view aBytes);
  // Writes what is pending and then the bytes and their end.
  Task<Result<void, NetError>> WritePending(std::string_view aBytes, std::string_view aEnd);

  ByteStream& mStream;
  Options mOptions;
  std::function<void()> mOnGone;
  std::string mPending; // head that waits for the first chunk; then scratch space for small chunks
  BodyFraming mFraming = BodyFraming::Length;
  bool mHasStarted = false;
  bool mHasEnded = false;
  bool mCloses = false;
  bool mIsGone = false;
};

} // namespace masticstep::net
