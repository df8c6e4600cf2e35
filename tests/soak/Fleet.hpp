#pragma once

#include "Daemon.hpp"
#include "Engine.hpp"
#include "Operator.hpp"
#include "Plan.hpp"

namespace masticstep::soak {

struct FleetOptions
{
  PlanOptions plan;
  std::size_t daemons = 4;
  std::size_t modelEngines = 6;
  std::size_t plainEngines = 3; // of each of the two plain services
  std::size_t callers = 16;
  std::string folder; // for settings, output and the plan
};

// An engine with its server and the proxy that all daemons reach it by.
struct EngineHost
{
  std::unique_ptr<Engine> engine;
  std::unique_ptr<standins::HttpServer> server;
  std::unique_ptr<standins::ProxyServer> link;
  bool isChanging = false; // crashed or leaving
};

// The whole system of one run: real daemons, and stand-ins for all that is around them.
class Fleet
{
public:
  static Result<std::unique_ptr<Fleet>, std::string> Create(FleetOptions aOptions);

  // Plays the plan and returns what broke a promise.
  Findings Run();
  const History& Seen() const { return mHistory; }

private:
  explicit Fleet(FleetOptions aOptions);
  std::optional<std::string> AddEngine(const std::string& aService, const std::string& aStage);
  std::optional<std::string> AddDaemon();
  std::optional<std::string> AddStore();
  Awaitable<void> Play();
  Awaitable<void> EndDay();
  Awaitable<void> AskReadiness();
  std::size_t ChooseDaemon(std::uint64_t aNumber) const;
  void Spawn(Awaitable<void> aTask);

  Awaitable<void> PlayFault(PlannedFault aFault);
  Awaitable<void> PlayDaemonFault(PlannedFault aFault);
  Awaitable<void> StopInTurn();
  Awaitable<void> PlayLinkFault(PlannedFault aFault);
  Awaitable<void> PlayReload(PlannedFault aFault);
  Awaitable<void> PlayStoreFault(PlannedFault aFault);
  Awaitable<void> PlayEngineFault(PlannedFault aFault);
  Awaitable<void> CrashEngine(EngineHost& aHost, Duration aSpan);
  Awaitable<void> EndAndRestart(EngineHost& aHost, Duration aSpan);
  Awaitable<void> RetireEngine(EngineHost& aHost, Duration aSpan);
  Awaitable<void> PlayOperatorFault(PlannedFault aFault);
  Daemon& DaemonOf(const PlannedFault& aFault)
  {
    return *mDaemons[aFault.choice % mDaemons.size()];
  }
  EngineHost& EngineOf(const PlannedFault& aFault)
  {
    return *mEngines[aFault.choice % mEngines.size()];
  }

  FleetOptions mOptions;
  Bounds mBounds;
  std::string mNetwork; // first two numbers of the daemons' addresses
  asio::io_context mContext;
  History mHistory;
  MetadataStore mStore;
  std::unique_ptr<standins::HttpServer> mStoreServer;
  EngineRoom mRoom;
  std::vector<std::unique_ptr<EngineHost>> mEngines;
  std::vector<std::unique_ptr<Daemon>> mDaemons;
  CallerRoom mCallerRoom;
  std::vector<std::unique_ptr<Caller>> mCallers;
  Operator mOperator;
  Time mBegin{};
};

} // namespace masticstep::soak
