#pragma once

#include "masticstep/control/OrderCodec.hpp"
#include "masticstep/dispatch/RetryBudget.hpp"
#include "masticstep/dispatch/StagePlan.hpp"
#include "masticstep/net/HttpServer.hpp"
#include "masticstep/platform/ObjectStore.hpp"
#include "masticstep/relay/PlatformFeed.hpp"
#include "masticstep/relay/RelayParts.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace masticstep::relay {

class Followers;
class StageControl;
class WorkSharing;

// What one daemon needs to know at its start.
struct RelaySettings
{
  HostName host;
  dispatch::Place place;
  net::HostPort callers;   // address for requests
  net::HostPort readiness; // address that the balancer asks
  std::string readinessPath;
  std::optional<net::HostPort> metrics;
  net::HostPort sharing;         // address for datagrams between the daemons of the data centre
  Duration grace = Seconds(8);   // from the stop signal to the end of the process
  Duration contact = Seconds(3); // see FollowOptions
  Duration pace = Seconds(1);
  dispatch::RetryBounds retries;
  dispatch::StagePolicy stages;
  bool enginesCheckFencing = false;
};

// How a daemon reaches the platform.
struct PlatformAccess
{
  std::shared_ptr<PlatformFeed> feed;
  std::shared_ptr<platform::ObjectStore> store; // for leases and orders to engines
  std::shared_ptr<const control::OrderCodec> orders;
  std::string changeOperation; // words of orders that change the stage of an engine
  std::string readingStage;
  std::string answeringStage;
};

// One daemon on an entry host: listens for callers, follows the platform, and stops without cutting
// requests.
class RelayDaemon
{
public:
  // Makes the access on the daemon's event loop.
  using AccessFactory = std::function<PlatformAccess(const net::Executor&)>;

  static Result<std::unique_ptr<RelayDaemon>, net::NetError> Create(
    RelaySettings aSettings, std::shared_ptr<const Dialect> aDialect, const AccessFactory& aAccess);
  ~RelayDaemon();
  RelayDaemon(const RelayDaemon&) = delete;
  RelayDaemon& operator=(const RelayDaemon&) = delete;

  // Serves until a stop signal and the end of its shutdown.
  void Run();
  // Begins the shutdown.
  void Drain();
  // Called when the settings may have changed: on SIGHUP, and from time to time.
  void OnReload(std::function<void()> aReload);
  // Follows the platform by another feed, or by the same one at a new address.
  void SetFeed(std::shared_ptr<PlatformFeed> aFeed);
  void SetRetryBounds(dispatch::RetryBounds aBounds);

  std::uint16_t CallerPort() const { return mCallers->Port(); }
  std::uint16_t ReadinessPort() const { return mReadiness->Port(); }

private:
  RelayDaemon(RelaySettings aSettings, std::shared_ptr<const Dialect> aDialect);
  Result<void, net::NetError> Start(const AccessFactory& aAccess);
  void StartLoops();
  void StartStages(PlatformAccess aAccess);
  void ApplyLimits();
  bool IsReady() const;
  net::Task<void> WaitForSignals();
  net::Task<void> ReloadNowAndThen();
  net::Task<void> Shutdown();

  const RelaySettings mSettings;
  boost::asio::io_context mContext;
  boost::asio::signal_set mSignals;
  std::shared_ptr<RelayParts> mParts;
  std::shared_ptr<Followers> mFollowers;
  std::shared_ptr<StageControl> mStages;
  std::shared_ptr<WorkSharing> mSharing; // null if its port cannot be used
  std::unique_ptr<net::HttpServer> mCallers;
  std::unique_ptr<net::HttpServer> mReadiness;
  std::unique_ptr<net::HttpServer> mMetrics;
  std::function<void()> mReload;
  bool mIsDraining = false;
};

} // namespace masticstep::relay
