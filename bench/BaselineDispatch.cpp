#include "DispatchPolicy.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <unordered_map>

namespace masticstep::bench {

std::uint32_t DataCentreOfEngine(std::uint32_t aEngine)
{
  return IsOrderEngine(aEngine) ? aEngine - kModelEngines
                                : aEngine / (kModelEngines / kDataCentres);
}

std::uint32_t DataCentreOfDaemon(std::uint32_t aDaemon)
{
  return aDaemon % kDataCentres;
}

namespace {

using routing::EngineRole;
using routing::EngineState;

// Part that the baselines share: they know roles and states from reports, and own work in flight.
class BaselineDispatch : public DispatchPolicy
{
public:
  explicit BaselineDispatch(const std::deque<FakeEngine>& aEngines)
  {
    for (std::uint32_t i = 0; i < kEngines; ++i) {
      mRoles[i] = aEngines[i].role;
    }
  }

  std::optional<std::uint32_t> Choose(std::uint32_t aRequest, const WorkItem& aItem,
                                      const std::vector<std::uint32_t>& aExcluded, Time) override
  {
    std::vector<std::uint32_t> usable;
    std::vector<std::uint32_t> suited;
    for (std::uint32_t i = 0; i < kEngines; ++i) {
      const bool isExcluded = std::find(aExcluded.begin(), aExcluded.end(), i) != aExcluded.end();
      if (IsOrderEngine(i) != (aItem.kind == kOrderKind) || isExcluded ||
          mStates[i] != EngineState::Ready) {
        continue;
      }
      usable.push_back(i);
      const EngineRole unsuited =
        aItem.kind == kPromptKind ? EngineRole::Decode : EngineRole::Prefill;
      if (mRoles[i] != unsuited) {
        suited.push_back(i);
      }
    }
    // Role-blind baselines would only show that roles exist.
    const std::vector<std::uint32_t>& candidates = suited.empty() ? usable : suited;
    if (candidates.empty()) {
      return std::nullopt;
    }
    const std::uint32_t engine = PickFrom(candidates);
    mEngineOf[aRequest] = engine;
    ++mOutstanding[engine];
    return engine;
  }

  void OnFirstToken(std::uint32_t, Time) override {}
  void OnFinished(std::uint32_t aRequest, std::uint32_t, Time) override { End(aRequest); }
  void OnFailed(std::uint32_t aRequest, routing::FailureKind, Time) override { End(aRequest); }
  void OnReport(std::uint32_t aEngine, const routing::LoadReport& aReport, Time) override
  {
    mRoles[aEngine] = aReport.role;
    mStates[aEngine] = aReport.state;
  }
  void OnState(std::uint32_t aEngine, EngineState aState, Time) override
  {
    mStates[aEngine] = aState;
  }
  void OnCacheEvent(std::uint32_t, const routing::CacheEvent&, Time) override {}
  // A limit shared by all roles made the baselines refuse streams for want of prefill engines and
  // halved their goodput, so they have none.
  std::uint64_t Capacity(bool, Time) override { return std::numeric_limits<std::uint64_t>::max(); }
  std::uint32_t ExpectedOutput(const WorkItem& aItem) override { return aItem.outputTokens; }

protected:
  virtual std::uint32_t PickFrom(const std::vector<std::uint32_t>& aCandidates) = 0;
  std::array<std::uint32_t, kEngines> mOutstanding{};

private:
  void End(std::uint32_t aRequest)
  {
    const auto it = mEngineOf.find(aRequest);
    if (it != mEngineOf.end()) {
      --mOutstanding[it->second];
      mEngineOf.erase(it);
    }
  }

  std::array<EngineRole, kEngines> mRoles{};
  std::array<EngineState, kEngines> mStates{};
  std::unordered_map<std::uint32_t, std::uint32_t> mEngineOf;
};

class RoundRobin : public BaselineDispatch
{
public:
  RoundRobin(const std::deque<FakeEngine>& aEngines, std::uint32_t aDaemon)
    : BaselineDispatch(aEngines)
    , mNext(aDaemon)
  {
  }

protected:
  std::uint32_t PickFrom(const std::vector<std::uint32_t>& aCandidates) override
  {
    return aCandidates[mNext++ % aCandidates.size()];
  }

private:
  std::size_t mNext;
};

class LeastOutstanding : public BaselineDispatch
{
public:
  LeastOutstanding(const std::deque<FakeEngine>& aEngines, std::uint32_t aDaemon)
    : BaselineDispatch(aEngines)
    , mDaemon(aDaemon)
  {
  }

protected:
  std::uint32_t PickFrom(const std::vector<std::uint32_t>& aCandidates) override
  {
    // Each daemon breaks ties from another place, so that idle daemons do not all start at 0.
    std::uint32_t best = aCandidates[mDaemon % aCandidates.size()];
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      const std::uint32_t engine = aCandidates[(mDaemon + i) % aCandidates.size()];
      best = mOutstanding[engine] < mOutstanding[best] ? engine : best;
    }
    return best;
  }

private:
  std::uint32_t mDaemon;
};

// Sees every engine as it is and every request's true length, and refuses what must miss its
// targets. It uses the batching model itself and shares no decision code with the router.
class Clairvoyant : public DispatchPolicy
{
public:
  Clairvoyant(const Installation& aInstallation, const std::deque<FakeEngine>& aEngines)
    : mInstallation(&aInstallation)
    , mEngines(&aEngines)
  {
  }

  std::optional<std::uint32_t> Choose(std::uint32_t, const WorkItem& aItem,
                                      const std::vector<std::uint32_t>& aExcluded,
                                      Time aNow) override
  {
    std::optional<std::uint32_t> best;
    double bestCost = std::numeric_limits<double>::max();
    for (std::uint32_t i = 0; i < kEngines; ++i) {
      const FakeEngine& engine = (*mEngines)[i];
      const bool isExcluded = std::find(aExcluded.begin(), aExcluded.end(), i) != aExcluded.end();
      if (IsOrderEngine(i) != (aItem.kind == kOrderKind) || isExcluded ||
          engine.state != EngineState::Ready) {
        continue;
      }
      const double cost = CostOn(engine, aItem, aNow);
      if (cost < bestCost) {
        bestCost = cost;
        best = i;
      }
    }
    return best;
  }

  void OnFirstToken(std::uint32_t, Time) override {}
  void OnFinished(std::uint32_t, std::uint32_t, Time) override {}
  void OnFailed(std::uint32_t, routing::FailureKind, Time) override {}
  void OnReport(std::uint32_t, const routing::LoadReport&, Time) override {}
  void OnState(std::uint32_t, EngineState, Time) override {}
  void OnCacheEvent(std::uint32_t, const routing::CacheEvent&, Time) override {}
  std::uint64_t Capacity(bool, Time) override { return std::numeric_limits<std::uint64_t>::max(); }
  std::uint32_t ExpectedOutput(const WorkItem& aItem) override { return aItem.outputTokens; }

private:
  // Seconds until the first token plus engine time, or the largest number for a certain miss.
  double CostOn(const FakeEngine& aEngine, const WorkItem& aItem, Time aNow) const
  {
    const RequestKind& kind = mInstallation->kinds[aItem.kind];
    const double chunk = BatchingModel::ChunkOf(aEngine.role);
    const double streams = static_cast<double>(aEngine.Running()) + 1.0;
    const double plain = BatchingModel::kStepSeconds + streams * BatchingModel::kStreamSeconds +
                         aEngine.UsedBlocks() * BatchingModel::kBlockSeconds;
    const double full = plain + chunk * BatchingModel::kPromptTokenSeconds;
    Sequence sequence;
    sequence.promptTokens = aItem.promptTokens;
    sequence.prefixHashes = aItem.prefixHashes;
    const double own = aItem.promptTokens - aEngine.CachedTokens(sequence);
    const double backlog = aEngine.PromptBacklog(kind.priority) + own;
    const double waited = ToSeconds(aNow - aItem.arrival);
    const double first = waited + backlog / chunk * full + full;
    const double needed = (aItem.promptTokens + aItem.outputTokens) / 16.0 + 1.0;
    const bool isFull = aEngine.UsedBlocks() + needed > BatchingModel::kBlocks;
    const double between = aItem.kind == kPromptKind ? plain : plain + 0.4 * (full - plain);
    if (isFull || first > ToSeconds(kind.firstToken) || between > ToSeconds(kind.betweenTokens)) {
      return std::numeric_limits<double>::max();
    }
    return first + own * full / chunk;
  }

  const Installation* mInstallation;
  const std::deque<FakeEngine>* mEngines;
};

} // namespace

std::unique_ptr<DispatchPolicy> MakeDispatch(DispatchKind aKind, const Installation& aInstallation,
                                             std::uint32_t aDaemon,
                                             const std::deque<FakeEngine>& aEngines)
{
  switch (aKind) {
    case DispatchKind::Masticstep:
      return MakeRouterDispatch(aInstallation, aDaemon, true, aEngines);
    case DispatchKind::MasticstepNoEjection:
      return MakeRouterDispatch(aInstallation, aDaemon, false, aEngines);
    case DispatchKind::RoundRobin:
      return std::make_unique<RoundRobin>(aEngines, aDaemon);
    case DispatchKind::LeastOutstanding:
      return std::make_unique<LeastOutstanding>(aEngines, aDaemon);
    case DispatchKind::Clairvoyant:
      break;
  }
  return std::make_unique<Clairvoyant>(aInstallation, aEngines);
}

} // namespace masticstep::bench
