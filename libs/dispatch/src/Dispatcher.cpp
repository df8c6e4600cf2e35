#include "masticstep/dispatch/Dispatcher.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace masticstep::dispatch {

namespace {

// Reading speed assumed of an engine before its first answer.
constexpr double kFirstReadSecondsPerToken = 1.0 / 64000.0;
// Work of other daemons makes an observation longer and never shorter, so the estimate follows
// short ones faster.
constexpr double kFasterStep = 0.2;
constexpr double kSlowerStep = 0.01;
constexpr double kMeanSpeedStep = 0.05;
// Shorter prompts say more about the network than about the engine.
constexpr double kShortestReadForSpeed = 0.01;
// Engines for answers read prompts at half the speed.
constexpr double kDecodeReadFactor = 2.0;
// Costs of a request that leaves the data centre or the region, as seconds that it must win back.
constexpr double kOtherDataCentreSeconds = 0.02;
constexpr double kOtherRegionSeconds = 0.12;
// Transfers between engines take this much longer between data centres and between regions.
constexpr double kDataCentreTransferFactor = 2.0;
constexpr double kRegionTransferFactor = 10.0;
// Time that one more running request costs the others of an engine.
constexpr double kSecondsPerRunning = 0.002;
// Steps of an engine take longer the more tokens its running requests keep in memory.
constexpr double kSecondsOfFullMemory = 0.2;
// Weight of reading against waiting: what is read here takes the engine's time from others.
constexpr double kReadWeight = 4.5;
// Part of the shared tokens that the engine picked by hashing is believed to hold from other
// daemons.
constexpr double kAffinityShare = 0.8;
// Shared parts of this size are kept on one engine of all regions, smaller ones on one of each data
// centre: reading them again costs more than leaving the region.
constexpr std::uint32_t kWorthLeavingRegion = 1500;

// What a failure costs the request.
constexpr double kSecondsOfFailure = 1.0;

bool ReadsPrompts(Stage aStage)
{
  return aStage != Stage::Decode;
}

bool WritesAnswers(Stage aStage)
{
  return aStage != Stage::Prefill;
}

bool IsAny(Stage /*aStage*/)
{
  return true;
}

double Uncertainty(Random& aRandom)
{
  return 1.0 + 0.02 * aRandom.Uniform();
}

} // namespace

Dispatcher::Belief::Belief(Backend aBackend, std::uint64_t aCacheTokens)
  : backend(std::move(aBackend))
  , cache(aCacheTokens)
  , readSecondsPerToken(kFirstReadSecondsPerToken)
{
}

Dispatcher::Dispatcher(Place aPlace, std::uint64_t aSeed)
  : mPlace(std::move(aPlace))
  , mRandom(aSeed)
  , mReadSecondsPerToken(kFirstReadSecondsPerToken)
{
}

void Dispatcher::SetTable(std::shared_ptr<const RouteTable> aTable)
{
  mTable = std::move(aTable);
}

std::uint64_t Dispatcher::CacheTokens(const ServiceName& aService) const
{
  const ServiceTraits* service = mTable ? mTable->FindService(aService) : nullptr;
  return service != nullptr && service->engine ? service->engine->kvTokens : 0;
}

void Dispatcher::SetBackends(const std::map<BackendServerName, Backend>& aBackends)
{
  std::erase_if(mBeliefs, [&aBackends](const auto& aEntry) {
    const auto found = aBackends.find(aEntry.first);
    return found == aBackends.end() || found->second.born != aEntry.second.backend.born;
  });
  for (const auto& [id, backend] : aBackends) {
    const auto [it, isNew] = mBeliefs.try_emplace(id, backend, CacheTokens(backend.service));
    it->second.backend = backend;
  }
}

Dispatcher::Belief* Dispatcher::Find(const BackendServerName& aBackend)
{
  const auto found = mBeliefs.find(aBackend);
  return found == mBeliefs.end() ? nullptr : &found->second;
}

Work Dispatcher::WorkAt(const Belief& aBelief, Time aNow) const
{
  const Work own = aBelief.load.Own(aNow);
  const Work peers = mPeers.At(aBelief.backend.id, aNow);
  // The sample counts all daemons, also those of other data centres, but it is older.
  const double sampled = aBelief.load.Others(aNow);
  const Duration sampledRead = FromSeconds(sampled * ToSeconds(aBelief.load.MeanRead()));
  Work work;
  work.read = own.read + std::max(peers.read, sampledRead);
  work.requests = own.requests + std::max(peers.requests, static_cast<std::uint32_t>(sampled));
  work.tokens = own.tokens + peers.tokens;
  return work;
}

WorkByBackend Dispatcher::OwnWork(Time aNow) const
{
  WorkByBackend all;
  for (const auto& [id, belief] : mBeliefs) {
    const Work work = belief.load.Own(aNow);
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

std::vector<const Dispatcher::Belief*> Dispatcher::Candidates(const ServiceName& aService,
                                                              const BackendNames& aExcluded,
                                                              bool (*aIsSuited)(Stage),
                                                              Time aNow) const
{
  std::vector<const Belief*> all;
  std::vector<const Belief*> allowed;
  for (const auto& [id, belief] : mBeliefs) {
    const Backend& backend = belief.backend;
    const bool isExcluded = std::find(aExcluded.begin(), aExcluded.end(), id) != aExcluded.end();
    if (backend.service != aService || backend.isDraining || isExcluded ||
        !aIsSuited(backend.stage)) {
      continue;
    }
    all.push_back(&belief);
    if (belief.breaker.Allows(aNow) && belief.handover.Allows(aNow)) {
      allowed.push_back(&belief);
    }
  }
  return allowed.empty() ? all : allowed;
}

double Dispatcher::DistanceSeconds(const Backend& aBackend) const
{
  if (aBackend.dataCentre == mPlace.dataCentre) {
    return 0.0;
  }
  return aBackend.region == mPlace.region ? kOtherDataCentreSeconds : kOtherRegionSeconds;
}

double Dispatcher::ReadCost(const Belief& aBelief, const PromptWork& aWork, Time aNow,
                            PromptPlacement& aPlacement) const
{
  const double cached = aBelief.cache.CachedTokens(aWork.prompt, aWork.keys, aNow);
  const double tokens = std::max(0.0, aWork.prompt.promptTokens - cached);
  const double factor = aBelief.backend.stage == Stage::Decode ? kDecodeReadFactor : 1.0;
  const double read = tokens * aBelief.readSecondsPerToken * factor;
  aPlacement.engine = aBelief.backend;
  aPlacement.wait = WorkAt(aBelief, aNow).read;
  aPlacement.read = FromSeconds(read);
  return ToSeconds(aPlacement.wait) + kReadWeight * read + DistanceSeconds(aBelief.backend) +
         kSecondsOfFailure * (aBelief.breaker.FailureShare() + aBelief.handover.FailureShare());
}

std::optional<PromptPlacement> Dispatcher::BestReader(const PromptWork& aWork,
                                                      bool (*aIsSuited)(Stage), Time aNow)
{
  const std::vector<const Belief*> candidates =
    Candidates(aWork.service, aWork.excluded, aIsSuited, aNow);
  // Daemons that know nothing of each other's requests meet at the engine with the highest hash.
  const std::size_t shared = aWork.keys.size() < 2 ? 0 : aWork.keys.size() - 2;
  const std::uint64_t sharedKey = aWork.keys.empty() ? 0 : aWork.keys[shared];
  const std::uint32_t sharedTokens = aWork.keys.size() < 2 ? 0 : aWork.prompt.parts[shared].tokens;
  const bool isWorthLeaving = sharedTokens >= kWorthLeavingRegion;
  const Belief* preferred = nullptr;
  std::uint64_t highest = 0;
  for (const Belief* belief : candidates) {
    if (DistanceSeconds(belief->backend) > 0.0 && !isWorthLeaving) {
      continue;
    }
    const std::uint64_t hash = Hash64(belief->backend.id.Text(), sharedKey);
    if (preferred == nullptr || hash > highest) {
      preferred = belief;
      highest = hash;
    }
  }
  std::optional<PromptPlacement> best;
  double lowest = std::numeric_limits<double>::max();
  for (const Belief* belief : candidates) {
    PromptPlacement placement;
    double cost = ReadCost(*belief, aWork, aNow, placement) * Uncertainty(mRandom);
    if (belief == preferred) {
      const double known = belief->cache.CachedTokens(aWork.prompt, aWork.keys, aNow);
      const double unknown = std::max(0.0, sharedTokens - known);
      cost -= kReadWeight * kAffinityShare * unknown * belief->readSecondsPerToken;
    }
    if (cost < lowest) {
      lowest = cost;
      best = placement;
    }
  }
  return best;
}

std::optional<PromptPlacement> Dispatcher::PlacePrompt(const PromptWork& aWork, Time aNow)
{
  std::optional<PromptPlacement> placement = BestReader(aWork, ReadsPrompts, aNow);
  return placement ? placement : BestReader(aWork, WritesAnswers, aNow);
}

Duration Dispatcher::ExpectedRead(const PromptWork& aWork) const
{
  return FromSeconds(aWork.prompt.promptTokens * mReadSecondsPerToken);
}

std::size_t Dispatcher::ReaderCount(const ServiceName& aService) const
{
  return static_cast<std::size_t>(
    std::count_if(mBeliefs.begin(), mBeliefs.end(), [&aService](const auto& aItem) {
      const Backend& backend = aItem.second.backend;
      return backend.service == aService && !backend.isDraining && ReadsPrompts(backend.stage);
    }));
}

double Dispatcher::TransferSeconds(const Backend& aSource, const Backend& aTarget,
                                   const PromptWork& aWork) const
{
  const ServiceTraits* service = mTable ? mTable->FindService(aWork.service) : nullptr;
  if (service == nullptr || !service->engine || service->engine->linkMegabitsPerSecond <= 0.0) {
    return 0.0;
  }
  constexpr double kBitsPerMegabit = 1e6;
  constexpr double kBitsPerByte = 8.0;
  double factor = 1.0;
  if (aSource.dataCentre != aTarget.dataCentre) {
    factor = aSource.region == aTarget.region ? kDataCentreTransferFactor : kRegionTransferFactor;
  }
  const double bits = aWork.prompt.promptTokens * service->engine->kvBytesPerToken * kBitsPerByte;
  return factor * bits / (service->engine->linkMegabitsPerSecond * kBitsPerMegabit);
}

std::optional<Backend> Dispatcher::PlaceAnswer(const PromptWork& aWork, const Backend* aSource,
                                               Time aNow)
{
  std::optional<Backend> best;
  double lowest = std::numeric_limits<double>::max();
  for (const Belief* candidate : Candidates(aWork.service, aWork.excluded, WritesAnswers, aNow)) {
    const Belief& belief = *candidate;
    const Work work = WorkAt(belief, aNow);
    const double running = work.requests;
    const double slots = std::max(1U, belief.backend.slots);
    // An engine without a free slot makes the request wait.
    const double full = std::max(0.0, running + 1.0 - slots) / slots;
    const double memory = std::max<std::uint64_t>(CacheTokens(aWork.service), 1);
    const double used = static_cast<double>(work.tokens + aWork.prompt.promptTokens) / memory;
    double cost = kSecondsPerRunning * running + full + DistanceSeconds(belief.backend) +
                  kSecondsOfFullMemory * used + kSecondsOfFailure * belief.breaker.FailureShare();
    if (aSource != nullptr) {
      cost += TransferSeconds(*aSource, belief.backend, aWork);
    }
    cost *= Uncertainty(mRandom);
    if (cost < lowest) {
      lowest = cost;
      best = belief.backend;
    }
  }
  return best;
}

std::optional<Backend> Dispatcher::PlaceCall(const ServiceName& aService,
                                             const BackendNames& aExcluded, Time aNow)
{
  std::optional<Backend> best;
  double lowest = std::numeric_limits<double>::max();
  for (const Belief* candidate : Candidates(aService, aExcluded, IsAny, aNow)) {
    const Belief& belief = *candidate;
    const double running = WorkAt(belief, aNow).requests;
    const double slots = std::max(1U, belief.backend.slots);
    const double cost = (DistanceSeconds(belief.backend) + 0.1 * running / slots +
                         std::max(0.0, running + 1.0 - slots) / slots +
                         kSecondsOfFailure * belief.breaker.FailureShare()) *
                        Uncertainty(mRandom);
    if (cost < lowest) {
      lowest = cost;
      best = belief.backend;
    }
  }
  return best;
}

void Dispatcher::OnSent(const BackendServerName& aBackend, RequestId aId, Duration aRead,
                        std::uint32_t aTokens, Time aNow)
{
  if (Belief* belief = Find(aBackend)) {
    const Duration wait = WorkAt(*belief, aNow).read;
    belief->load.OnSent(aId, wait, aRead, aTokens, aNow);
    belief->breaker.OnSent(aNow);
    belief->handover.OnSent(aNow);
  }
}

void Dispatcher::OnDone(const BackendServerName& aBackend, RequestId aId, Outcome aOutcome,
                        Time aNow)
{
  Belief* belief = Find(aBackend);
  if (belief == nullptr) {
    return;
  }
  belief->load.OnDone(aId);
  switch (aOutcome) {
    case Outcome::Answered:
      belief->breaker.OnSuccess();
      break;
    case Outcome::Abandoned:
      break;
    case Outcome::Refused:
      belief->breaker.OnRefusal(aNow);
      break;
    case Outcome::Failed:
      belief->breaker.OnFailure(aNow);
      break;
    case Outcome::Unreachable:
      belief->breaker.OnUnreachable(aNow);
      break;
  }
}

void Dispatcher::OnHandover(const BackendServerName& aReader, bool aDone, Time aNow)
{
  Belief* belief = Find(aReader);
  if (belief == nullptr) {
    return;
  }
  if (aDone) {
    belief->handover.OnSuccess();
  } else {
    belief->handover.OnFailure(aNow);
  }
}

void Dispatcher::OnSample(const BackendServerName& aBackend, const LoadSample& aSample, Time aNow)
{
  if (Belief* belief = Find(aBackend)) {
    belief->load.OnSample(aSample, aNow);
  }
}

void Dispatcher::OnPromptRead(const BackendServerName& aBackend, const PromptWork& aWork,
                              const PromptPlacement& aPlacement, Duration aTook, Time aNow)
{
  Belief* belief = Find(aBackend);
  if (belief == nullptr) {
    return;
  }
  belief->cache.OnRead(aWork.prompt, aWork.keys, aNow);
  const double expected = ToSeconds(aPlacement.read);
  if (aPlacement.wait == Duration::zero() && expected >= kShortestReadForSpeed) {
    const double ratio = std::clamp(ToSeconds(aTook) / expected, 0.5, 2.0);
    const double step = ratio < 1.0 ? kFasterStep : kSlowerStep;
    belief->readSecondsPerToken *= 1.0 + step * (ratio - 1.0);
    mReadSecondsPerToken += kMeanSpeedStep * (belief->readSecondsPerToken - mReadSecondsPerToken);
  }
}

} // namespace masticstep::dispatch
