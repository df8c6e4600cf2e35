#pragma once

#include "AdmissionController.hpp"
#include "ConfigurationHolder.hpp"
#include "DrainState.hpp"
#include "EngineSelector.hpp"
#include "OfferedWork.hpp"
#include "RequestNames.hpp"
#include "RetryDecider.hpp"
#include "RunningRequests.hpp"
#include "masticstep/config/Settings.hpp"
#include "masticstep/net/ConnectionPool.hpp"
#include "masticstep/order_service/OrderService.hpp"
#include "masticstep/peering/Peering.hpp"
#include "masticstep/telemetry/Metrics.hpp"

#include <memory>

namespace masticstep::gateway {

// Components shared by all requests of one daemon. Each does its own locking; see LockOrder.hpp.
struct GatewayParts
{
  Settings settings;
  RequestNames names;
  std::shared_ptr<net::ConnectionPool> pool = net::ConnectionPool::Create();
  std::shared_ptr<telemetry::Metrics> metrics = std::make_shared<telemetry::Metrics>();
  ConfigurationHolder configuration;
  DrainState drain;
  RunningRequests running;
  AdmissionController admission; // to the engines of model services
  RetryDecider retry;
  OfferedWork work;                                    // by model service, for role control
  std::unique_ptr<EngineSelector> engines;             // of model services
  std::unique_ptr<EngineSelector> servers;             // of plain services
  std::shared_ptr<Peering> peering;                    // null until the daemon has started
  std::shared_ptr<order_service::OrderService> orders; // null until the daemon has started

  GatewayParts(Settings aSettings, std::uint64_t aStartNonce);

  // Puts a configuration in force if its generation is newer, and returns whether it did. Running
  // requests keep the configuration that they started with.
  bool Apply(ConfigurationPointer aConfiguration, Time aNow);
};

// Returns the address of a backend server.
net::HostPort AddressOf(const HttpUrl& aUrl);

} // namespace masticstep::gateway
