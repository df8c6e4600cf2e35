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

// Stream of one request on one engine. The answers are matched by request id and offset. After a
// failure, Resume continues the stream over a new connection.
class EngineStream
{
public:
  EngineStream(std::shared_ptr<net::ConnectionPool> aPool, net::HostPort aEngine,
               std::string aRequestId);

  // Sends the request.
  net::Task<Result<void, StreamFailure>> Start(std::string aPath, std::string aBody);
  // Asks for the stream from aOffset on.
  net::Task<Result<void, StreamFailure>> Resume(std::uint32_t aOffset);
  // Returns the next token, or nothing at the end of the stream.
  net::Task<Result<std::optional<TokenEvent>, StreamFailure>> Next();
  // Reads what follows the last event, so that the connection can be used again.
  net::Task<void> Finish();
  // Drops the connection; Next then fails with Broken.
  void Drop();
  // Returns true if bytes of the request may have reached the engine.
  bool MayHaveArrived() const { return mMayHaveArrived; }

private:
  net::Task<Result<void, StreamFailure>> Exchange(net::HttpRequest aRequest);
  Result<std::optional<TokenEvent>, StreamFailure> Check(const std::string& aData);
  StreamFailure FailureOf(const net::NetError& aError) const;

  std::shared_ptr<net::ConnectionPool> mPool;
  net::HostPort mEngine;
  std::string mRequestId;
  std::optional<net::ConnectionPool::Lease> mLease;
  SseParser mParser;
  std::uint32_t mExpected = 0; // offset of the next token
  bool mIsDone = false;
  bool mMayHaveArrived = false;
};

} // namespace masticstep::gateway
