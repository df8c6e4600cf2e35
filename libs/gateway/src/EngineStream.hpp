#pragma once

#include "SseParser.hpp"
#include "StreamFailure.hpp"
#include "StreamResumption.hpp"
#include "TokenEvent.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/net/Alarm.hpp"
#include "masticstep/net/ConnectionPool.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace masticstep::gateway {

// Token stream of one request on one engine. Every event is checked against the request id and the
// expected offset. After a failure, Resume continues the stream over a new connection. An engine
// may fall silent and go on, so silence by itself is no failure.
class EngineStream
{
public:
  EngineStream(std::shared_ptr<net::ConnectionPool> aPool, net::HostPort aEngine,
               std::string aRequestId);

  // Sets the function to call each time that the engine has sent nothing for a while, and when an
  // attempt of ResumeAside has failed. It may call ResumeAside or Abandon.
  void OnSilent(std::function<void()> aCallback) { mOnSilent = std::move(aCallback); }
  // Sends the request over a new connection and reads the head of the response.
  net::Task<Result<void, StreamFailure>> Start(std::string aPath, std::string aBody);
  // Requests the stream from aOffset on, over a new connection.
  net::Task<Result<void, StreamFailure>> Resume(std::uint32_t aOffset);
  // Returns the next token, or nullopt at the end of the stream.
  net::Task<Result<std::optional<TokenEvent>, StreamFailure>> Next();
  // Requests the stream from aOffset on over a second connection. The stream goes on over the first
  // connection that has data.
  void ResumeAside(std::uint32_t aOffset);
  bool IsResumingAside() const { return mResumption.has_value(); }
  // Returns true if the engine refused to resume the stream.
  bool IsResumeRejected() const { return mIsResumeRejected; }
  // Closes the connections; the running call then fails with Silent.
  void Abandon();
  // Reads the rest of the response, so that the engine does not see the request cancelled.
  net::Task<void> Finish();
  // Closes the connection; Next then fails with Broken.
  void Disconnect();
  // Returns true if bytes of the request may have reached the engine.
  bool MayHaveArrived() const { return mMayHaveArrived; }

private:
  net::Task<Result<void, StreamFailure>> SendRequest(net::HttpRequest aRequest);
  // Runs aRead on the connection. Fails with Silent only after Abandon.
  template <class T>
  net::Task<Result<T, net::NetError>> AwaitEngine(net::Task<Result<T, net::NetError>> aRead);
  void StartSilenceAlarm();
  void OnResumptionDone();
  // Continues on the connection of a successful ResumeAside, if any.
  bool SwitchToResumed();
  net::HttpRequest ResumeRequest(std::uint32_t aOffset) const;
  Result<std::optional<TokenEvent>, StreamFailure> ParseEvent(const std::string& aData);
  StreamFailure ToStreamFailure(const net::NetError& aError) const;

  std::shared_ptr<net::ConnectionPool> mPool;
  net::HostPort mEngine;
  std::string mRequestId;
  std::optional<net::ConnectionPool::Lease> mLease;
  SseParser mParser;
  std::uint32_t mNextOffset = 0;
  net::Executor mExecutor;
  std::function<void()> mOnSilent;
  std::optional<net::Alarm> mSilenceAlarm;
  std::optional<StreamResumption> mResumption;
  std::optional<net::ConnectionPool::Lease> mResumed;
  bool mIsResumeRejected = false;
  bool mIsAbandoned = false;
  bool mIsDone = false;
  bool mMayHaveArrived = false;
};

} // namespace masticstep::gateway
