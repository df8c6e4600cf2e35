#pragma once

#include "StreamFailure.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/net/ConnectionPool.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace masticstep::gateway {

// Attempt to continue a silent stream over a second connection, while the first one stays open.
// Must be used and destroyed on its executor; the destructor abandons the attempt.
class StreamResumption
{
public:
  using Outcome = Result<net::ConnectionPool::Lease, StreamFailure>;

  // Sends the request over a new connection. Calls aOnDone once the head of the response was read
  // or the attempt has failed.
  StreamResumption(const net::Executor& aExecutor, std::shared_ptr<net::ConnectionPool> aPool,
                   net::HostPort aEngine, net::HttpRequest aRequest, std::function<void()> aOnDone);
  ~StreamResumption();
  StreamResumption(const StreamResumption&) = delete;
  StreamResumption& operator=(const StreamResumption&) = delete;

  // Returns the connection, on which the body of the response follows. May be called once, when
  // done.
  Outcome TakeOutcome();

private:
  struct State;
  static net::Task<void> Run(std::shared_ptr<State> aState);
  static net::Task<std::optional<StreamFailure>> Open(std::shared_ptr<State> aState);

  std::shared_ptr<State> mState;
};

} // namespace masticstep::gateway
