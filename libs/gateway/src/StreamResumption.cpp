#include "StreamResumption.hpp"

#include "masticstep/net/Clock.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace masticstep::gateway {

namespace {

constexpr Duration kConnectTimeout = Milliseconds(500);
constexpr Duration kResponseTimeout = Seconds(2);

} // namespace

struct StreamResumption::State
{
  std::shared_ptr<net::ConnectionPool> pool;
  net::HostPort engine;
  net::HttpRequest request;
  std::function<void()> onDone; // empty once the attempt is abandoned
  std::optional<net::ConnectionPool::Lease> lease;
  std::optional<StreamFailure> failure;
};

StreamResumption::StreamResumption(const net::Executor& aExecutor,
                                   std::shared_ptr<net::ConnectionPool> aPool,
                                   net::HostPort aEngine, net::HttpRequest aRequest,
                                   std::function<void()> aOnDone)
  : mState(std::make_shared<State>())
{
  mState->pool = std::move(aPool);
  mState->engine = std::move(aEngine);
  mState->request = std::move(aRequest);
  mState->onDone = std::move(aOnDone);
  boost::asio::co_spawn(aExecutor, Run(mState), boost::asio::detached);
}

StreamResumption::~StreamResumption()
{
  mState->onDone = nullptr;
  if (mState->lease) {
    (*mState->lease)->Close();
  }
}

net::Task<void> StreamResumption::Run(std::shared_ptr<State> aState)
{
  aState->failure = co_await Open(aState);
  if (aState->onDone) {
    std::exchange(aState->onDone, nullptr)();
  }
}

net::Task<std::optional<StreamFailure>> StreamResumption::Open(std::shared_ptr<State> aState)
{
  // The pooled idle connections to a silent engine may be silent as well.
  aState->pool->Forget(aState->engine);
  Result<net::ConnectionPool::Lease, net::NetError> lease =
    co_await aState->pool->AcquireFresh(aState->engine, kConnectTimeout);
  if (!lease) {
    co_return StreamFailure{ StreamFailureKind::NotConnected, 0, net::ToString(lease.error()) };
  }
  aState->lease.emplace(std::move(*lease));
  if (!aState->onDone) {
    co_return StreamFailure{ StreamFailureKind::Broken, 0, "attempt was abandoned" };
  }
  net::HttpClientConnection& connection = **aState->lease;
  connection.PreventReuse();
  const Result<void, net::NetError> sent =
    co_await connection.Send(aState->request, net::Now() + kResponseTimeout);
  if (!sent) {
    co_return StreamFailure{ StreamFailureKind::Silent, 0, net::ToString(sent.error()) };
  }
  const Result<net::HttpResponseHead, net::NetError> head = co_await connection.ReadHead();
  if (!head) {
    co_return StreamFailure{ StreamFailureKind::Silent, 0, net::ToString(head.error()) };
  }
  if (head->status != 200) {
    co_return StreamFailure{ StreamFailureKind::Rejected, head->status, {} };
  }
  // The session ends a stream at its deadline.
  connection.SetDeadline(Time::max());
  co_return std::nullopt;
}

StreamResumption::Outcome StreamResumption::TakeOutcome()
{
  if (mState->failure) {
    return Failure(*mState->failure);
  }
  Outcome outcome(std::move(*mState->lease));
  mState->lease.reset();
  return outcome;
}

} // namespace masticstep::gateway
