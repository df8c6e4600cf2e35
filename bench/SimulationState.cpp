#include "SimulationState.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::bench {

namespace {

constexpr Duration kTick = Milliseconds(20);
constexpr Duration kReportInterval = Milliseconds(500);
constexpr Duration kSummaryInterval = Seconds(1);
constexpr Duration kRoleInterval = Seconds(1);
// Time after the last arrival in which answers still count.
constexpr Duration kTail = Seconds(35);

const ServiceName kModelService("drafting");
const ServiceName kOrderService("ordering");

admission::AdmissionOptions AdmissionOptionsOf(const Installation& aInstallation)
{
  admission::AdmissionOptions options;
  for (std::size_t i = 0; i < aInstallation.kinds.size(); ++i) {
    const RequestKind& kind = aInstallation.kinds[i];
    options.classes.push_back({ i == kOrderKind ? kOrderService : kModelService,
                                ClassName(kind.className), kind.priority, 64 });
  }
  return options;
}

} // namespace

SimulationState::SimulationState(const SimulationOptions& aOptions,
                                 const std::vector<WorkItem>& aItems)
  : mOptions(&aOptions)
  , mItems(&aItems)
  , mRandom(7)
  , mRequests(aItems.size())
{
  constexpr std::uint32_t kPerDataCentre = kModelEngines / kDataCentres;
  for (std::uint32_t i = 0; i < kEngines; ++i) {
    const bool isPrefill = i % kPerDataCentre < aOptions.prefillEngines;
    const routing::EngineRole role =
      isPrefill ? routing::EngineRole::Prefill : routing::EngineRole::Decode;
    mEngines.emplace_back(IsOrderEngine(i) ? routing::EngineRole::Mixed : role);
    Push(Time{ Milliseconds(20 * i) }, Kind::TakeReport, i);
  }
  for (std::uint32_t i = 0; i < kDaemons; ++i) {
    retry::RetryOptions retryOptions;
    retryOptions.seed = 200 + i;
    mDaemons.push_back({ MakeDispatch(aOptions.dispatch, aOptions.installation, i, mEngines),
                         admission::AdmissionQueue(AdmissionOptionsOf(aOptions.installation)),
                         retry::RetryPolicy(retryOptions),
                         {} });
    Push(Time{ Milliseconds(6 * i) }, Kind::DaemonTick, i);
  }
  for (std::uint32_t i = 0; i < kDataCentres; ++i) {
    mControllers.push_back(
      MakeController(aOptions.controller, aOptions.installation, aOptions.schedule));
    Push(Time{ Milliseconds(1000 + 100 * i) }, Kind::RoleTick, i);
  }
  Push(Time{ Milliseconds(700) }, Kind::TakeSummary, 0);
  if (aOptions.lossTo > aOptions.lossFrom) {
    for (std::uint32_t i = 0; i < kModelEngines; i += 3) {
      Push(Time{ aOptions.lossFrom }, Kind::Crash, i);
      Push(Time{ aOptions.lossTo }, Kind::Recover, i);
    }
  }
  for (std::uint32_t i = 0; i < aItems.size(); ++i) {
    Push(aItems[i].arrival, Kind::Arrival, i);
  }
}

void SimulationState::Push(Time aAt, Kind aKind, std::uint32_t aA, std::uint32_t aB,
                           std::uint32_t aC)
{
  mEvents.push({ aAt, mOrder++, aKind, aA, aB, aC });
}

SimulationResult SimulationState::Run()
{
  const Time end = Time{ mOptions->length } + kTail;
  while (!mEvents.empty() && mEvents.top().at <= end) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.at;
    Handle(event);
  }
  const double span = ToSeconds(mOptions->length);
  mResult.goodput /= span;
  mResult.othersGoodput /= span;
  mResult.arrived = mItems->size();
  return mResult;
}

void SimulationState::Handle(const Event& aEvent)
{
  const std::uint32_t a = aEvent.a;
  switch (aEvent.kind) {
    case Kind::Arrival:
      return OnArrival(a);
    case Kind::Deliver:
      return Deliver(a, aEvent.b);
    case Kind::StepEnd:
      return aEvent.b == mIncarnations[a] ? OnStepEnd(a) : void();
    case Kind::FirstToken:
      return IsCurrent(a, aEvent.b) ? OnFirstToken(a) : void();
    case Kind::Finished:
      return IsCurrent(a, aEvent.b) ? OnFinished(a) : void();
    case Kind::Failed:
      return IsCurrent(a, aEvent.b) ? OnFailed(a, static_cast<routing::FailureKind>(aEvent.c))
                                    : void();
    case Kind::Redispatch:
      return Dispatch(a);
    case Kind::TakeReport:
      TakeReport(a);
      return Push(mNow + kReportInterval, Kind::TakeReport, a);
    case Kind::TakeSummary:
      TakeSummary();
      return Push(mNow + kSummaryInterval, Kind::TakeSummary, 0);
    case Kind::GiveReport: {
      routing::LoadReport report = mSnapshots[a].report;
      report.age = mNow - mSnapshots[a].taken;
      return mDaemons[aEvent.b].dispatch->OnReport(mSnapshots[a].engine, report, mNow);
    }
    case Kind::GiveState:
      return mDaemons[aEvent.c].dispatch->OnState(a, static_cast<routing::EngineState>(aEvent.b),
                                                  mNow);
    case Kind::GiveEvents:
      for (const routing::CacheEvent& event : mBatches[a].events) {
        mDaemons[aEvent.b].dispatch->OnCacheEvent(mBatches[a].engine, event, mNow);
      }
      return;
    case Kind::DaemonTick:
      OnDaemonTick(a);
      return Push(mNow + kTick, Kind::DaemonTick, a);
    case Kind::RoleTick:
      OnRoleTick(a);
      return Push(mNow + kRoleInterval, Kind::RoleTick, a);
    case Kind::RoleDone:
      return OnRoleDone(a, aEvent.b);
    case Kind::Crash:
      return OnCrash(a);
    case Kind::Recover:
      mEngines[a].state = routing::EngineState::Ready;
      return;
  }
}

Duration SimulationState::Latency(std::uint32_t aDaemon, std::uint32_t aEngine) const
{
  const bool isNear = DataCentreOfDaemon(aDaemon) == DataCentreOfEngine(aEngine);
  const Installation& installation = mOptions->installation;
  return isNear ? installation.dataCentreLatency : installation.regionLatency;
}

SimulationResult Simulate(const SimulationOptions& aOptions, const std::vector<WorkItem>& aItems)
{
  return SimulationState(aOptions, aItems).Run();
}

} // namespace masticstep::bench
