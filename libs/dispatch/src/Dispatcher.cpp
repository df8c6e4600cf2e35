#include "masticstep/dispatch/Dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::dispatch {

namespace {

// Prefill time per token assumed before an engine's first response.
constexpr double kInitialPrefillSecondsPerToken = 1.0 / 64000.0;
// Work of other daemons can only lengthen an observed prefill, so the estimate follows shorter
// observations faster than longer ones.
constexpr double kDecreaseSmoothing = 0.2;
constexpr double kIncreaseSmoothing = 0.01;
constexpr double kMeanSmoothing = 0.05;
// Times of shorter prefills are dominated by other costs of a request.
constexpr double kMinimumSampledPrefillSeconds = 0.01;
// Callers that were refused since no server wants requests return over this time.
constexpr double kReturnSpreadSeconds = 0.5;

} // namespace

BackendNames PromptRequest::ExcludedAt(Time aNow) const
{
  BackendNames all = excluded;
  for (const auto& [id, until] : refusedUntil) {
    if (aNow < until) {
      all.push_back(id);
    }
  }
  return all;
}

Dispatcher::BackendState::BackendState(Backend aBackend, std::uint64_t aKvCapacityTokens)
  : backend(std::move(aBackend))
  , cache(aKvCapacityTokens)
  , prefillSecondsPerToken(kInitialPrefillSecondsPerToken)
{
}

Dispatcher::Dispatcher(Locality aLocality, std::uint64_t aSeed)
  : mLocality(std::move(aLocality))
  , mRandom(aSeed)
  , mMeanPrefillSecondsPerToken(kInitialPrefillSecondsPerToken)
{
}

void Dispatcher::SetTable(std::shared_ptr<const RouteTable> aTable)
{
  mTable = std::move(aTable);
}

std::uint64_t Dispatcher::KvCapacityTokens(const ServiceName& aService) const
{
  const ServiceTraits* service = mTable ? mTable->FindService(aService) : nullptr;
  return service != nullptr && service->engine ? service->engine->kvTokens : 0;
}

void Dispatcher::SetBackends(const std::map<BackendServerName, Backend>& aBackends)
{
  std::erase_if(mBackendStates, [&aBackends](const auto& aEntry) {
    const auto found = aBackends.find(aEntry.first);
    return found == aBackends.end() ||
           found->second.startedAtMs != aEntry.second.backend.startedAtMs;
  });
  for (const auto& [id, backend] : aBackends) {
    const auto [it, isNew] =
      mBackendStates.try_emplace(id, backend, KvCapacityTokens(backend.service));
    it->second.backend = backend;
  }
  mVersions.clear();
  for (const auto& [id, backend] : aBackends) {
    mVersions[backend.service].insert(backend.softwareVersion);
  }
}

bool Dispatcher::HasSeveralVersions(const ServiceName& aService) const
{
  const auto found = mVersions.find(aService);
  return found != mVersions.end() && found->second.size() > 1;
}

Dispatcher::BackendState* Dispatcher::FindState(const BackendServerName& aBackend)
{
  const auto found = mBackendStates.find(aBackend);
  return found == mBackendStates.end() ? nullptr : &found->second;
}

OutstandingWork Dispatcher::WorkAt(const BackendState& aState, Time aNow) const
{
  const OutstandingWork local = aState.load.LocalWork(aNow);
  const OutstandingWork peers = mPeers.TotalAt(aState.backend.id, aNow);
  // The sample covers all daemons, including those of other data centres, but is older than the
  // peer reports.
  const double sampled = aState.load.RemoteRequests(aNow);
  const Duration sampledPrefillTime =
    FromSeconds(sampled * ToSeconds(aState.load.MeanPrefillTime()));
  OutstandingWork work;
  work.prefillTime = local.prefillTime + std::max(peers.prefillTime, sampledPrefillTime);
  work.requests = local.requests + std::max(peers.requests, static_cast<std::uint32_t>(sampled));
  work.tokens = local.tokens + peers.tokens;
  return work;
}

WorkByBackend Dispatcher::LocalWork(Time aNow) const
{
  WorkByBackend all;
  for (const auto& [id, state] : mBackendStates) {
    const OutstandingWork work = state.load.LocalWork(aNow);
    if (work.requests > 0) {
      all.emplace(id, work);
    }
  }
  return all;
}

void Dispatcher::OnPeerWork(const HostName& aHost, std::uint64_t aSequence, WorkByBackend aWork,
                            Time aNow)
{
  mPeers.OnReport(aHost, aSequence, std::move(aWork), aNow);
}

void Dispatcher::OnSent(const BackendServerName& aBackend, RequestId aId, Duration aPrefillTime,
                        std::uint32_t aTokens, Time aNow)
{
  if (BackendState* state = FindState(aBackend)) {
    const Duration wait = WorkAt(*state, aNow).prefillTime;
    state->load.OnSent(aId, wait, aPrefillTime, aTokens, aNow);
    state->limit.OnSent(aNow);
    state->breaker.OnSent(aNow);
    state->kvTransferBreaker.OnSent(aNow);
  }
}

void Dispatcher::OnDone(const BackendServerName& aBackend, RequestId aId, Outcome aOutcome,
                        Time aNow)
{
  BackendState* state = FindState(aBackend);
  if (state == nullptr) {
    return;
  }
  state->load.OnDone(aId);
  switch (aOutcome) {
    case Outcome::Answered:
      state->breaker.OnSuccess(aNow);
      break;
    case Outcome::Abandoned:
      break;
    case Outcome::Refused:
      state->breaker.OnRefusal(aNow);
      break;
    case Outcome::Failed:
      state->breaker.OnFailure(aNow);
      break;
    case Outcome::Unreachable:
      state->breaker.OnUnreachable(aNow);
      break;
  }
}

void Dispatcher::OnKvTransfer(const BackendServerName& aPrefillEngine, bool aSucceeded, Time aNow)
{
  BackendState* state = FindState(aPrefillEngine);
  if (state == nullptr) {
    return;
  }
  if (aSucceeded) {
    state->kvTransferBreaker.OnSuccess(aNow);
  } else {
    state->kvTransferBreaker.OnFailure(aNow);
  }
}

void Dispatcher::OnSample(const BackendServerName& aBackend, const LoadSample& aSample, Time aNow)
{
  if (BackendState* state = FindState(aBackend)) {
    state->load.OnSample(aSample, aNow);
  }
}

void Dispatcher::OnRequestLimit(const BackendServerName& aBackend, std::optional<double> aPerSecond,
                                Time aNow)
{
  BackendState* state = FindState(aBackend);
  if (state == nullptr) {
    return;
  }
  if (aPerSecond) {
    state->limit.OnNamed(mFleet.AllotmentOf(aBackend, *aPerSecond), mRandom.Uniform(), aNow);
  } else {
    state->limit.OnNotNamed(aNow);
  }
}

void Dispatcher::OnPause(const BackendServerName& aBackend, Duration aLength, Time aNow)
{
  if (BackendState* state = FindState(aBackend)) {
    state->pausedUntil = std::max(state->pausedUntil, aNow + aLength);
  }
}

std::optional<Duration> Dispatcher::RetryAfter(const ServiceName& aService, Time aNow)
{
  std::optional<Time> first;
  for (const auto& [id, state] : mBackendStates) {
    if (state.backend.service != aService || state.backend.isDraining) {
      continue;
    }
    if (state.pausedUntil <= aNow) {
      return std::nullopt;
    }
    first = std::min(first.value_or(state.pausedUntil), state.pausedUntil);
  }
  if (!first) {
    return std::nullopt;
  }
  const double seconds = ToSeconds(*first - aNow) + kReturnSpreadSeconds * mRandom.Uniform();
  return FromSeconds(seconds);
}

void Dispatcher::SetFleet(HostName aOwn, std::vector<HostName> aAll)
{
  mFleet.Set(std::move(aOwn), std::move(aAll));
}

void Dispatcher::OnPrefillDone(const BackendServerName& aBackend, const PromptRequest& aRequest,
                               const PrefillPlacement& aPlacement, Duration aElapsed, Time aNow)
{
  BackendState* state = FindState(aBackend);
  if (state == nullptr) {
    return;
  }
  state->cache.OnPrefill(aRequest.prompt, aRequest.keys, aNow);
  const double expected = ToSeconds(aPlacement.prefillTime);
  Duration& latency =
    mNetworkLatency.try_emplace(state->backend.dataCentre, aElapsed).first->second;
  latency = std::min(latency, aElapsed);
  if (aPlacement.wait == Duration::zero() && expected >= kMinimumSampledPrefillSeconds) {
    const double ratio = std::clamp(ToSeconds(aElapsed - latency) / expected, 0.5, 2.0);
    const double step = ratio < 1.0 ? kDecreaseSmoothing : kIncreaseSmoothing;
    state->prefillSecondsPerToken *= 1.0 + step * (ratio - 1.0);
    mMeanPrefillSecondsPerToken +=
      kMeanSmoothing * (state->prefillSecondsPerToken - mMeanPrefillSecondsPerToken);
  }
}

} // namespace masticstep::dispatch
