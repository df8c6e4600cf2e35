#pragma once

#include "ConfigurationHolder.hpp"
#include "DrainState.hpp"
#include "EngineSelector.hpp"
#include "RequestNames.hpp"
#include "RetryDecider.hpp"
#include "RunningRequests.hpp"
#include "masticstep/config/Settings.hpp"
#include "masticstep/net/ConnectionPool.hpp"
#include "masticstep/telemetry/Metrics.hpp"

#include <memory>

namespace masticstep::gateway {

// Shared parts of one daemon. Each part locks for itself; see LockOrder.hpp.
struct GatewayParts
{
  Settings settings;
  RequestNames names;
  std::shared_ptr<net::ConnectionPool> pool = net::ConnectionPool::Create();
  telemetry::Metrics metrics;
  ConfigurationHolder configuration;
  DrainState drain;
  RunningRequests running;
  RetryDecider retry;
  std::unique_ptr<EngineSelector> engines; // of model services
  std::unique_ptr<EngineSelector> servers; // of plain services

  GatewayParts(Settings aSettings, std::uint64_t aStartNonce);
};

// Returns the address of a backend server.
net::HostPort AddressOf(const HttpUrl& aUrl);

} // namespace masticstep::gateway
