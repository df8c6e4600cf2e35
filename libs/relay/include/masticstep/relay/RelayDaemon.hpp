#pragma once

#include "masticstep/control/EngineAuthority.hpp"
#include "masticstep/control/OrderCodec.hpp"
#include "masticstep/dispatch/RetryBudget.hpp"
#include "masticstep/dispatch/StagePlan.hpp"
#include "masticstep/net/HttpServer.hpp"
#include "masticstep/platform/ObjectStore.hpp"
#include "masticstep/relay/DutyCodec.hpp"
#include "masticstep/relay/DutySettings.hpp"
#include "masticstep/relay/PlatformFeed.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace masticstep::relay {

class PlatformWatcher;
class StageController;
class QuarantineExchange;
class StreamOriginExchange;
class DutyExchange;
class DutyRunner;
class FreshnessExchange;
class WorkReportChannel;

// Settings of one daemon at startup.
struct RelaySettings
{
  HostName host;
  dispatch::Locality place;
  net::HostPort callers;   // listen address for requests
  net::HostPort readiness; // listen address for readiness probes of the load balancer
  std::string readinessPath;
  std::optional<net::HostPort> metrics;
  net::HostPort reportAddress; // UDP address for work reports between the daemons of a data centre
  Duration grace = Seconds(8); // from the stop signal until the process must have exited
  Duration maximumSilence = Seconds(3); // see WatchOptions
  Duration watchPause = Seconds(1);     // see WatchOptions
  // Time after which the store drops the entry of a backend server that has fallen silent.
  Duration entryLifetime = Seconds(4);
  dispatch::RetryBounds retries;
  // Longest time for which keys are accepted by a configuration that may have been replaced; zero
  // if there is no limit.
  Duration withdrawalLimit{ 0 };
  DutySettings duties;
  hedging::HedgeOptions hedges;
  std::size_t memoryBytes = 0;     // that the process may take; 0: unknown
  std::size_t fileDescriptors = 0; // the same
  dispatch::StagePolicy stages;
  bool enginesCheckFencing = false;
  bool mayHavePredecessor = false; // see authority::LeaseOptions
  Duration holderPause{};          // minimum time between orders of successive holders
};

// A daemon's connections to the platform.
struct PlatformAccess
{
  std::shared_ptr<PlatformFeed> feed;
  std::shared_ptr<platform::ObjectStore> store; // for leases and for orders to engines
  std::shared_ptr<const control::OrderCodec> orders;
  std::shared_ptr<const DutyCodec> duties; // null if there are no duties
  // Operation and argument values of orders that change the stage of an engine.
  std::string stageChangeOperation;
  std::string prefillStage;
  std::string decodeStage;
};

// Relay process on an entry host: accepts requests, watches the platform and shuts down gracefully,
// without aborting running requests.
class RelayDaemon
{
public:
  // Creates the platform access on the daemon's event loop.
  using AccessFactory = std::function<PlatformAccess(const net::Executor&)>;

  static Result<std::unique_ptr<RelayDaemon>, net::NetError> Create(
    RelaySettings aSettings, std::shared_ptr<const Dialect> aDialect,
    const AccessFactory& aCreateAccess);
  ~RelayDaemon();
  RelayDaemon(const RelayDaemon&) = delete;
  RelayDaemon& operator=(const RelayDaemon&) = delete;

  // Runs the event loop until the graceful shutdown that a stop signal starts has completed.
  void Run();
  // Starts the graceful shutdown.
  void Drain();
  // Sets the function that is called when the settings may have changed: on SIGHUP and
  // periodically.
  void OnReload(std::function<void()> aReload);
  // Switches to another feed, or to the same one at a new address.
  void SetFeed(std::shared_ptr<PlatformFeed> aFeed);
  void SetRetryBounds(dispatch::RetryBounds aBounds);
  // Changes the address and rate of the duties. Duties that the daemon did not start with stay off.
  void SetDutySettings(const DutySettings& aSettings);

  std::uint16_t CallerPort() const { return mCallerServer->Port(); }
  std::uint16_t ReadinessPort() const { return mReadinessServer->Port(); }

private:
  RelayDaemon(RelaySettings aSettings, std::shared_ptr<const Dialect> aDialect);
  Result<void, net::NetError> Start(const AccessFactory& aCreateAccess);
  void StartLoops();
  void StartStageController(PlatformAccess aAccess);
  void StartDuties(std::shared_ptr<platform::ObjectStore> aStore,
                   std::shared_ptr<control::EngineAuthority> aAuthority,
                   std::shared_ptr<const DutyCodec> aCodec);
  net::ServerLimits ToServerLimits(const dispatch::RequestLimits& aLimits) const;
  void ApplyLimits();
  // Counts and logs requests that find no room in memory.
  void OnIntakePressure(const net::IntakePressure& aPressure);
  bool IsReady() const;
  net::Task<void> WaitForSignals();
  net::Task<void> ReloadPeriodically();
  net::Task<void> Shutdown();
  // Waits until no request and no connection of a caller is left, or until aEnd.
  net::Task<void> WaitUntilIdle(Time aEnd);
  void LogShutdownEnd(Time aBegin) const;

  const RelaySettings mSettings;
  boost::asio::io_context mContext;
  boost::asio::signal_set mSignals;
  std::shared_ptr<RelayState> mState;
  std::shared_ptr<PlatformWatcher> mWatcher;
  std::shared_ptr<StageController> mStageController;
  std::shared_ptr<WorkReportChannel> mWorkReports; // null if the UDP port cannot be bound
  std::shared_ptr<QuarantineExchange> mQuarantineExchange;
  std::shared_ptr<StreamOriginExchange> mOriginExchange;
  std::shared_ptr<DutyExchange> mDutyExchange; // null without duties
  std::shared_ptr<DutyRunner> mDutyRunner;
  std::shared_ptr<FreshnessExchange> mFreshnessExchange; // null if the age has no limit
  std::unique_ptr<net::HttpServer> mCallerServer;
  std::unique_ptr<net::HttpServer> mReadinessServer;
  std::unique_ptr<net::HttpServer> mMetricsServer;
  std::function<void()> mReload;
  Time mNextPressureLog{};
  bool mIsDraining = false;
};

} // namespace masticstep::relay
