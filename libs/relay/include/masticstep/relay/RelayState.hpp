#pragma once

#include "masticstep/accounts/ConfigurationFreshness.hpp"
#include "masticstep/dispatch/BackendDirectory.hpp"
#include "masticstep/dispatch/Dispatcher.hpp"
#include "masticstep/dispatch/DrainSchedule.hpp"
#include "masticstep/dispatch/RetryBudget.hpp"
#include "masticstep/dispatch/RouteTable.hpp"
#include "masticstep/dispatch/StageDemand.hpp"
#include "masticstep/dispatch/StreamOrigins.hpp"
#include "masticstep/duties/StoreReach.hpp"
#include "masticstep/hedging/HedgePolicy.hpp"
#include "masticstep/net/ConnectionPool.hpp"
#include "masticstep/quarantine/PromptQuarantine.hpp"
#include "masticstep/relay/Dialect.hpp"
#include "masticstep/relay/DutyState.hpp"
#include "masticstep/relay/StoreSyncState.hpp"
#include "masticstep/telemetry/Metrics.hpp"

#include <memory>
#include <optional>
#include <unordered_set>

namespace masticstep::relay {

class AsyncPromptQueue;
class CrashDetector;
class Session;
class StreamOriginExchange;

// State that the requests of one daemon share. Not thread-safe: the daemon runs on a single thread,
// since an entry host gives it less than one core.
struct RelayState
{
  // aMemoryBytes is what the process may take; 0 if unknown.
  RelayState(net::Executor aExecutor, std::shared_ptr<const Dialect> aDialect,
             dispatch::Locality aPlace, std::uint64_t aSeed, std::size_t aMemoryBytes = 0);
  ~RelayState();

  // Passes the backend servers of the directory on. Must be called after each change of it.
  void ApplyDirectory(Time aNow);

  const net::Executor executor;
  const std::shared_ptr<const Dialect> dialect;
  telemetry::Metrics metrics;
  // Of all answers of backend servers that are being read or forwarded.
  const std::shared_ptr<net::ByteBudget> answerBytes;
  const std::shared_ptr<net::ConnectionPool> pool;
  std::shared_ptr<const dispatch::RouteTable> table; // null until a configuration has been read
  accounts::ConfigurationFreshness freshness;        // of table
  dispatch::BackendDirectory directory;
  dispatch::Dispatcher dispatcher;
  const std::unique_ptr<AsyncPromptQueue> promptQueue;
  quarantine::PromptQuarantine quarantine;
  const std::shared_ptr<CrashDetector> crashDetector;
  dispatch::RetryBudget retryBudget;
  dispatch::StageDemand stageDemand;
  dispatch::StreamOrigins streamOrigins;
  DutyState duties;
  hedging::HedgePolicy hedges;
  std::weak_ptr<StreamOriginExchange> streamOriginExchange; // none without a store
  StoreSyncState storeSync;
  duties::StoreReach storeReach;
  std::uint64_t nextRequestId = 1;
  std::optional<dispatch::DrainSchedule> drain; // set once the planned stop has begun
  std::unordered_set<Session*> sessions;        // of the requests that are not yet completed
};

} // namespace masticstep::relay
