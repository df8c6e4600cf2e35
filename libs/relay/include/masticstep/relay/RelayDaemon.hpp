#pragma once

#include "masticstep/dispatch/RetryBudget.hpp"
#include "masticstep/net/HttpServer.hpp"
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

// What one daemon needs to know at its start.
struct RelaySettings
{
  HostName host;
  dispatch::Place place;
  net::HostPort callers;   // address for requests
  net::HostPort readiness; // address that the balancer asks
  std::string readinessPath;
  std::optional<net::HostPort> metrics;
  Duration grace = Seconds(8); // from the stop signal to the end of the process
  dispatch::RetryBounds retries;
};

// One daemon on an entry host: listens for callers, follows the platform, and stops without cutting
// requests.
class RelayDaemon
{
public:
  // Makes a feed on the daemon's event loop.
  using FeedFactory = std::function<std::shared_ptr<PlatformFeed>(const net::Executor&)>;

  static Result<std::unique_ptr<RelayDaemon>, net::NetError> Create(
    RelaySettings aSettings, std::shared_ptr<const Dialect> aDialect, const FeedFactory& aFeed);
  ~RelayDaemon();
  RelayDaemon(const RelayDaemon&) = delete;
  RelayDaemon& operator=(const RelayDaemon&) = delete;

  // Serves until a stop signal and the end of its shutdown.
  void Run();
  // Begins the shutdown.
  void Drain();
  // Called when the settings may have changed: on SIGHUP, and from time to time.
  void OnReload(std::function<void()> aReload);
  void SetFeed(const FeedFactory& aFeed);
  void SetRetryBounds(dispatch::RetryBounds aBounds);

  std::uint16_t CallerPort() const { return mCallers->Port(); }
  std::uint16_t ReadinessPort() const { return mReadiness->Port(); }

private:
  RelayDaemon(RelaySettings aSettings, std::shared_ptr<const Dialect> aDialect);
  Result<void, net::NetError> Start(const FeedFactory& aFeed);
  void StartLoops();
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
  std::unique_ptr<net::HttpServer> mCallers;
  std::unique_ptr<net::HttpServer> mReadiness;
  std::unique_ptr<net::HttpServer> mMetrics;
  std::function<void()> mReload;
  bool mIsDraining = false;
};

} // namespace masticstep::relay
