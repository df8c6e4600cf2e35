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

// The daemon of one host: its servers, worker pool and shutdown.
class Daemon
{
public:
  static Result<std::unique_ptr<Daemon>, net::NetError> Create(const Settings& aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Returns when a graceful shutdown has finished.
  void Wait();
  // Begins a graceful shutdown; later calls do nothing.
  void Drain();

  std::uint16_t CallerPort() const { return mCallers->Port(); }
  std::uint16_t AdminPort() const { return mAdmin->Port(); }

private:
  explicit Daemon(const Settings& aSettings);
  Result<void, net::NetError> Start();
  void StartOrders();
  Result<void, net::NetError> StartPeering();
  void StartLoops();
  net::Task<void> Shutdown();

  std::shared_ptr<GatewayParts> mParts;
  std::promise<void> mStopped;
  net::WorkerPool mWorkers;
  boost::asio::signal_set mSignals;
  std::unique_ptr<net::HttpServer> mCallers;
  std::unique_ptr<net::HttpServer> mAdmin;
  std::shared_ptr<platform_client::HttpObjectStore> mStore;
  std::shared_ptr<ConfigurationFollower> mFollower;
  std::shared_ptr<HostListFollower> mHosts;
  std::shared_ptr<RoleControl> mRoles;
};

} // namespace masticstep::gateway
