#pragma once

#include "masticstep/net/HttpClientConnection.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace masticstep::net {

struct PoolLimits
{
  std::size_t idlePerAddress = 64;
  // Shorter than the usual idle time of servers (60 s), so that the server rarely closes first.
  Duration maximumIdle = Seconds(20);

  bool operator==(const PoolLimits&) const = default;
};

// Idle connections by address. A connection returns to the pool only after its answer was read in
// full; one with an abandoned or unfinished answer is closed, so that an answer can never reach the
// wrong request.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
  // Connection that goes back to the pool, or is closed, on destruction.
  class Lease
  {
  public:
    Lease(std::shared_ptr<ConnectionPool> aPool, HttpClientConnection aConnection, bool aIsFresh);
    ~Lease();
    Lease(Lease&&) noexcept = default;
    Lease& operator=(Lease&&) = delete;

    HttpClientConnection& operator*() { return mConnection; }
    HttpClientConnection* operator->() { return &mConnection; }
    // Returns true if no earlier request used the connection.
    bool IsFresh() const { return mIsFresh; }

  private:
    std::shared_ptr<ConnectionPool> mPool;
    HttpClientConnection mConnection;
    bool mIsFresh;
  };

  // All answers that are read over the pool's connections share the budget, if there is one.
  static std::shared_ptr<ConnectionPool> Create(PoolLimits aLimits = {},
                                                std::shared_ptr<ByteBudget> aBudget = nullptr);

  // Returns an idle connection or opens one, for use on the current executor. A connection that was
  // idle for longer than aMaximumIdle is not used.
  Task<Result<Lease, NetError>> Acquire(HostPort aAddress, Duration aConnectTimeout,
                                        Duration aMaximumIdle = Duration::max());
  // The same, without using one of the connections in aExcluded, which must outlive the task.
  Task<Result<Lease, NetError>> AcquireOther(HostPort aAddress, Duration aConnectTimeout,
                                             Duration aMaximumIdle, const ConnectionIds& aExcluded);
  // Opens a connection. For use when others to this address may be silent.
  Task<Result<Lease, NetError>> AcquireFresh(HostPort aAddress, Duration aConnectTimeout);
  // Closes the idle connections to an address.
  void Forget(const HostPort& aAddress);
  // Closes all idle connections and keeps none from now on. Must be called before the event loop of
  // the connections is destroyed.
  void Close();
  std::size_t IdleCount(const HostPort& aAddress) const;

private:
  struct Idle
  {
    HttpClientConnection connection;
    Time since;
  };

  ConnectionPool(PoolLimits aLimits, std::shared_ptr<ByteBudget> aBudget);
  void Return(HttpClientConnection aConnection);
  // Takes the connections out that have been idle for too long. The mutex must be held.
  std::vector<Idle> TakeExpired(Time aNow);
  std::unique_ptr<HttpClientConnection> TakeIdle(const HostPort& aAddress, Duration aMaximumIdle,
                                                 const ConnectionIds& aExcluded);

  const PoolLimits mLimits;
  const std::shared_ptr<ByteBudget> mBudget;
  mutable std::mutex mMutex;
  std::map<HostPort, std::vector<Idle>> mIdle;
  Time mNextSweep;
  bool mIsClosed = false;
};

} // namespace masticstep::net
