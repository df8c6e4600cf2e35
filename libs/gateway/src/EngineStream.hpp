#pragma once

#include "SseParser.hpp"
#include "StreamFailure.hpp"
#include "TokenEvent.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/net/ConnectionPool.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace masticstep::gateway {

// Token stream of one request on one engine. Every event is checked against the request id and the
// expected offset. After a failure, Resume continues the stream over a new connection.
class EngineStream
{
public:
  EngineStream(std::shared_ptr<net::ConnectionPool> aPool, net::HostPort aEngine,
               std::string aRequestId);

  // Sends the request and reads the head of the response.
  net::Task<Result<void, StreamFailure>> Start(std::string aPath, std::string aBody);
  // Requests the stream from aOffset on, over a new connection.
  net::Task<Result<void, StreamFailure>> Resume(std::uint32_t aOffset);
  // Returns the next token, or nullopt at the end of the stream.
  net::Task<Result<std::optional<TokenEvent>, StreamFailure>> Next();
  // Reads the rest of the response so that the connection can be reused.
  net::Task<void> Finish();
  // Closes the connection; Next then fails with Broken.
  void Disconnect();
  // Returns true if bytes of the request may have reached the engine.
  bool MayHaveArrived() const { return mMayHaveArrived; }

private:
  net::Task<Result<void, StreamFailure>> SendRequest(net::HttpRequest aRequest);
  Result<std::optional<TokenEvent>, StreamFailure> ParseEvent(const std::string& aData);
  StreamFailure ToStreamFailure(const net::NetError& aError) const;

  std::shared_ptr<net::ConnectionPool> mPool;
  net::HostPort mEngine;
  std::string mRequestId;
  std::optional<net::ConnectionPool::Lease> mLease;
  SseParser mParser;
  std::uint32_t mNextOffset = 0;
  bool mIsDone = false;
  bool mMayHaveArrived = false;
};

} // namespace masticstep::gateway
