#pragma once

#include "GatewayParts.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/net/HttpServer.hpp"
#include "masticstep/net/TlsContext.hpp"
#include "masticstep/net/WorkerPool.hpp"
#include "masticstep/platform_client/HttpObjectStore.hpp"

#include <boost/asio/signal_set.hpp>

#include <future>
#include <memory>

namespace masticstep::gateway {

class ConfigurationFollower;
class HostListFollower;
class RoleControl;

// Gateway daemon of one host: its HTTP servers, worker pool, background tasks and shutdown.
class Daemon
{
public:
  static Result<std::unique_ptr<Daemon>, net::NetError> Create(const Settings& aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Blocks until a graceful shutdown has finished.
  void Wait();
  // Starts a graceful shutdown; later calls have no effect.
  void Drain();

  std::uint16_t CallerPort() const { return mCallerServer->Port(); }
  std::uint16_t AdminPort() const { return mAdminServer->Port(); }

private:
  explicit Daemon(const Settings& aSettings);
  Result<void, net::NetError> Start();
  void StartOrders();
  Result<void, net::NetError> StartPeering();
  void StartTasks();
  net::Task<void> Shutdown();

  std::shared_ptr<GatewayParts> mParts;
  std::promise<void> mStopped;
  net::WorkerPool mWorkers;
  boost::asio::signal_set mSignals;
  std::unique_ptr<net::HttpServer> mCallerServer;
  std::unique_ptr<net::HttpServer> mAdminServer;
  std::shared_ptr<platform_client::HttpObjectStore> mStore;
  std::shared_ptr<ConfigurationFollower> mConfigurationFollower;
  std::shared_ptr<HostListFollower> mHostListFollower;
  std::shared_ptr<RoleControl> mRoleControl;
};

} // namespace masticstep::gateway
