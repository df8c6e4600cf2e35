// The part of Dispatcher that chooses backend servers.
#include "masticstep/dispatch/Dispatcher.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <limits>

namespace masticstep::dispatch {

namespace {

// Engines for decoding prefill prompts at half the speed.
constexpr double kDecodeEnginePrefillFactor = 2.0;
// Cost of sending a request to another data centre or region: a remote server must be better by
// this much to be chosen.
constexpr double kOtherDataCentrePenaltySeconds = 0.02;
constexpr double kOtherRegionPenaltySeconds = 0.12;
// Slowdown of KV cache transfers between data centres and between regions.
constexpr double kDataCentreTransferFactor = 2.0;
constexpr double kRegionTransferFactor = 10.0;
// Delay that one more running request causes to the others on an engine.
constexpr double kPenaltySecondsPerRunningRequest = 0.002;
// Decoding steps take longer the more tokens the running requests hold in the KV cache.
constexpr double kFullKvCachePenaltySeconds = 0.2;
// Weight of prefill time relative to waiting time: prefill also uses engine time that other
// requests need.
constexpr double kPrefillWeight = 4.5;
// Share of the common prefix that the engine chosen by hashing is assumed to have cached from
// requests of other daemons.
constexpr double kAffinityCachedShare = 0.8;
// Common prefixes of at least this size are cached on one engine across all regions, smaller ones
// on one engine per data centre: recomputing a large prefix costs more than leaving the region.
constexpr std::uint32_t kCrossRegionPrefixTokens = 1500;
// Cost of a failed attempt to the request.
constexpr double kFailurePenaltySeconds = 1.0;

bool SupportsPrefill(Stage aStage)
{
  return aStage != Stage::Decode;
}

bool SupportsDecode(Stage aStage)
{
  return aStage != Stage::Prefill;
}

bool SupportsAny(Stage /*aStage*/)
{
  return true;
}

double CostJitter(Random& aRandom)
{
  return 1.0 + 0.02 * aRandom.Uniform();
}

} // namespace

std::vector<const Dispatcher::BackendState*> Dispatcher::Candidates(
  const ServiceName& aService, const BackendNames& aExcluded,
  const std::optional<SoftwareVersion>& aVersion, bool (*aSupportsStage)(Stage), Time aNow) const
{
  std::vector<const BackendState*> all;
  std::vector<const BackendState*> allowed;
  for (const auto& [id, state] : mBackendStates) {
    const Backend& backend = state.backend;
    const bool isExcluded = std::find(aExcluded.begin(), aExcluded.end(), id) != aExcluded.end();
    const bool isOtherVersion = aVersion && backend.softwareVersion != *aVersion;
    if (backend.service != aService || backend.isDraining || isExcluded || isOtherVersion ||
        !aSupportsStage(backend.stage) || aNow < state.pausedUntil ||
        !state.limit.AllowsRequest(aNow)) {
      continue;
    }
    all.push_back(&state);
    if (state.breaker.AllowsRequest(aNow) && state.kvTransferBreaker.AllowsRequest(aNow)) {
      allowed.push_back(&state);
    }
  }
  return allowed.empty() ? all : allowed;
}

void Dispatcher::RemoveUnpaired(std::vector<const BackendState*>& aCandidates,
                                const PromptRequest& aRequest, Time aNow) const
{
  std::set<SoftwareVersion> writers;
  for (const BackendState* state : Candidates(aRequest.service, aRequest.ExcludedAt(aNow),
                                              aRequest.version, SupportsDecode, aNow)) {
    writers.insert(state->backend.softwareVersion);
  }
  std::erase_if(aCandidates, [&writers](const BackendState* aState) {
    return !writers.contains(aState->backend.softwareVersion);
  });
}

double Dispatcher::LocalityPenaltySeconds(const Backend& aBackend) const
{
  if (aBackend.dataCentre == mLocality.dataCentre) {
    return 0.0;
  }
  return aBackend.region == mLocality.region ? kOtherDataCentrePenaltySeconds
                                             : kOtherRegionPenaltySeconds;
}

double Dispatcher::PrefillCost(const BackendState& aState, const PromptRequest& aRequest, Time aNow,
                               PrefillPlacement& aPlacement) const
{
  const double cached = aState.cache.CachedTokens(aRequest.prompt, aRequest.keys, aNow);
  const double tokens = std::max(0.0, aRequest.prompt.promptTokens - cached);
  const double factor = aState.backend.stage == Stage::Decode ? kDecodeEnginePrefillFactor : 1.0;
  const double prefillSeconds = tokens * aState.prefillSecondsPerToken * factor;
  aPlacement.engine = aState.backend;
  aPlacement.wait = WorkAt(aState, aNow).prefillTime;
  aPlacement.prefillTime = FromSeconds(prefillSeconds);
  return ToSeconds(aPlacement.wait) + kPrefillWeight * prefillSeconds +
         LocalityPenaltySeconds(aState.backend) +
         kFailurePenaltySeconds *
           (aState.breaker.FailureRate(aNow) + aState.kvTransferBreaker.FailureRate(aNow));
}

std::optional<PrefillPlacement> Dispatcher::BestPrefillEngine(const PromptRequest& aRequest,
                                                              bool (*aSupportsStage)(Stage),
                                                              Time aNow)
{
  std::vector<const BackendState*> candidates =
    Candidates(aRequest.service, aRequest.ExcludedAt(aNow), aRequest.version, aSupportsStage, aNow);
  if (HasSeveralVersions(aRequest.service) || AwaitsWriter(aRequest, aNow)) {
    RemoveUnpaired(candidates, aRequest, aNow);
  }
  // Rendezvous hashing: daemons unaware of each other's requests prefer the same engine for a
  // common prefix.
  const std::size_t sharedIndex = aRequest.keys.size() < 2 ? 0 : aRequest.keys.size() - 2;
  const std::uint64_t sharedKey = aRequest.keys.empty() ? 0 : aRequest.keys[sharedIndex];
  const std::uint32_t sharedTokens =
    aRequest.keys.size() < 2 ? 0 : aRequest.prompt.parts[sharedIndex].tokens;
  const bool mayLeaveDataCentre = sharedTokens >= kCrossRegionPrefixTokens;
  const BackendState* preferred = nullptr;
  std::uint64_t highest = 0;
  for (const BackendState* state : candidates) {
    if (LocalityPenaltySeconds(state->backend) > 0.0 && !mayLeaveDataCentre) {
      continue;
    }
    const std::uint64_t hash = Hash64(state->backend.id.Text(), sharedKey);
    if (preferred == nullptr || hash > highest) {
      preferred = state;
      highest = hash;
    }
  }
  std::optional<PrefillPlacement> best;
  double lowest = std::numeric_limits<double>::max();
  for (const BackendState* state : candidates) {
    PrefillPlacement placement;
    double cost = PrefillCost(*state, aRequest, aNow, placement) * CostJitter(mRandom);
    if (state == preferred) {
      const double cachedTokens = state->cache.CachedTokens(aRequest.prompt, aRequest.keys, aNow);
      const double uncachedTokens = std::max(0.0, sharedTokens - cachedTokens);
      cost -=
        kPrefillWeight * kAffinityCachedShare * uncachedTokens * state->prefillSecondsPerToken;
    }
    if (cost < lowest) {
      lowest = cost;
      best = placement;
    }
  }
  return best;
}

std::optional<PrefillPlacement> Dispatcher::ChoosePrefillEngine(const PromptRequest& aRequest,
                                                                Time aNow)
{
  // During a change of the software, one version may be left with few engines for prefill and
  // another one with few for decoding.
  if (HasSeveralVersions(aRequest.service)) {
    return BestPrefillEngine(aRequest, SupportsAny, aNow);
  }
  std::optional<PrefillPlacement> placement = BestPrefillEngine(aRequest, SupportsPrefill, aNow);
  return placement ? placement : ChooseDecodeEngineForPrefill(aRequest, aNow);
}

std::optional<PrefillPlacement> Dispatcher::ChooseDecodeEngineForPrefill(
  const PromptRequest& aRequest, Time aNow)
{
  return BestPrefillEngine(aRequest, SupportsDecode, aNow);
}

Duration Dispatcher::ExpectedPrefillTime(const PromptRequest& aRequest) const
{
  return FromSeconds(aRequest.prompt.promptTokens * mMeanPrefillSecondsPerToken);
}

std::size_t Dispatcher::PrefillEngineCount(const PromptRequest& aRequest) const
{
  std::size_t all = 0;
  std::size_t forPrefill = 0;
  for (const auto& [id, state] : mBackendStates) {
    const Backend& backend = state.backend;
    const bool hasVersion = !aRequest.version || backend.softwareVersion == *aRequest.version;
    if (backend.service == aRequest.service && !backend.isDraining && hasVersion) {
      ++all;
      forPrefill += SupportsPrefill(backend.stage) ? 1 : 0;
    }
  }
  return forPrefill == 0 || HasSeveralVersions(aRequest.service) ? all : forPrefill;
}

bool Dispatcher::AwaitsWriter(const PromptRequest& aRequest, Time aNow) const
{
  const BackendNames& failed = aRequest.excluded;
  bool mayWriteSoon = false;
  for (const auto& [id, state] : mBackendStates) {
    const Backend& backend = state.backend;
    const bool isOther =
      backend.service != aRequest.service || backend.softwareVersion != aRequest.version;
    const bool isWriter = SupportsDecode(backend.stage);
    const bool hasFailed = isWriter && std::find(failed.begin(), failed.end(), id) != failed.end();
    if (isOther || backend.isDraining || hasFailed) {
      continue;
    }
    const auto refused = aRequest.refusedUntil.find(id);
    const bool isRefusing = aNow < state.pausedUntil ||
                            (refused != aRequest.refusedUntil.end() && aNow < refused->second);
    if (isWriter && !isRefusing) {
      return false;
    }
    mayWriteSoon = true;
  }
  return mayWriteSoon;
}

double Dispatcher::TransferSeconds(const Backend& aSource, const Backend& aTarget,
                                   const PromptRequest& aRequest) const
{
  const ServiceTraits* service = mTable ? mTable->FindService(aRequest.service) : nullptr;
  if (service == nullptr || !service->engine) {
    return 0.0;
  }
  const double seconds = service->engine->TransferSeconds(aRequest.prompt.promptTokens);
  if (aSource.dataCentre == aTarget.dataCentre) {
    return seconds;
  }
  const bool isSameRegion = aSource.region == aTarget.region;
  return seconds * (isSameRegion ? kDataCentreTransferFactor : kRegionTransferFactor);
}

std::optional<Backend> Dispatcher::ChooseDecodeEngine(const PromptRequest& aRequest,
                                                      const Backend* aSource, Time aNow)
{
  std::optional<Backend> best;
  double lowest = std::numeric_limits<double>::max();
  const std::optional<SoftwareVersion> version =
    aSource == nullptr ? aRequest.version : aSource->softwareVersion;
  for (const BackendState* candidate :
       Candidates(aRequest.service, aRequest.ExcludedAt(aNow), version, SupportsDecode, aNow)) {
    const BackendState& state = *candidate;
    const OutstandingWork work = WorkAt(state, aNow);
    const double running = work.requests;
    const double slots = std::max(1U, state.backend.slots);
    // A request waits on an engine without a free slot.
    const double slotOverload = std::max(0.0, running + 1.0 - slots) / slots;
    const double kvCapacity = std::max<std::uint64_t>(KvCapacityTokens(aRequest.service), 1);
    const double kvUse =
      static_cast<double>(work.tokens + aRequest.prompt.promptTokens) / kvCapacity;
    double cost = kPenaltySecondsPerRunningRequest * running + slotOverload +
                  LocalityPenaltySeconds(state.backend) + kFullKvCachePenaltySeconds * kvUse +
                  kFailurePenaltySeconds * state.breaker.FailureRate(aNow);
    if (aSource != nullptr) {
      cost += TransferSeconds(*aSource, state.backend, aRequest);
    }
    cost *= CostJitter(mRandom);
    if (cost < lowest) {
      lowest = cost;
      best = state.backend;
    }
  }
  return best;
}

std::optional<Backend> Dispatcher::ChooseServer(const ServiceName& aService,
                                                const BackendNames& aExcluded, Time aNow)
{
  std::optional<Backend> best;
  double lowest = std::numeric_limits<double>::max();
  for (const BackendState* candidate :
       Candidates(aService, aExcluded, std::nullopt, SupportsAny, aNow)) {
    const BackendState& state = *candidate;
    const double running = WorkAt(state, aNow).requests;
    const double slots = std::max(1U, state.backend.slots);
    const double cost = (LocalityPenaltySeconds(state.backend) + 0.1 * running / slots +
                         std::max(0.0, running + 1.0 - slots) / slots +
                         kFailurePenaltySeconds * state.breaker.FailureRate(aNow)) *
                        CostJitter(mRandom);
    if (cost < lowest) {
      lowest = cost;
      best = state.backend;
    }
  }
  return best;
}

} // namespace masticstep::dispatch
