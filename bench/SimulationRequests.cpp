#include "SimulationState.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::bench {

namespace {

constexpr Duration kDeadline = Seconds(30);
// 1.5 times RouterOptions::shedFactor.
constexpr double kWaitShare = 0.75;

const ServiceName kModelService("drafting");
const ServiceName kOrderService("ordering");

} // namespace

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
    const roles::WorkloadSample work = roles::EstimateWork(item.promptTokens, output, {});
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
    OnNoCapacity(aRequest);
    return;
  }
  request.engine = *engine;
  ++request.attempt;
  Push(mNow + Latency(item.daemon, *engine), Kind::Deliver, aRequest, request.attempt);
}

void SimulationState::OnNoCapacity(std::uint32_t aRequest)
{
  admission::AdmissionQueue& admission = mDaemons[(*mItems)[aRequest].daemon].admission;
  const bool isRetry = mRequests[aRequest].retries > 0;
  if (isRetry || admission.OnNoCapacity(RequestId{ aRequest }, mNow)) {
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

} // namespace masticstep::bench
