#include "masticstep/net/ConnectionPool.hpp"

#include "masticstep/net/Clock.hpp"

#include <boost/asio/this_coro.hpp>

#include <iterator>
#include <utility>

namespace masticstep::net {

ConnectionPool::Lease::Lease(std::shared_ptr<ConnectionPool> aPool,
                             HttpClientConnection aConnection, bool aIsFresh)
  : mPool(std::move(aPool))
  , mConnection(std::move(aConnection))
  , mIsFresh(aIsFresh)
{
}

ConnectionPool::Lease::~Lease()
{
  if (mPool && mConnection.IsReusable()) {
    mPool->Return(std::move(mConnection));
  }
}

ConnectionPool::ConnectionPool(PoolLimits aLimits, std::shared_ptr<ByteBudget> aBudget)
  : mLimits(aLimits)
  , mBudget(std::move(aBudget))
{
}

std::shared_ptr<ConnectionPool> ConnectionPool::Create(PoolLimits aLimits,
                                                       std::shared_ptr<ByteBudget> aBudget)
{
  return std::shared_ptr<ConnectionPool>(new ConnectionPool(aLimits, std::move(aBudget)));
}

Task<Result<ConnectionPool::Lease, NetError>> ConnectionPool::Acquire(HostPort aAddress,
                                                                      Duration aConnectTimeout,
                                                                      Duration aMaximumIdle)
{
  const ConnectionIds none;
  co_return co_await AcquireOther(std::move(aAddress), aConnectTimeout, aMaximumIdle, none);
}

Task<Result<ConnectionPool::Lease, NetError>> ConnectionPool::AcquireOther(
  HostPort aAddress, Duration aConnectTimeout, Duration aMaximumIdle,
  const ConnectionIds& aExcluded)
{
  std::unique_ptr<HttpClientConnection> idle = TakeIdle(aAddress, aMaximumIdle, aExcluded);
  if (idle) {
    idle->Attach(co_await boost::asio::this_coro::executor);
    co_return Lease(shared_from_this(), std::move(*idle), false);
  }
  co_return co_await AcquireFresh(std::move(aAddress), aConnectTimeout);
}

Task<Result<ConnectionPool::Lease, NetError>> ConnectionPool::AcquireFresh(HostPort aAddress,
                                                                           Duration aConnectTimeout)
{
  Result<std::unique_ptr<ByteStream>, NetError> stream =
    co_await Connect(aAddress, aConnectTimeout);
  if (!stream) {
    co_return Failure(stream.error());
  }
  HttpClientConnection connection(std::move(*stream), std::move(aAddress), mBudget);
  co_return Lease(shared_from_this(), std::move(connection), true);
}

std::unique_ptr<HttpClientConnection> ConnectionPool::TakeIdle(const HostPort& aAddress,
                                                               Duration aMaximumIdle,
                                                               const ConnectionIds& aExcluded)
{
  std::vector<Idle> stale; // closed after the lock is released
  const Time now = Now();
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<Idle>& idle = mIdle[aAddress];
  // The latest used connection comes first.
  auto it = idle.end();
  while (it != idle.begin()) {
    --it;
    if (aExcluded.contains(it->connection.Id())) {
      continue;
    }
    Idle candidate = std::move(*it);
    it = idle.erase(it);
    const Duration longest =
      std::min({ mLimits.maximumIdle, aMaximumIdle, candidate.connection.MaximumIdle() });
    if (now - candidate.since <= longest && candidate.connection.IsReusable()) {
      return std::make_unique<HttpClientConnection>(std::move(candidate.connection));
    }
    stale.push_back(std::move(candidate));
  }
  return nullptr;
}

void ConnectionPool::Return(HttpClientConnection aConnection)
{
  const HostPort address = aConnection.Address();
  aConnection.Detach();
  const Time now = Now();
  std::vector<Idle> expired; // closed after the lock is released
  const std::lock_guard<std::mutex> lock(mMutex);
  expired = TakeExpired(now);
  std::vector<Idle>& idle = mIdle[address];
  if (!mIsClosed && idle.size() < mLimits.idlePerAddress) {
    idle.push_back({ std::move(aConnection), now });
  }
}

std::vector<ConnectionPool::Idle> ConnectionPool::TakeExpired(Time aNow)
{
  std::vector<Idle> expired;
  if (aNow < mNextSweep) {
    return expired;
  }
  mNextSweep = aNow + mLimits.maximumIdle / 2;
  const Time oldest = aNow - mLimits.maximumIdle;
  for (auto& [address, idle] : mIdle) {
    // The longest idle connections come first.
    auto it = idle.begin();
    while (it != idle.end() && it->since <= oldest) {
      ++it;
    }
    std::move(idle.begin(), it, std::back_inserter(expired));
    idle.erase(idle.begin(), it);
  }
  std::erase_if(mIdle, [](const auto& aEntry) { return aEntry.second.empty(); });
  return expired;
}

void ConnectionPool::Forget(const HostPort& aAddress)
{
  std::vector<Idle> dropped; // closed after the lock is released
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mIdle.find(aAddress);
  if (found != mIdle.end()) {
    dropped = std::move(found->second);
    mIdle.erase(found);
  }
}

void ConnectionPool::Close()
{
  std::map<HostPort, std::vector<Idle>> dropped; // closed after the lock is released
  const std::lock_guard<std::mutex> lock(mMutex);
  mIsClosed = true;
  dropped.swap(mIdle);
}

std::size_t ConnectionPool::IdleCount(const HostPort& aAddress) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mIdle.find(aAddress);
  return found == mIdle.end() ? 0 : found->second.size();
}

} // namespace masticstep::net
