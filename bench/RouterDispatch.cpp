#include "DispatchPolicy.hpp"
#include "masticstep/routing/Router.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <unordered_map>
#include <utility>

namespace masticstep::bench {

namespace {

constexpr Duration kDeadline = Seconds(30);

const std::array<ServiceName, 2> kServices{ ServiceName("drafting"), ServiceName("ordering") };

std::string ZoneName(std::uint32_t aDataCentre)
{
  return "zone-" + std::to_string(aDataCentre);
}

// The router under test. It is given late reports and the answers only.
class RouterDispatch : public DispatchPolicy
{
public:
  RouterDispatch(const Installation& aInstallation, routing::Router aRouter)
    : mInstallation(&aInstallation)
    , mRouter(std::move(aRouter))
  {
    for (std::uint32_t i = 0; i < kEngines; ++i) {
      mIds.emplace_back("engine-" + std::to_string(i));
      mNumbers[mIds.back()] = i;
    }
  }

  std::optional<std::uint32_t> Choose(std::uint32_t aRequest, const WorkItem& aItem,
                                      const std::vector<std::uint32_t>& aExcluded,
                                      Time aNow) override
  {
    routing::RouteRequest request;
    request.id = RequestId{ aRequest };
    request.service = kServices[aItem.kind == kOrderKind ? 1 : 0];
    request.className = ClassName(mInstallation->kinds[aItem.kind].className);
    request.account = AccountName("account-" + std::to_string(aItem.account));
    request.promptTokens = aItem.promptTokens;
    request.maxTokens = mInstallation->kinds[aItem.kind].outputMaximum;
    request.prefixHashes = aItem.prefixHashes;
    request.arrived = aItem.arrival;
    request.deadline = aItem.arrival + kDeadline;
    for (const std::uint32_t engine : aExcluded) {
      request.excluded.push_back(mIds[engine]);
    }
    const Result<routing::RouteDecision, routing::RouteError> decision =
      mRouter.Choose(request, aNow);
    if (!decision) {
      return std::nullopt;
    }
    mRouter.OnDispatched(request.id, aNow);
    return mNumbers[decision->engine];
  }

  void OnFirstToken(std::uint32_t aRequest, Time aNow) override
  {
    mRouter.OnTokens(RequestId{ aRequest }, 1, aNow);
  }

  void OnFinished(std::uint32_t aRequest, std::uint32_t aTokens, Time aNow) override
  {
    mRouter.OnTokens(RequestId{ aRequest }, aTokens - 1, aNow);
    mRouter.OnFinished(RequestId{ aRequest }, aNow);
  }

  void OnFailed(std::uint32_t aRequest, routing::FailureKind aKind, Time aNow) override
  {
    mRouter.OnFailed(RequestId{ aRequest }, aKind, aNow);
  }

  void OnReport(std::uint32_t aEngine, const routing::LoadReport& aReport, Time aNow) override
  {
    routing::LoadReport report = aReport;
    report.engine = mIds[aEngine];
    mRouter.OnLoadReport(report, aNow);
  }

  void OnState(std::uint32_t aEngine, routing::EngineState aState, Time aNow) override
  {
    mRouter.OnEngineState(mIds[aEngine], aState, aNow);
  }

  void OnCacheEvent(std::uint32_t aEngine, const routing::CacheEvent& aEvent, Time aNow) override
  {
    routing::CacheEvent event = aEvent;
    event.engine = mIds[aEngine];
    mRouter.OnCacheEvent(event, aNow);
  }

  std::uint64_t Capacity(bool aIsOrder, Time aNow) override
  {
    const routing::ServiceCapacity room = mRouter.CapacityOf(kServices[aIsOrder ? 1 : 0], aNow);
    return room.localTokensInFlight + room.freeTokens / kDaemons;
  }

  std::uint32_t ExpectedOutput(const WorkItem& aItem) override
  {
    return mRouter.PredictOutput(kServices[aItem.kind == kOrderKind ? 1 : 0],
                                 ClassName(mInstallation->kinds[aItem.kind].className),
                                 AccountName("account-" + std::to_string(aItem.account)),
                                 mInstallation->kinds[aItem.kind].outputMaximum);
  }

private:
  const Installation* mInstallation;
  routing::Router mRouter;
  std::vector<EngineId> mIds;
  std::unordered_map<EngineId, std::uint32_t> mNumbers;
};

} // namespace

std::unique_ptr<DispatchPolicy> MakeRouterDispatch(const Installation& aInstallation,
                                                   std::uint32_t aDaemon, bool aHasEjection,
                                                   const std::deque<FakeEngine>& aEngines)
{
  routing::RouterOptions options;
  const std::string zone = ZoneName(DataCentreOfDaemon(aDaemon));
  options.dataCentre = DataCentreName(zone);
  options.region = RegionName(zone);
  options.sameDataCentreRoundTrip = 2 * aInstallation.dataCentreLatency;
  options.otherRegionRoundTrip = 2 * aInstallation.regionLatency;
  options.ejection = aHasEjection;
  options.seed = 100 + aDaemon;
  for (std::size_t i = 0; i < aInstallation.kinds.size(); ++i) {
    const RequestKind& kind = aInstallation.kinds[i];
    options.classes.push_back({ kServices[i == kOrderKind ? 1 : 0], ClassName(kind.className),
                                kind.firstToken, kind.betweenTokens, kDeadline });
  }
  routing::Router router = routing::Router::Create(std::move(options)).value();
  for (std::uint32_t i = 0; i < kEngines; ++i) {
    const std::string home = ZoneName(DataCentreOfEngine(i));
    router.SetEngine({ EngineId("engine-" + std::to_string(i)), kServices[IsOrderEngine(i) ? 1 : 0],
                       DataCentreName(home), RegionName(home), BatchingModel::kBlocks,
                       aEngines[i].role });
  }
  return std::make_unique<RouterDispatch>(aInstallation, std::move(router));
}

} // namespace masticstep::bench
