#include "Fleet.hpp"

#include "Routes.hpp"
#include "common/TokenBucket.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <unistd.h>

#include <exception>
#include <fstream>
#include <utility>

namespace masticstep::soak {

using standins::HttpServer;
using standins::ProxyServer;

namespace {

const std::vector<std::string> kDataCentres = { "east", "west" };
constexpr std::uint64_t kStagePatterns = 3;
// Callers start this long after the daemons.
constexpr Duration kCallerStartDelay = Milliseconds(1500);
constexpr Duration kLimitStart = Seconds(5);
constexpr Duration kReadinessInterval = Seconds(1);
constexpr Duration kStopPollInterval = Milliseconds(50);
constexpr pid_t kProcessNetworks = 128;
constexpr std::uint64_t kSeedNetworks = 250;

// Two thirds of the seeds start all model engines in one stage, so that the daemons must change the
// stage of some.
std::string InitialStage(std::uint64_t aSeed, std::size_t aEngine)
{
  const std::uint64_t pattern = aSeed % kStagePatterns;
  if (pattern == 0) {
    return "decode";
  }
  return pattern == 1 && aEngine % 2 == 0 ? "decode" : "prefill";
}

} // namespace

Fleet::Fleet(FleetOptions aOptions)
  : mOptions(std::move(aOptions))
  , mNetwork("127." + std::to_string(kProcessNetworks - 1 - getpid() % (kProcessNetworks - 1)) +
             "." + std::to_string(1 + mOptions.plan.seed % kSeedNetworks))
  , mContext(1)
  , mOperator(mHistory, mStore, mCallerShared, mBounds)
{
  mEngineShared.history = &mHistory;
  mEngineShared.store = &mStore;
  mEngineShared.random.seed(mOptions.plan.seed);
  mCallerShared.history = &mHistory;
  mEngineShared.crashingPart = mOptions.crashingPart;
  mEngineShared.crash = [this](const std::string& aEngine) { CrashByName(aEngine); };
  mCallerShared.crashingPart = mOptions.crashingPart;
  mCallerShared.crashingPartPercent = mOptions.crashingPartPercent;
  mCallerShared.crashingRequestPercent = mOptions.crashingRequestPercent;
  mCallerShared.variesReviews = mOptions.plan.silencesEngines;
  mCallerShared.chooseDaemon = [this](std::uint64_t aNumber) { return ChooseDaemon(aNumber); };
}

Result<std::unique_ptr<Fleet>, std::string> Fleet::Create(FleetOptions aOptions)
{
  std::unique_ptr<Fleet> fleet(new Fleet(std::move(aOptions)));
  std::optional<std::string> problem = fleet->AddStore();
  for (std::size_t i = 0; i < fleet->mOptions.modelEngines && !problem; ++i) {
    problem = fleet->AddEngine(kModels, InitialStage(fleet->mOptions.plan.seed, i));
  }
  for (std::size_t i = 0; i < fleet->mOptions.plainEngines && !problem; ++i) {
    problem = fleet->AddEngine(kOrders, {});
    problem = problem ? problem : fleet->AddEngine(kArchive, {});
  }
  for (std::size_t i = 0; i < fleet->mOptions.daemons && !problem; ++i) {
    problem = fleet->AddDaemon();
  }
  if (problem) {
    return Failure(*problem);
  }
  for (std::size_t i = 0; i < fleet->mOptions.callers; ++i) {
    fleet->mCallers.push_back(
      std::make_unique<Caller>(fleet->mCallerShared, i, fleet->mEngineShared.random()));
  }
  return fleet;
}

std::optional<std::string> Fleet::AddStore()
{
  Result<std::unique_ptr<HttpServer>, std::string> server =
    HttpServer::Create(mContext, { "127.0.0.1", 0 }, mStore);
  if (!server) {
    return server.error();
  }
  mStoreServer = std::move(*server);
  return std::nullopt;
}

std::optional<std::string> Fleet::AddEngine(const std::string& aService, const std::string& aStage)
{
  const std::size_t number = mEngines.size();
  std::unique_ptr<EngineHost> host = std::make_unique<EngineHost>();
  EngineOptions options{ "engine-" + std::to_string(number), aService,
                         kDataCentres[number % kDataCentres.size()], aStage };
  host->engine = std::make_unique<Engine>(mEngineShared, std::move(options));
  Result<std::unique_ptr<HttpServer>, std::string> server =
    HttpServer::Create(mContext, { "127.0.0.1", 0 }, *host->engine);
  if (!server) {
    return server.error();
  }
  host->server = std::move(*server);
  Result<std::unique_ptr<ProxyServer>, std::string> link =
    ProxyServer::Create(mContext, { "127.0.0.1", 0 }, host->server->BoundAddress());
  if (!link) {
    return link.error();
  }
  host->link = std::move(*link);
  host->engine->SetAddress(host->link->BoundAddress().Text());
  mEngines.push_back(std::move(host));
  return std::nullopt;
}

std::optional<std::string> Fleet::AddDaemon()
{
  const std::size_t number = mDaemons.size();
  DaemonOptions options;
  options.number = number;
  options.ip = mNetwork + "." + std::to_string(number + 1);
  options.dataCentre = kDataCentres[number % kDataCentres.size()];
  options.dataCentres = kDataCentres;
  options.folder = mOptions.folder;
  options.store = mStoreServer->BoundAddress();
  options.bounds = mBounds;
  Result<std::unique_ptr<Daemon>, std::string> daemon =
    Daemon::Create(mContext, mHistory, std::move(options));
  if (!daemon) {
    return daemon.error();
  }
  mCallerShared.daemons.push_back((*daemon)->CallersAddress());
  mDaemons.push_back(std::move(*daemon));
  return std::nullopt;
}

void Fleet::Spawn(Awaitable<void> aTask)
{
  asio::co_spawn(mContext, std::move(aTask), [this](const std::exception_ptr& aError) {
    if (aError) {
      mHistory.AddProblem("a task of the harness threw an exception");
      mContext.stop();
    }
  });
}

std::size_t Fleet::ChooseDaemon(std::uint64_t aNumber) const
{
  std::vector<std::size_t> ready;
  for (const std::unique_ptr<Daemon>& daemon : mDaemons) {
    if (daemon->IsInRotation()) {
      ready.push_back(daemon->Number());
    }
  }
  // With no daemon in rotation, the platform balances over all of them.
  return ready.empty() ? aNumber % mDaemons.size() : ready[aNumber % ready.size()];
}

Findings Fleet::Run()
{
  mBegin = standins::Now();
  for (const std::unique_ptr<EngineHost>& host : mEngines) {
    Spawn(host->engine->Start());
  }
  mOperator.WriteInitial();
  for (const std::unique_ptr<Daemon>& daemon : mDaemons) {
    Spawn(daemon->Run());
  }
  Spawn(ProbeReadiness());
  Spawn(Play());
  mContext.run();
  const PlanOptions& plan = mOptions.plan;
  const Time end = mBegin + plan.length;
  return CheckAll(mHistory, mBounds, { end - plan.faultFreeTail + mBounds.recovery, end });
}

Awaitable<void> Fleet::ProbeReadiness()
{
  while (!mCallerShared.isOver) {
    for (const std::unique_ptr<Daemon>& daemon : mDaemons) {
      Spawn(daemon->ProbeReadiness());
    }
    co_await standins::Pause(kReadinessInterval);
  }
}

Awaitable<void> Fleet::Play()
{
  const std::vector<PlannedFault> plan = MakePlan(mOptions.plan);
  std::ofstream file(mOptions.folder + "/plan.txt");
  for (const PlannedFault& fault : plan) {
    file << ToString(fault) << "\n";
    Spawn(PlayFault(fault));
  }
  file.close();
  Spawn(
    LimitEngines(kLimitStart, mOptions.plan.length - mOptions.plan.faultFreeTail - kLimitStart));
  co_await standins::Pause(kCallerStartDelay);
  for (const std::unique_ptr<Caller>& caller : mCallers) {
    Spawn(caller->Run());
  }
  const Time end = mBegin + mOptions.plan.length;
  co_await standins::Pause(end - standins::Now());
  co_await StopDaemons();
}

// Stops all daemons while callers continue to use their open connections.
Awaitable<void> Fleet::StopDaemons()
{
  for (const std::unique_ptr<Daemon>& daemon : mDaemons) {
    daemon->Stop(true);
  }
  bool isRunning = true;
  while (isRunning) {
    co_await standins::Pause(kStopPollInterval);
    isRunning = false;
    for (const std::unique_ptr<Daemon>& daemon : mDaemons) {
      isRunning = isRunning || !daemon->HasEnded();
    }
  }
  mCallerShared.isOver = true;
  mContext.stop();
}

} // namespace masticstep::soak
