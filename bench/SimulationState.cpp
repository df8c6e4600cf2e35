#include "SimulationState.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::bench {

namespace {

constexpr Duration kDeadline = Seconds(30);
constexpr Duration kTick = Milliseconds(20);
// 1.5 times RouterOptions::shedFactor.
constexpr double kWaitShare = 0.75;
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

bool SimulationState::IsCurrent(std::uint32_t aRequest, std::uint32_t aAttempt) const
{
  return !mRequests[aRequest].isDone && mRequests[aRequest].attempt == aAttempt;
}

void SimulationState::OnArrival(std::uint32_t aRequest)
{
  const WorkItem& item = (*mItems)[aRequest];
  const RequestKind& kind = mOptions->installation.kinds[item.kind];
  Daemon& daemon = mDaemons[item.daemon];
  const std::uint32_t output = daemon.dispatch->ExpectedOutput(item);
  if (item.kind != kOrderKind) {
    const roles::MixSample work = roles::WorkOf(item.promptTokens, output, {});
    daemon.arrivedWork.promptWork += work.promptWork;
    daemon.arrivedWork.outputWork += work.outputWork;
  }
  daemon.retry.OnFirstAttempt(kModelService);
  admission::AdmissionRequest request;
  request.id = RequestId{ aRequest };
  request.service = item.kind == kOrderKind ? kOrderService : kModelService;
  request.className = ClassName(kind.className);
  request.account = AccountName("account-" + std::to_string(item.account));
  request.tokens = item.promptTokens + output;
  request.arrived = mNow;
  // A request that has waited for longer would be refused by the router as late.
  request.deadline = mNow + FromSeconds(kWaitShare * ToSeconds(kind.firstToken));
  request.expected = FromSeconds(item.promptTokens * roles::TokenCosts{}.secondsPerPromptToken);
  const admission::AdmissionDecision decision = daemon.admission.Offer(request, mNow);
  if (decision.kind == admission::AdmissionKind::Admitted) {
    Dispatch(aRequest);
  } else if (decision.kind == admission::AdmissionKind::Refused) {
    mRequests[aRequest].isDone = true;
    ++mResult.refused;
  }
}

void SimulationState::Dispatch(std::uint32_t aRequest)
{
  const WorkItem& item = (*mItems)[aRequest];
  RequestState& request = mRequests[aRequest];
  Daemon& daemon = mDaemons[item.daemon];
  const std::optional<std::uint32_t> engine =
    daemon.dispatch->Choose(aRequest, item, request.excluded, mNow);
  if (!engine) {
    OnNoRoom(aRequest);
    return;
  }
  request.engine = *engine;
  ++request.attempt;
  Push(mNow + Latency(item.daemon, *engine), Kind::Deliver, aRequest, request.attempt);
}

void SimulationState::OnNoRoom(std::uint32_t aRequest)
{
  admission::AdmissionQueue& admission = mDaemons[(*mItems)[aRequest].daemon].admission;
  const bool isRetry = mRequests[aRequest].retries > 0;
  if (isRetry || admission.OnNoRoom(RequestId{ aRequest }, mNow)) {
    ++mResult.refused;
    End(aRequest, 0);
  }
}

void SimulationState::Deliver(std::uint32_t aRequest, std::uint32_t aAttempt)
{
  const RequestState& request = mRequests[aRequest];
  const WorkItem& item = (*mItems)[aRequest];
  FakeEngine& engine = mEngines[request.engine];
  const Time back = mNow + Latency(item.daemon, request.engine);
  if (engine.state == routing::EngineState::Down) {
    Push(back, Kind::Failed, aRequest, aAttempt,
         static_cast<std::uint32_t>(routing::FailureKind::ConnectionFailed));
    return;
  }
  if (engine.state == routing::EngineState::ChangingRole) {
    Push(back, Kind::Failed, aRequest, aAttempt,
         static_cast<std::uint32_t>(routing::FailureKind::Refused));
    return;
  }
  Sequence sequence;
  sequence.request = aRequest;
  sequence.attempt = aAttempt;
  sequence.promptTokens = item.promptTokens;
  sequence.outputTokens = item.outputTokens;
  sequence.priority = mOptions->installation.kinds[item.kind].priority;
  sequence.prefixHashes = item.prefixHashes;
  engine.Add(std::move(sequence));
  Step(request.engine);
}

void SimulationState::Step(std::uint32_t aEngine)
{
  Duration length{ 0 };
  if (mEngines[aEngine].StartStep(length)) {
    Push(mNow + length, Kind::StepEnd, aEngine, mIncarnations[aEngine]);
  }
}

void SimulationState::OnStepEnd(std::uint32_t aEngine)
{
  const StepResult result = mEngines[aEngine].EndStep();
  for (const Sequence& sequence : result.firstTokens) {
    Answer(Kind::FirstToken, sequence);
  }
  for (const Sequence& sequence : result.finished) {
    Answer(Kind::Finished, sequence);
  }
  Publish(aEngine, result);
  Step(aEngine);
}

void SimulationState::Answer(Kind aKind, const Sequence& aSequence)
{
  const WorkItem& item = (*mItems)[aSequence.request];
  const Duration latency = Latency(item.daemon, mRequests[aSequence.request].engine);
  Push(mNow + latency, aKind, aSequence.request, aSequence.attempt);
}

void SimulationState::OnFirstToken(std::uint32_t aRequest)
{
  RequestState& request = mRequests[aRequest];
  request.hasFirstToken = true;
  request.firstToken = mNow;
  mDaemons[(*mItems)[aRequest].daemon].dispatch->OnFirstToken(aRequest, mNow);
}

void SimulationState::OnFinished(std::uint32_t aRequest)
{
  const WorkItem& item = (*mItems)[aRequest];
  mDaemons[item.daemon].dispatch->OnFinished(aRequest, item.outputTokens, mNow);
  Judge(aRequest);
  End(aRequest, item.promptTokens + item.outputTokens);
  Release(item.daemon);
}

void SimulationState::Judge(std::uint32_t aRequest)
{
  const WorkItem& item = (*mItems)[aRequest];
  const RequestKind& kind = mOptions->installation.kinds[item.kind];
  const Time first = mRequests[aRequest].firstToken;
  const std::uint32_t gaps = std::max(1U, item.outputTokens - 1);
  const bool isLate = first - item.arrival > kind.firstToken;
  const bool isSlow = (mNow - first) / gaps > kind.betweenTokens;
  mResult.lateFirstToken += isLate ? 1 : 0;
  mResult.slowTokens += isSlow ? 1 : 0;
  if (isLate || isSlow || mNow - item.arrival > kDeadline) {
    return;
  }
  mResult.goodput += 1.0;
  mResult.othersGoodput += item.account == kFloodAccount ? 0.0 : 1.0;
}

void SimulationState::OnFailed(std::uint32_t aRequest, routing::FailureKind aKind)
{
  const WorkItem& item = (*mItems)[aRequest];
  RequestState& request = mRequests[aRequest];
  Daemon& daemon = mDaemons[item.daemon];
  daemon.dispatch->OnFailed(aRequest, aKind, mNow);
  retry::Attempt attempt;
  attempt.id = RequestId{ aRequest };
  attempt.service = kModelService;
  attempt.progress = aKind == routing::FailureKind::Silent    ? retry::Progress::Unknown
                     : aKind == routing::FailureKind::Refused ? retry::Progress::NotStarted
                                                              : retry::Progress::NotSent;
  attempt.isRepeatable = true;
  attempt.mayHaveRunBefore = request.mayHaveRun;
  attempt.tokensRelayed = request.hasFirstToken ? 1 : 0;
  attempt.retries = request.retries;
  attempt.deadline = item.arrival + kDeadline;
  const retry::RetryDecision decision = daemon.retry.Decide(attempt, mNow);
  if (decision.kind != retry::RetryKind::Retry) {
    ++mResult.failed;
    End(aRequest, 0);
    return;
  }
  request.mayHaveRun = decision.mayHaveRun;
  ++request.retries;
  request.excluded.push_back(request.engine);
  Push(mNow + decision.delay, Kind::Redispatch, aRequest);
}

void SimulationState::End(std::uint32_t aRequest, std::uint32_t aTokens)
{
  mRequests[aRequest].isDone = true;
  mDaemons[(*mItems)[aRequest].daemon].admission.OnFinished(RequestId{ aRequest }, aTokens, mNow);
}

void SimulationState::OnDaemonTick(std::uint32_t aDaemon)
{
  Daemon& daemon = mDaemons[aDaemon];
  for (const admission::Refusal& refusal : daemon.admission.OnTime(mNow)) {
    mRequests[refusal.id.value].isDone = true;
    ++mResult.refused;
  }
  daemon.admission.SetCapacity(kModelService, daemon.dispatch->Capacity(false, mNow));
  daemon.admission.SetCapacity(kOrderService, daemon.dispatch->Capacity(true, mNow));
  Release(aDaemon);
}

void SimulationState::Release(std::uint32_t aDaemon)
{
  for (const admission::AdmissionRequest& request : mDaemons[aDaemon].admission.Release(mNow)) {
    Dispatch(static_cast<std::uint32_t>(request.id.value));
  }
}

SimulationResult Simulate(const SimulationOptions& aOptions, const std::vector<WorkItem>& aItems)
{
  return SimulationState(aOptions, aItems).Run();
}

} // namespace masticstep::bench
